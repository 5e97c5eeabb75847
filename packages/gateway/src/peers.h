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

/// Exchanges reports with the other gateways, each with each, and copies records from a peer that
/// knows newer ones, so that a gateway that the store turns away stays current. The cost for each
/// gateway grows with the number of gateways: one datagram to each of them in each interval. Not
/// thread safe.
class Peers {
 public:
  /// What a report says of load.
  using ReportCallback = std::function<void(const wire::GatewayReport&)>;
  /// Fills in load, parts, customers and crashes of the next report.
  using FillReportCallback = std::function<void(wire::GatewayReport&)>;

  struct Init {
    const Settings& settings;
    Incarnation incarnation;
    RecordStore& store;
    FleetState& fleet;
    EventLog& log;
    ReportCallback on_report;
    FillReportCallback fill_report;
  };

  Peers(asio::io_context& io, Init init);

  /// Opens the ports and begins. Unavailable if a port is taken.
  absl::Status Start();
  /// Tells the others that this gateway stops.
  void AnnounceLeaving() { leaving_ = true; }

  /// Gateways that take part in limits over the whole fleet, this one included.
  [[nodiscard]] int fleet_size() const;
  /// Peers that were heard lately.
  [[nodiscard]] int live_count() const;
  /// True if this gateway is one of `owners` that are chosen for `key` among those that are up.
  /// Gateways with the same view of their peers choose the same.
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
  Init init_;
  Udp::socket socket_;
  asio::ip::tcp::acceptor acceptor_;
  std::array<char, 64UL << 10U> receive_buffer_{};
  absl::flat_hash_map<std::string, Peer> peers_;
  bool leaving_ = false;
  std::uint64_t report_count_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace lagoonwind::gateway
