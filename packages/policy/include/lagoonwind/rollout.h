#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "lagoonwind/base.h"
#include "lagoonwind/rollout_types.h"

/// \file
/// Decision of one gateway about one roll-out of a service to another software version.
namespace lagoonwind::policy {

/// Moves the requests of a service to a target version, as seen by one gateway. Addresses the load
/// in which a bad version would fail or delay requests of all customers: the target gets only a
/// small share until the responses that all gateways saw support it, and is left when they speak
/// against it.
///
/// Each gateway sends to the target only out of an allowance earned by the requests that it
/// received itself, so that the fleet's exposure holds without communication. Every gateway judges
/// the merged counters of all gateways; there is no leader. A rollback takes effect at once and is
/// followed by all gateways; completion takes effect only when it is stored. Not thread safe.
class Rollout {
 public:
  /// \param learned_at  When this gateway learned of the order.
  /// \param just_written  True if the order was written while this gateway followed the store's
  ///     records, so that nothing can have happened before. The roll-out is otherwise kUnknown, and
  ///     this gateway has no part in the slack.
  Rollout(RolloutOrder order, RolloutLimits limits, Time learned_at, bool just_written);

  /// Chooses the version for a new request and counts the request. kTarget reserves one attempt of
  /// the exposure budget, which RecordSent() uses or CancelChoice() returns. Call it once per
  /// request of the service, right before its first attempt. \param random  Uniform in [0, 1).
  RolloutVersion Choose(RouteId route, double random, Time now);
  /// Returns the reservation of a Choose() that returned kTarget, since no attempt was sent to the
  /// target. Without this call it expires after 10 s.
  void CancelChoice(Time now);
  /// Version for an attempt that is no new request: a retry, a resumed stream or a probe. Never the
  /// target during a trial. Does not reserve anything.
  [[nodiscard]] RolloutVersion RetryVersion(Time now);
  /// Records every attempt that leaves this gateway, whatever its cause.
  void RecordSent(RolloutVersion version, Time now);
  /// Records the end of an attempt. Call it exactly once for each RecordSent(), also for attempts
  /// that were cancelled (`judged` false).
  void RecordEnd(RolloutVersion version, const RolloutOutcome& outcome, Time now);

  /// Returns this gateway's counters for its peers.
  [[nodiscard]] RolloutReport LocalReport(Time now) const;
  /// Takes over a peer's report. Reports of other orders, of this gateway itself (see SetSelf) and
  /// older ones are ignored, so that duplicates and reordering do no harm.
  void MergePeerReport(Incarnation peer, const RolloutReport& report, Time now);
  /// Sets this gateway's own incarnation, so that it is not waited for as a peer.
  void SetSelf(Incarnation self) {
    self_ = self;
    live_.erase(self);
  }
  /// Sets the live gateways of the fleet, with or without this one: those that peers' reports or
  /// the store list as up. Call it before the first Choose(): the slack is unused until then.
  void SetMembers(std::span<const Incarnation> live, Time now);
  /// Sets the number of the service's servers of each version. Both are presumed to exist until the
  /// first call.
  void SetServers(std::size_t old_servers, std::size_t target_servers, Time now);
  /// Takes over what the store holds. Call it also for `serving` and, with state kTrial, if a read
  /// that began after the last transition to kUnknown found no status for this order.
  void ApplyStatus(const RolloutStatus& status, Time now);
  /// Judges the evidence and changes the state. Call it at least every 200 ms; a gap above one
  /// second is taken for a suspension of the process and leads to kUnknown.
  void Update(Time now);

  /// Returns the status to write now, by a conditional append; absent if there is none or it is
  /// stored. A returned kComplete may be outdated by the next Update(): do not repeat a write
  /// without calling this again.
  [[nodiscard]] std::optional<RolloutConclusion> Conclusion(Time now) const;

  [[nodiscard]] const RolloutOrder& order() const { return order_; }
  [[nodiscard]] RolloutState state() const { return state_; }
  /// Why the state is what it is, in a few words.
  [[nodiscard]] std::string_view reason() const { return reason_; }
  /// Evidence in total over all gateways.
  [[nodiscard]] RolloutEvidence Evidence(Time now) const;
  /// Time since the order was written, as far as known.
  [[nodiscard]] Duration Elapsed(Time now) const;
  /// Attempts that this gateway may have sent to the target in total by now during the trial.
  [[nodiscard]] double TrialAllowance() const;

 private:
  struct Peer {
    RolloutReport report;
    Time received;
  };
  /// Sums over all gateways.
  struct Totals {
    absl::btree_map<RouteId, std::array<RolloutCounts, 2>> routes;
    absl::btree_map<std::uint32_t, RolloutSecond> seconds;
    std::array<std::uint64_t, 2> sent{};
    std::uint64_t requests = 0;
    Duration longest_old{};
  };

  void Enter(RolloutState state, std::string_view reason, Time now);
  /// Enters kUnknown if the process was suspended since the last call.
  void NoteTime(Time now);
  [[nodiscard]] bool TargetUsable() const;
  /// True if the roll-out can still change at this gateway.
  [[nodiscard]] bool Active() const;
  /// True if the report shows its sender's present state.
  [[nodiscard]] bool IsFresh(const RolloutReport& report, Time now) const;
  void FollowPeer(const RolloutReport& report, Time now);
  /// Starts a trial if all gateways report kUnknown, as after a restart of the whole fleet.
  void LeaveUnknown(Time now);
  void AddTotals(const RolloutReport& report);
  /// Recomputes totals_ and medians_.
  void Summarize(Time now);
  /// Adds the finished response to the seconds of the local report.
  void CountSecond(RolloutVersion version, const RolloutOutcome& outcome, Time now);
  /// Returns why the target is bad; empty if the evidence does not show it.
  [[nodiscard]] std::string_view Judge() const;
  /// Judges each route over all the time since the order.
  /// \param threshold  Probability below which a good version's result is taken for a bad one's.
  [[nodiscard]] std::string_view JudgeRoutes(double threshold) const;
  /// Judges the last seconds.
  [[nodiscard]] std::string_view JudgeRecent() const;
  /// True if there is evidence and nothing in it points at a bad version.
  [[nodiscard]] bool SupportsSwitch() const;
  /// True if the switch may start now, shortly before the next second since the order.
  [[nodiscard]] bool LateInSecond(Time now) const;
  /// When kSwitching starts, as time since the order.
  [[nodiscard]] Duration SwitchTime() const;
  /// Shortest time in kSwitching, so that a version that fails under full load only is noticed.
  [[nodiscard]] Duration LeastSwitching() const;
  /// Time in kSwitching during which a small part of the new requests stays on old servers.
  [[nodiscard]] Duration ControlTime() const;
  [[nodiscard]] bool LeftOld(Time now) const;
  [[nodiscard]] bool AllLeftOld(Time now) const;
  RolloutRouteCounts& LocalRoute(RouteId route);

  RolloutOrder order_;
  RolloutLimits limits_;
  Incarnation self_;
  RolloutState state_ = RolloutState::kUnknown;
  std::string reason_;
  bool has_slack_ = false;
  /// The store holds the conclusion.
  bool stored_ = false;
  /// Estimate of when the order was written.
  Time start_;
  Time last_call_;
  /// When the present state was entered.
  Time state_since_;
  /// When a peer's fresh report or the store was last read.
  Time last_contact_;
  Time last_choice_;
  /// Target attempts that were chosen and not yet sent.
  std::uint64_t reserved_ = 0;
  RolloutReport local_;
  absl::btree_map<Incarnation, Peer> peers_;
  absl::btree_set<Incarnation> live_;
  std::size_t most_members_ = 0;
  std::optional<std::array<std::size_t, 2>> servers_;
  bool had_old_servers_ = false;
  /// Longest response of the old version in this and the previous interval of kLongestInterval.
  std::array<Duration, 2> longest_old_{};
  Time longest_since_;
  Totals totals_;
  /// The first evidence supports the target.
  bool supported_ = false;
  /// Class of the old version's median time to first and last byte, by route.
  absl::btree_map<RouteId, std::array<std::size_t, 2>> medians_;
};

}  // namespace lagoonwind::policy
