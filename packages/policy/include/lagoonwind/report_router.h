#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// Decides which gateways exchange reports directly. A full mesh is simplest, but its datagrams
/// grow with the square of the fleet; in larger fleets a relay in each availability zone collects
/// and distributes reports.
namespace lagoonwind::policy {

/// A gateway, identified by its IP address.
using GatewayId = Handle<struct GatewayTag>;

/// Another gateway that is up.
struct RoutingPeer {
  GatewayId id;
  /// Invalid if the peer does not state its zone; such a peer is an older version, which reads only
  /// the sender's own report of a datagram.
  ZoneId zone;
  /// CPU cores of its host.
  double cpu_cores = 0;
  /// True if it is shutting down; then it is not chosen as a relay.
  bool leaving = false;
};

/// Recipients of the datagrams of one interval. Each gateway is listed at most once.
struct ReportPlan {
  /// Receive this gateway's own report.
  std::vector<GatewayId> own_report;
  /// Receives this gateway's own report and is asked to distribute it.
  std::optional<GatewayId> relay;
  /// Receive the reports of this gateway's zone: relays of other zones.
  std::vector<GatewayId> zone_reports;
  /// Receive all reports: the gateways of this gateway's zone.
  std::vector<GatewayId> all_reports;
};

/// What a datagram tells about its sender besides the reports.
struct DatagramInfo {
  GatewayId sender;
  ZoneId sender_zone;
  /// True if the sender has listed this gateway among those that it hears.
  bool hears_us = false;
  /// True if the sender asks this gateway to distribute its report.
  bool wants_relay = false;
  /// True if the sender acts as a relay: the datagram carries the reports of its zone.
  bool is_bundle = false;
};

/// Chooses the recipients of reports. Implementations are not thread safe.
class ReportRouter {
 public:
  virtual ~ReportRouter() = default;
  /// Records the arrival of a datagram.
  virtual void RecordDatagram(const DatagramInfo& datagram, Time now) = 0;
  /// Returns the recipients of the reports that are due at `now`.
  /// \param peers  All other gateways that are up, in any order.
  [[nodiscard]] virtual ReportPlan Plan(std::span<const RoutingPeer> peers, Time now) = 0;
  /// Time until the next reports are due.
  [[nodiscard]] virtual Duration Interval() const = 0;
  /// Gateways that were heard directly within the last few intervals; sent with each bundle.
  [[nodiscard]] virtual std::vector<GatewayId> HeardGateways(Time now) const = 0;
};

/// Every gateway sends its own report to every other one.
std::unique_ptr<ReportRouter> MakeMeshRouter();

/// Options of the router that uses relays.
struct ZoneRelayOptions {
  /// This gateway. Its zone must be valid.
  RoutingPeer self;
  /// Interval between two plans in a zone of few gateways; see Interval().
  Duration min_interval = std::chrono::milliseconds(60);
  /// Number of peers below which reports are sent as in a full mesh.
  std::size_t min_peers = 30;
};

/// In each zone the gateways agree on a relay by ranking: the host with most CPU cores, and among
/// equals by rendezvous hashing. Gateways send their reports to the relay of their zone, which
/// sends the zone's reports to the relays of the other zones and all reports to the gateways of its
/// own. A relay that does not list a gateway among those that it hears, be it dead, frozen or cut
/// off in one direction, is passed over for the next in rank. A gateway acts as a relay whenever
/// others send to it as one, so that views of the fleet need not agree.
std::unique_ptr<ReportRouter> MakeZoneRelayRouter(const ZoneRelayOptions& options);

}  // namespace lagoonwind::policy
