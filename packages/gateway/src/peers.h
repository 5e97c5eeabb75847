#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "event_log.h"
#include "fleet_state.h"
#include "lagoonwind/gateway.h"
#include "lagoonwind/gateway_report.h"
#include "lagoonwind/report_router.h"
#include "record_copier.h"

namespace lagoonwind::gateway {

/// Exchanges reports with the other gateways and keeps track of which are up. A
/// policy::ReportRouter decides which of them exchange reports directly. Not thread safe.
class Peers {
 public:
  /// Called with each report received from a peer.
  using ReportCallback = std::function<void(const wire::GatewayReport&)>;
  /// Adds load, prompt segments, customers and crashes to the next report.
  using FillReportCallback = std::function<void(wire::GatewayReport&)>;

  struct Options {
    const Settings& settings;
    Incarnation incarnation;
    RecordStore& store;
    FleetState& fleet;
    policy::CrashSuspects& suspects;
    EventLog& log;
    ReportCallback on_report;
    FillReportCallback fill_report;
  };

  Peers(asio::io_context& io, Options options);

  /// Opens the ports and starts exchanging reports.
  /// \return Unavailable if a port is in use.
  absl::Status Start();
  /// Announces in the following reports that this gateway is shutting down.
  void AnnounceLeaving() { leaving_ = true; }

  /// Number of gateways that fleet-wide limits are divided among, including this one.
  [[nodiscard]] int fleet_size() const { return fleet_size_; }
  /// Incarnation of this gateway.
  [[nodiscard]] Incarnation incarnation() const { return options_.incarnation; }
  /// Incarnations of the other gateways that are up or that the store lists. One that was listed
  /// but not heard yet has an incarnation that never reports.
  [[nodiscard]] std::vector<Incarnation> Members() const;
  /// Number of peers from which a report was received recently.
  [[nodiscard]] int live_count() const { return live_count_; }
  /// True if this gateway is among the `owners` gateways that rendezvous hashing selects for `key`.
  /// Gateways that see the same live peers select the same owners.
  [[nodiscard]] bool IsOwner(std::uint64_t key, int owners) const;
  /// True once the departures and crashes of backend servers that preceded the start are known, or
  /// if no peer that could know them was heard in time.
  [[nodiscard]] bool KnowsEvidence(Time now) const;
  [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  using Udp = asio::ip::udp;

  struct Peer {
    policy::GatewayId id;
    Udp::endpoint endpoint;
    Incarnation incarnation;
    /// Number of the newest report of that incarnation.
    std::int64_t last_number = 0;
    ZoneId zone;
    double cpu_cores = 0;
    Time last_received{};
    Time last_sent{};
    Time last_listed{};
    StorePosition operator_position;
    StorePosition servers_position;
    std::int64_t configuration_version = -1;
    std::int64_t held_evacuations = 0;
    bool leaving = false;
    bool is_up = false;
  };

  asio::awaitable<void> ReceiveReports();
  asio::awaitable<void> SendReports();
  asio::awaitable<void> Register();
  /// Waits until the list of gateways is to be read again, or the store was restored.
  asio::awaitable<void> AwaitPeerListRead();
  /// Runs a service for the lifetime of the process.
  void StartService(const char* name, std::function<asio::awaitable<void>()> service);
  /// Sends the reports of one interval.
  void SendRound(Time now);
  [[nodiscard]] wire::GatewayReport MakeReport(const policy::ReportPlan& plan, Time now);
  /// Encodes datagrams with this gateway's report and the relayed ones.
  [[nodiscard]] std::vector<std::string> EncodeBundles(wire::GatewayReport report,
                                                       std::span<const std::string> relayed,
                                                       Time now);
  void SendTo(std::span<const policy::GatewayId> recipients, std::span<const std::string> datagrams,
              Time now);
  void Send(const std::string& datagram, Peer& peer, Time now);
  void HandleDatagram(std::string_view datagram, const std::string& address);
  /// Applies a report unless a newer one of the same gateway was applied before.
  void ApplyReport(const wire::GatewayReport& report, Peer& peer);
  void ApplyRelayedReport(const wire::GatewayReport& report);
  void UpdateLiveness(Time now);
  [[nodiscard]] int CountFleet() const;
  /// Returns null if `address` is not that of another gateway.
  Peer* FindOrAddPeer(const std::string& address);
  void AddPeer(const std::string& address);
  [[nodiscard]] std::string FindNewerPeer() const;
  /// Returns the IP address of a peer that is up, another one for each number; empty if none is.
  [[nodiscard]] std::string FindLivePeer(int number) const;
  /// True if the peer has records that this gateway lacks.
  [[nodiscard]] bool HasNewerRecords(const Peer& peer, Time now) const;

  asio::io_context& io_;
  Options options_;
  Udp::socket socket_;
  asio::ip::tcp::acceptor acceptor_;
  RecordCopier copier_;
  std::unique_ptr<policy::ReportRouter> router_;
  std::array<char, 64UL << 10U> receive_buffer_{};
  absl::node_hash_map<std::string, Peer> peers_;
  /// IP addresses of peers by incarnation; relayed reports need not state them.
  absl::flat_hash_map<Incarnation, std::string> addresses_;
  wire::GatewayStatus last_status_;
  /// Reports that gateways of this zone asked this one to distribute, and reports of other zones,
  /// received since the last round.
  std::vector<std::string> zone_reports_;
  std::vector<std::string> foreign_reports_;
  int live_count_ = 0;
  int fleet_size_ = 1;
  bool leaving_ = false;
  const Time created_;
  std::int64_t report_count_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace lagoonwind::gateway
