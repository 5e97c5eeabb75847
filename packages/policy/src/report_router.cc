#include "lagoonwind/report_router.h"

#include <algorithm>
#include <iterator>

namespace lagoonwind::policy {
namespace {

/// Interval of a full mesh; short compared with the time in which engines' queues change.
constexpr Duration kMeshInterval = std::chrono::milliseconds(80);
/// The interval is at least this long for each gateway from which this one receives datagrams; it
/// bounds their rate.
constexpr Duration kMeshIntervalPerPeer = std::chrono::milliseconds(6);
constexpr Duration kRelayIntervalPerMember = std::chrono::milliseconds(2);
/// Intervals without a sign that a relay hears this gateway after which it is passed over. Covers
/// two lost datagrams and the pauses of a busy host.
constexpr int kRelayTimeoutIntervals = 4;
/// Intervals for which a gateway counts as heard. Gateways without news report less often.
constexpr int kHeardIntervals = 5;
/// Time for which a relay that failed is passed over.
constexpr Duration kRelayPenalty = std::chrono::seconds(2);
/// Time for which a gateway acts as a relay after another has sent to it as one.
constexpr Duration kRelayTerm = std::chrono::seconds(1);
/// Time after which a gateway that is no longer heard is forgotten.
constexpr Duration kContactLifetime = std::chrono::minutes(1);

class MeshRouter final : public ReportRouter {
 public:
  void RecordDatagram(const DatagramInfo& /*datagram*/, Time /*now*/) override {}

  ReportPlan Plan(std::span<const RoutingPeer> peers, Time /*now*/) override {
    ReportPlan plan;
    std::ranges::transform(peers, std::back_inserter(plan.own_report), &RoutingPeer::id);
    peer_count_ = static_cast<int>(peers.size());
    return plan;
  }

  [[nodiscard]] Duration Interval() const override {
    return std::max(kMeshInterval, peer_count_ * kMeshIntervalPerPeer);
  }

  [[nodiscard]] std::vector<GatewayId> HeardGateways(Time /*now*/) const override { return {}; }

 private:
  int peer_count_ = 0;
};

class ZoneRelayRouter final : public ReportRouter {
 public:
  explicit ZoneRelayRouter(const ZoneRelayOptions& options)
      : self_(options.self), min_interval_(options.min_interval), min_peers_(options.min_peers) {}

  void RecordDatagram(const DatagramInfo& datagram, Time now) override {
    Contact& contact = contacts_[datagram.sender];
    contact.heard_at = now;
    if (datagram.hears_us) {
      contact.heard_us_at = now;
    }
    const bool is_foreign_bundle = datagram.is_bundle && datagram.sender_zone != self_.zone;
    if (is_foreign_bundle) {
      contact.foreign_bundle_at = now;
    }
    if (datagram.wants_relay || is_foreign_bundle) {
      relay_until_ = now + kRelayTerm;
    }
  }

  ReportPlan Plan(std::span<const RoutingPeer> peers, Time now) override {
    ForgetOldContacts(now);
    ReportPlan plan;
    absl::flat_hash_map<ZoneId, std::vector<RoutingPeer>> zones;
    zones[self_.zone].push_back(self_);
    for (const RoutingPeer& peer : peers) {
      if (peer.zone.valid()) {
        zones[peer.zone].push_back(peer);
      } else {
        plan.own_report.push_back(peer.id);
      }
    }
    const bool uses_mesh = peers.size() < min_peers_;
    if (uses_mesh) {
      plan = mesh_->Plan(peers, now);
      interval_ = mesh_->Interval();
    } else {
      interval_ = std::max(min_interval_,
                           static_cast<int>(zones[self_.zone].size()) * kRelayIntervalPerMember);
    }
    const GatewayId own_relay =
        uses_mesh ? GatewayId{} : ChooseRelay(self_.zone, zones[self_.zone], now);
    const bool is_relay = own_relay == self_.id || now < relay_until_;
    if (!is_relay) {
      plan.relay = uses_mesh ? std::nullopt : std::optional(own_relay);
      return plan;
    }
    AddRelayRecipients(zones, now, plan);
    return plan;
  }

  [[nodiscard]] Duration Interval() const override { return interval_; }

  [[nodiscard]] std::vector<GatewayId> HeardGateways(Time now) const override {
    std::vector<GatewayId> heard;
    for (const auto& [id, contact] : contacts_) {
      if (now - contact.heard_at < kHeardIntervals * interval_) {
        heard.push_back(id);
      }
    }
    return heard;
  }

 private:
  struct Contact {
    Time heard_at{};
    /// When it last stated that it hears this gateway.
    Time heard_us_at{};
    /// When it last sent the reports of another zone.
    Time foreign_bundle_at{};
    Time passed_over_until{};
  };

  [[nodiscard]] Duration RelayTimeout() const { return kRelayTimeoutIntervals * interval_; }

  void ForgetOldContacts(Time now) {
    for (auto it = contacts_.begin(); it != contacts_.end();) {
      if (now - std::max(it->second.heard_at, it->second.passed_over_until) > kContactLifetime) {
        contacts_.erase(it++);
      } else {
        ++it;
      }
    }
  }

  /// Adds the gateways that this one serves as a relay. They replace direct recipients.
  void AddRelayRecipients(absl::flat_hash_map<ZoneId, std::vector<RoutingPeer>>& zones, Time now,
                          ReportPlan& plan) {
    for (auto& [zone, members] : zones) {
      if (zone == self_.zone) {
        std::ranges::transform(members, std::back_inserter(plan.all_reports), &RoutingPeer::id);
        std::erase(plan.all_reports, self_.id);
        continue;
      }
      const GatewayId chosen = ChooseRelay(zone, members, now);
      plan.zone_reports.push_back(chosen);
      // Relays that chose this gateway need a sign that it hears them, also if it chose another.
      for (const RoutingPeer& member : members) {
        const auto contact = contacts_.find(member.id);
        if (contact != contacts_.end() && member.id != chosen &&
            now - contact->second.foreign_bundle_at < RelayTimeout()) {
          plan.zone_reports.push_back(member.id);
        }
      }
    }
    std::erase_if(plan.own_report, [&](GatewayId id) {
      return std::ranges::find(plan.all_reports, id) != plan.all_reports.end() ||
             std::ranges::find(plan.zone_reports, id) != plan.zone_reports.end();
    });
  }

  /// First gateway in rank that is not passed over; the first in rank if all are.
  GatewayId ChooseRelay(ZoneId zone, std::vector<RoutingPeer>& members, Time now) {
    std::ranges::sort(members, [&](const RoutingPeer& a, const RoutingPeer& b) {
      return a.cpu_cores != b.cpu_cores
                 ? a.cpu_cores > b.cpu_cores
                 : CombineHashes(zone.value, a.id.value) > CombineHashes(zone.value, b.id.value);
    });
    const auto usable = std::ranges::find_if(members, [&](const RoutingPeer& member) {
      return !member.leaving &&
             (member.id == self_.id || now >= contacts_[member.id].passed_over_until);
    });
    const GatewayId chosen = (usable == members.end() ? members.begin() : usable)->id;
    Choice& choice = choices_[zone];
    if (choice.relay != chosen) {
      choice = {.relay = chosen, .since = now};
    }
    Contact& contact = contacts_[chosen];
    if (chosen != self_.id && now - std::max(choice.since, contact.heard_us_at) > RelayTimeout()) {
      contact.passed_over_until = now + kRelayPenalty;
    }
    return chosen;
  }

  struct Choice {
    GatewayId relay;
    Time since{};
  };

  RoutingPeer self_;
  Duration min_interval_;
  Duration interval_{min_interval_};
  std::size_t min_peers_;
  std::unique_ptr<ReportRouter> mesh_ = MakeMeshRouter();
  absl::flat_hash_map<GatewayId, Contact> contacts_;
  absl::flat_hash_map<ZoneId, Choice> choices_;
  Time relay_until_{};
};

}  // namespace

std::unique_ptr<ReportRouter> MakeMeshRouter() { return std::make_unique<MeshRouter>(); }

std::unique_ptr<ReportRouter> MakeZoneRelayRouter(const ZoneRelayOptions& options) {
  return std::make_unique<ZoneRelayRouter>(options);
}

}  // namespace lagoonwind::policy
