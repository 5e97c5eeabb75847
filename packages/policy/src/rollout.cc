#include "lagoonwind/rollout.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

#include "rollout_statistics.h"

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLongestOrder = std::chrono::hours(24 * 30);
constexpr Duration kShortestRollback = milliseconds(100);
constexpr Duration kLongestRollback = seconds(60);
/// Gap between calls that is taken for a suspension of the process.
constexpr Duration kSuspension = seconds(1);
/// Longest time without contact to peers or store after which the roll-out is unknown.
constexpr Duration kLongestSilence = seconds(2);
/// Age up to which a report shows its sender's present state.
constexpr Duration kFreshReport = milliseconds(1500);
/// Time in kUnknown after which a fleet whose gateways are all in kUnknown starts a trial.
constexpr Duration kAllUnknown = seconds(2);
/// Time after which a reservation without an attempt expires.
constexpr Duration kReservationLifetime = seconds(10);
/// Time in kSwitching in which attempts that were chosen before may still be sent to old servers.
constexpr Duration kSettle = milliseconds(500);
/// Parts of the exposure share that a trial spends before and after the first evidence. The rest is
/// left for kSwitching, in which the version may still turn out bad.
constexpr double kFirstShare = 0.2;
constexpr double kTrialShare = 0.5;
/// Part of the slack that a trial spends. The rest covers that gateways know different numbers of
/// members.
constexpr double kTrialSlack = 0.5;
/// Slack from which a gateway's allowance is rounded at random; less cannot cover the variance.
constexpr double kRoundingSlack = 25;
/// Most requests of a gateway that try the target while there is allowance for it.
constexpr double kTrialProbability = 0.3;
/// Part of the new requests that stays on old servers at first in kSwitching, to compare both
/// versions in the same seconds at nearly full load.
constexpr double kControlShare = 0.1;
/// Part of a second after which the switch may start, since the second in which it starts compares
/// responses of different moments.
constexpr Duration kLateInSecond = milliseconds(700);
/// Orders shorter than this switch at any moment.
constexpr Duration kShortOrder = seconds(5);
constexpr std::uint64_t kRoundingSeed = 0x726f6c6c6f7574;

double Clamp(double value, double most) {
  return value > 0 ? std::min(value, most) : 0;  // NaN counts as zero.
}

constexpr std::size_t Index(RolloutVersion version) { return static_cast<std::size_t>(version); }
constexpr std::size_t kOld = Index(RolloutVersion::kOld);
constexpr std::size_t kTarget = Index(RolloutVersion::kTarget);

}  // namespace

Rollout::Rollout(RolloutOrder order, RolloutLimits limits, Time learned_at, bool just_written)
    : order_(std::move(order)),
      limits_{
          .exposure_share = Clamp(limits.exposure_share, 1),
          .exposure_slack = Clamp(limits.exposure_slack, 1e9),
          .rollback_time = std::clamp(limits.rollback_time, kShortestRollback, kLongestRollback)},
      has_slack_(just_written),
      start_(learned_at),
      last_call_(learned_at),
      state_since_(learned_at),
      last_contact_(learned_at),
      last_choice_(learned_at),
      longest_since_(learned_at) {
  order_.duration = std::clamp(order_.duration, Duration::zero(), kLongestOrder);
  local_.order_id = order_.id;
  if (just_written) {
    Enter(RolloutState::kTrial, "order written", learned_at);
  } else {
    Enter(RolloutState::kUnknown, "order found at start", learned_at);
  }
}

void Rollout::Enter(RolloutState state, std::string_view reason, Time now) {
  if (state_ != state) {
    state_ = state;
    state_since_ = now;
  }
  reason_ = reason;
}

Duration Rollout::Elapsed(Time now) const { return std::max(now - start_, Duration::zero()); }

bool Rollout::Active() const {
  return state_ == RolloutState::kTrial || state_ == RolloutState::kSwitching;
}

void Rollout::NoteTime(Time now) {
  if (now - last_call_ > kSuspension && Active()) {
    Enter(RolloutState::kUnknown, "process was suspended", now);
  }
  last_call_ = std::max(last_call_, now);
}

double Rollout::TrialAllowance() const {
  if (most_members_ == 0) {
    return 0;
  }
  const double share = limits_.exposure_share * (supported_ ? kTrialShare : kFirstShare);
  double allowance = share * static_cast<double>(local_.requests);
  if (has_slack_) {
    allowance += kTrialSlack * limits_.exposure_slack / static_cast<double>(most_members_);
    // Rounds up or down at random, the same way at each call, so that gateways with less than one
    // attempt each send as many in total as their allowances add up to.
    const double position =
        std::ldexp(static_cast<double>(CombineHashes(self_.value, order_.id ^ kRoundingSeed)), -64);
    allowance += position * std::min(1.0, limits_.exposure_slack / kRoundingSlack);
  }
  return allowance;
}

RolloutVersion Rollout::Choose(RouteId /*route*/, double random, Time now) {
  NoteTime(now);
  ++local_.requests;
  if (!TargetUsable()) {
    return RolloutVersion::kOld;
  }
  switch (state_) {
    case RolloutState::kSwitching:
      if (now - state_since_ < ControlTime() && random < kControlShare) {
        return RolloutVersion::kOld;
      }
      break;
    case RolloutState::kComplete:
      break;
    case RolloutState::kTrial: {
      if (now - last_choice_ > kReservationLifetime) {
        reserved_ = 0;
      }
      const auto used = static_cast<double>(local_.sent.at(kTarget) + reserved_);
      if (!(random < kTrialProbability) || used + 1 > TrialAllowance()) {
        return RolloutVersion::kOld;
      }
      break;
    }
    case RolloutState::kUnknown:
    case RolloutState::kReverted:
      return RolloutVersion::kOld;
  }
  ++reserved_;
  last_choice_ = now;
  return RolloutVersion::kTarget;
}

void Rollout::CancelChoice(Time now) {
  NoteTime(now);
  reserved_ -= std::min<std::uint64_t>(reserved_, 1);
}

RolloutVersion Rollout::RetryVersion(Time now) {
  NoteTime(now);
  const bool moved = state_ == RolloutState::kSwitching || state_ == RolloutState::kComplete;
  return moved && TargetUsable() ? RolloutVersion::kTarget : RolloutVersion::kOld;
}

bool Rollout::TargetUsable() const { return !servers_ || servers_->at(kTarget) > 0; }

void Rollout::RecordSent(RolloutVersion version, Time now) {
  NoteTime(now);
  const std::size_t index = Index(version);
  ++local_.sent.at(index);
  ++local_.outstanding.at(index);
  if (version == RolloutVersion::kTarget) {
    reserved_ -= std::min<std::uint64_t>(reserved_, 1);
  }
}

RolloutReport Rollout::LocalReport(Time now) const {
  RolloutReport report = local_;
  report.state = state_;
  report.elapsed = Elapsed(now);
  report.left_old = LeftOld(now);
  report.longest_old = std::max(longest_old_[0], longest_old_[1]);
  return report;
}

bool Rollout::IsFresh(const RolloutReport& report, Time now) const {
  return Elapsed(now) - report.elapsed <= kFreshReport;
}

void Rollout::MergePeerReport(Incarnation peer, const RolloutReport& report, Time now) {
  NoteTime(now);
  if (report.order_id != order_.id || peer == self_ || report.elapsed < Duration::zero() ||
      report.elapsed > kLongestOrder * 2 || report.routes.size() > kRolloutMaxRoutes + 1 ||
      report.seconds.size() > kRolloutSeconds) {
    return;
  }
  const auto [entry, inserted] = peers_.try_emplace(peer);
  if (!inserted && report.elapsed <= entry->second.report.elapsed) {
    return;
  }
  entry->second = {.report = report, .received = now};
  start_ = std::min(start_, now - report.elapsed);
  FollowPeer(report, now);
}

void Rollout::FollowPeer(const RolloutReport& report, Time now) {
  if (stored_) {
    return;
  }
  if (report.state == RolloutState::kReverted && state_ != RolloutState::kComplete) {
    if (state_ != RolloutState::kReverted) {
      Enter(RolloutState::kReverted, "a peer reverted", now);
    }
    return;
  }
  if (report.state == RolloutState::kComplete) {
    Enter(RolloutState::kComplete, "a peer reports the stored conclusion", now);
    return;
  }
  if (!IsFresh(report, now)) {
    return;
  }
  last_contact_ = now;
  if (report.state == RolloutState::kSwitching &&
      (state_ == RolloutState::kTrial || state_ == RolloutState::kUnknown)) {
    Enter(RolloutState::kSwitching, "a peer is switching", now);
  } else if (report.state == RolloutState::kTrial && state_ == RolloutState::kUnknown) {
    Enter(RolloutState::kTrial, "a peer is in the trial", now);
  }
}

void Rollout::SetMembers(std::span<const Incarnation> live, Time now) {
  NoteTime(now);
  live_ = {live.begin(), live.end()};
  live_.erase(self_);
  most_members_ = std::max(most_members_, live_.size() + 1);
}

void Rollout::SetServers(std::size_t old_servers, std::size_t target_servers, Time now) {
  NoteTime(now);
  servers_ = {old_servers, target_servers};
  had_old_servers_ = had_old_servers_ || old_servers > 0;
}

void Rollout::ApplyStatus(const RolloutStatus& status, Time now) {
  NoteTime(now);
  if (status.order_id != order_.id) {
    return;
  }
  last_contact_ = now;
  if (status.state == RolloutState::kTrial) {
    // A conclusion that the store no longer holds is written again.
    stored_ = false;
    if (state_ == RolloutState::kUnknown) {
      Enter(RolloutState::kTrial, "the store holds no conclusion", now);
    }
    return;
  }
  if (stored_ ||
      (status.state != RolloutState::kComplete && status.state != RolloutState::kReverted)) {
    return;
  }
  stored_ = true;
  if (state_ != status.state) {
    Enter(status.state, "conclusion in the store", now);
  }
}

void Rollout::LeaveUnknown(Time now) {
  if (now - state_since_ < kAllUnknown || live_.empty()) {
    return;
  }
  const bool all_unknown = std::ranges::all_of(live_, [&](Incarnation peer) {
    const auto found = peers_.find(peer);
    return found != peers_.end() && found->second.report.state == RolloutState::kUnknown &&
           IsFresh(found->second.report, now);
  });
  if (all_unknown) {
    Enter(RolloutState::kTrial, "no gateway knows of earlier steps", now);
  }
}

void Rollout::Update(Time now) {
  NoteTime(now);
  Summarize(now);
  if (state_ == RolloutState::kUnknown) {
    LeaveUnknown(now);
  }
  if (!Active()) {
    return;
  }
  if (most_members_ > 1 &&
      now - last_contact_ > std::min(kLongestSilence, limits_.rollback_time / 2)) {
    Enter(RolloutState::kUnknown, "no contact to peers and store", now);
    return;
  }
  if (const std::string_view fault = Judge(); !fault.empty()) {
    Enter(RolloutState::kReverted, fault, now);
    return;
  }
  if (Elapsed(now) >= order_.duration) {
    Enter(RolloutState::kReverted, "deadline reached without completion", now);
    return;
  }
  if (state_ != RolloutState::kTrial) {
    return;
  }
  if (servers_ && !had_old_servers_ && servers_->at(kTarget) > 0) {
    Enter(RolloutState::kSwitching, "no server of another version", now);
  } else if (TargetUsable() && Elapsed(now) >= SwitchTime() && LateInSecond(now) &&
             SupportsSwitch()) {
    Enter(RolloutState::kSwitching, "evidence supports the target", now);
  }
}

bool Rollout::LateInSecond(Time now) const {
  return order_.duration < kShortOrder || Elapsed(now) % seconds(1) >= kLateInSecond;
}

bool Rollout::LeftOld(Time now) const {
  return state_ == RolloutState::kSwitching && TargetUsable() &&
         now - state_since_ >= ControlTime() + kSettle && local_.outstanding.at(kOld) == 0;
}

bool Rollout::AllLeftOld(Time now) const {
  const auto left = [&](const Peer& peer) {
    return IsFresh(peer.report, now) &&
           (peer.report.state == RolloutState::kComplete || peer.report.left_old);
  };
  return LeftOld(now) && most_members_ > 0 &&
         std::ranges::all_of(live_,
                             [&](Incarnation member) {
                               const auto found = peers_.find(member);
                               return found != peers_.end() && left(found->second);
                             }) &&
         // A gateway that reports is live even if no list names it yet.
         std::ranges::all_of(peers_, [&](const auto& entry) {
           return !IsFresh(entry.second.report, now) || left(entry.second);
         });
}

std::optional<RolloutConclusion> Rollout::Conclusion(Time now) const {
  if (stored_) {
    return std::nullopt;
  }
  RolloutConclusion conclusion{.order_id = order_.id, .reason = reason_, .evidence = Evidence(now)};
  if (state_ == RolloutState::kReverted || state_ == RolloutState::kComplete) {
    conclusion.state = state_;
    return conclusion;
  }
  const bool immediate = servers_ && !had_old_servers_;
  if (state_ == RolloutState::kSwitching && now - last_call_ <= kSuspension &&
      Elapsed(now) < order_.duration && (immediate || now - state_since_ >= LeastSwitching()) &&
      AllLeftOld(now)) {
    conclusion.state = RolloutState::kComplete;
    return conclusion;
  }
  return std::nullopt;
}

}  // namespace lagoonwind::policy
