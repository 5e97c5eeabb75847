#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "event_log.h"
#include "fleet_state.h"
#include "lagoonwind/gateway.h"
#include "lagoonwind/gateway_report.h"

namespace lagoonwind::gateway {

/// Exchanges reports with all other gateways (full mesh), and copies records from a peer that has
/// newer ones, so that a gateway that cannot reach the store stays up to date. Each gateway sends
/// one datagram to every peer per interval, so its cost grows with the number of gateways. Not
/// thread safe.
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
  [[nodiscard]] int fleet_size() const;
  /// Number of peers from which a report was received recently.
  [[nodiscard]] int live_count() const;
  /// True if this gateway is among the `owners` gateways that rendezvous hashing selects for `key`.
  /// Gateways that see the same live peers select the same owners.
  [[nodiscard]] bool IsOwner(std::uint64_t key, int owners) const;
  [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  using Udp = asio::ip::udp;

  struct Peer {
    Incarnation incarnation;
    Time last_received{};
    Time last_sent{};
    Time last_listed{};
    std::int64_t operator_offset = 0;
    std::int64_t servers_offset = 0;
    bool leaving = false;
    bool is_up = false;
  };

  asio::awaitable<void> ReceiveReports();
  asio::awaitable<void> SendReports();
  asio::awaitable<void> Register();
  asio::awaitable<void> CopyNewerRecords();
  asio::awaitable<void> ServeRecords();
  asio::awaitable<absl::Status> CopyFrom(std::string address);
  void HandleReport(std::string_view datagram, const std::string& address);
  void SendToPeers(const std::string& datagram, Time now);
  void UpdateLiveness(Time now);
  void AddPeer(const std::string& address);
  [[nodiscard]] std::string RecordsJson() const;
  [[nodiscard]] std::string FindNewerPeer() const;

  asio::io_context& io_;
  Options options_;
  Udp::socket socket_;
  asio::ip::tcp::acceptor acceptor_;
  std::array<char, 64UL << 10U> receive_buffer_{};
  absl::flat_hash_map<std::string, Peer> peers_;
  bool leaving_ = false;
  std::uint64_t report_count_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace lagoonwind::gateway
