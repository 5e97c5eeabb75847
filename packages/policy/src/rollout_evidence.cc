// Evidence of a roll-out: counting responses, merging reports and judging the target version.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>
#include <utility>

#include "lagoonwind/rollout.h"
#include "rollout_statistics.h"

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kOld = static_cast<std::size_t>(RolloutVersion::kOld);
constexpr std::size_t kTarget = static_cast<std::size_t>(RolloutVersion::kTarget);

/// Probability below which a good version's result reverts the roll-out. The evidence is judged
/// several times a second, so that it must be far below the error rate of a whole roll-out.
constexpr double kFaultProbability = 1e-4;
/// Probability below which a result delays the switch until more responses have arrived.
constexpr double kDoubtProbability = 0.1;
/// Bad responses that a verdict requires.
constexpr std::uint64_t kLeastBad = 5;
constexpr std::uint64_t kLeastDoubtful = 2;
/// Rates that are presumed of the old version at least: it has seldom shown its rarest faults.
constexpr double kLeastFailureRate = 0.005;
constexpr double kLeastSlowRate = 0.02;
/// Failures this many times as frequent, or slow responses this much more frequent, are a
/// difference that matters.
constexpr double kFailureFactor = 2;
constexpr double kSlowExcess = 0.1;
/// Slow responses come in groups, so that a difference must be less likely than one in failures.
constexpr double kSlowThresholdFactor = 0.01;
constexpr double kSlowControlExcess = 0.25;
constexpr double kSlowSecondExcess = 0.3;
/// Responses of the old version from which its times are compared.
constexpr std::uint32_t kLeastReference = 20;
constexpr std::uint32_t kLeastSecondReference = 3;
/// Responses of the target to one of the old version up to which a second is compared. In seconds
/// with fewer, the old version's responses are mainly long streams that are ending.
constexpr std::uint32_t kMostPerReference = 20;
/// Seconds of slow responses that show a bad version when the old one has no responses in them.
constexpr int kLeastSlowSeconds = 3;
/// Half of the 50 bad responses after which the rollback time starts.
constexpr std::uint64_t kMostBad = 25;
constexpr double kBadMargin = 10;
/// Responses of the target that the switch requires: an eighth of the requests, between these.
constexpr std::uint64_t kLeastTrialResponses = 3;
constexpr std::uint64_t kMostTrialResponses = 20;
constexpr std::uint64_t kRequestsPerTrialResponse = 8;
constexpr Duration kLongestInterval = seconds(10);
constexpr Duration kSwitchMargin = seconds(3);
constexpr int kSwitchMarginParts = 5;
constexpr Duration kLeastSwitching = milliseconds(1500);
/// Longer responses count as this long.
constexpr Duration kLongestResponse = std::chrono::hours(24);
constexpr Duration kLongestControl = seconds(2);
constexpr int kSwitchingParts = 6;

/// Rate of an event with `count` of `total` responses, estimated high for small totals.
double UpperRate(std::uint64_t count, std::uint64_t total, double least) {
  const double n = static_cast<double>(total) + 1;
  const double rate = (static_cast<double>(count) + 0.5) / n;
  return std::clamp(rate + std::sqrt(rate * (1 - std::min(rate, 1.0)) / n), least, 1.0);
}

double Ratio(std::uint64_t count, std::uint64_t total) {
  return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total);
}

/// True if `failures` of `total` are more than a version with failure rate `rate` would show.
bool FailsMore(std::uint64_t failures, std::uint64_t total, double rate, double threshold) {
  return Ratio(failures, total) > kFailureFactor * rate &&
         BinomialUpperTail(failures, total, rate) < threshold;
}

/// True if `slow` of `total` are more than a version with rate `rate` would show.
bool SlowMore(std::uint64_t slow, std::uint64_t total, double rate, double excess,
              double threshold) {
  return Ratio(slow, total) > rate + excess &&
         BinomialUpperTail(slow, total, rate) < threshold * kSlowThresholdFactor;
}

void AddHistogram(RolloutHistogram& sum, const RolloutHistogram& added) {
  std::ranges::transform(sum, added, sum.begin(), std::plus<>{});
}

/// Larger of the numbers of slow first bytes and of slow responses of a version.
std::uint32_t SlowResponses(const RolloutCounts& counts,
                            const std::array<std::size_t, 2>& medians) {
  return std::max(RolloutSlow(counts.first_byte, medians[0]),
                  RolloutSlow(counts.total, medians[1]));
}

}  // namespace

RolloutRouteCounts& Rollout::LocalRoute(RouteId route) {
  const auto find = [&](RouteId id) {
    return std::ranges::find(local_.routes, id, &RolloutRouteCounts::route);
  };
  auto found = find(route);
  if (found == local_.routes.end() && local_.routes.size() + 1 >= kRolloutMaxRoutes) {
    route = RouteId{};
    found = find(route);
  }
  if (found == local_.routes.end()) {
    return local_.routes.emplace_back(RolloutRouteCounts{.route = route, .versions = {}});
  }
  return *found;
}

void Rollout::RecordEnd(RolloutVersion version, const RolloutOutcome& outcome, Time now) {
  NoteTime(now);
  const auto index = static_cast<std::size_t>(version);
  std::uint32_t& outstanding = local_.outstanding.at(index);
  outstanding -= std::min<std::uint32_t>(outstanding, 1);
  if (version == RolloutVersion::kOld) {
    if (now - longest_since_ > kLongestInterval) {
      longest_old_ = {Duration::zero(), longest_old_[0]};
      longest_since_ = now;
    }
    longest_old_[0] = std::max(
        longest_old_[0], std::min(outcome.total.value_or(Duration::zero()), kLongestResponse));
  }
  if (!outcome.judged) {
    return;
  }
  RolloutCounts& counts = LocalRoute(outcome.route).versions.at(index);
  ++counts.responses;
  if (outcome.failed) {
    ++counts.failures;
  } else {
    if (outcome.first_byte) {
      ++counts.first_byte.at(RolloutLatencyClass(*outcome.first_byte));
    }
    if (outcome.total) {
      ++counts.total.at(RolloutLatencyClass(*outcome.total));
    }
  }
  CountSecond(version, outcome, now);
}

void Rollout::CountSecond(RolloutVersion version, const RolloutOutcome& outcome, Time now) {
  const auto second =
      static_cast<std::uint32_t>(std::chrono::duration_cast<seconds>(Elapsed(now)).count());
  if (local_.seconds.empty() || local_.seconds.back().second < second) {
    if (local_.seconds.size() == kRolloutSeconds) {
      local_.seconds.erase(local_.seconds.begin());
    }
    local_.seconds.push_back({.second = second});
  }
  RolloutSecond& counts = local_.seconds.back();
  const auto index = static_cast<std::size_t>(version);
  ++counts.responses.at(index);
  if (outcome.failed) {
    ++counts.failures.at(index);
    return;
  }
  const auto median = medians_.find(outcome.route);
  if (median == medians_.end()) {
    return;
  }
  const auto is_slow = [](const std::optional<Duration>& time, std::size_t class_of_median) {
    return time && RolloutLatencyClass(*time) >= class_of_median + kSlowClasses;
  };
  if (is_slow(outcome.first_byte, median->second[0]) || is_slow(outcome.total, median->second[1])) {
    ++counts.slow.at(index);
  }
}

void Rollout::AddTotals(const RolloutReport& report) {
  totals_.requests += report.requests;
  totals_.longest_old =
      std::max(totals_.longest_old, std::min(report.longest_old, kLongestResponse));
  for (const std::size_t version : {kOld, kTarget}) {
    totals_.sent.at(version) += report.sent.at(version);
  }
  for (const RolloutRouteCounts& route : report.routes) {
    auto& versions = totals_.routes[route.route];
    for (const std::size_t version : {kOld, kTarget}) {
      RolloutCounts& sum = versions.at(version);
      const RolloutCounts& added = route.versions.at(version);
      sum.responses += added.responses;
      sum.failures += added.failures;
      AddHistogram(sum.first_byte, added.first_byte);
      AddHistogram(sum.total, added.total);
    }
  }
  for (const RolloutSecond& second : report.seconds) {
    RolloutSecond& sum = totals_.seconds[second.second];
    for (const std::size_t version : {kOld, kTarget}) {
      sum.responses.at(version) += second.responses.at(version);
      sum.failures.at(version) += second.failures.at(version);
      sum.slow.at(version) += second.slow.at(version);
    }
  }
}

void Rollout::Summarize(Time now) {
  totals_ = {};
  AddTotals(LocalReport(now));
  for (const auto& [peer, state] : peers_) {
    AddTotals(state.report);
  }
  // Reports of gateways that have ended hold older seconds.
  const auto current = std::chrono::duration_cast<seconds>(Elapsed(now)).count();
  const auto oldest = static_cast<std::uint32_t>(
      std::max<std::int64_t>(current + 1 - static_cast<std::int64_t>(kRolloutSeconds), 0));
  totals_.seconds.erase(totals_.seconds.begin(), totals_.seconds.lower_bound(oldest));
  for (const auto& [route, versions] : totals_.routes) {
    if (RolloutCount(versions[kOld].total) >= kLeastReference) {
      medians_[route] = {RolloutMedianClass(versions[kOld].first_byte),
                         RolloutMedianClass(versions[kOld].total)};
    }
  }
  supported_ = Evidence(now).responses[kTarget] >= kMostTrialResponses &&
               JudgeRoutes(kDoubtProbability).empty();
}

RolloutEvidence Rollout::Evidence(Time now) const {
  RolloutEvidence evidence{
      .requests = totals_.requests, .sent = totals_.sent, .gateways = peers_.size() + 1};
  for (const auto& [route, versions] : totals_.routes) {
    const auto median = medians_.find(route);
    for (const std::size_t version : {kOld, kTarget}) {
      evidence.responses.at(version) += versions.at(version).responses;
      evidence.failures.at(version) += versions.at(version).failures;
      if (median != medians_.end()) {
        evidence.slow.at(version) += SlowResponses(versions.at(version), median->second);
      }
    }
  }
  for (const Incarnation member : live_) {
    const auto peer = peers_.find(member);
    const Duration age = peer == peers_.end() ? Elapsed(now) : now - peer->second.received;
    evidence.oldest_report = std::max(evidence.oldest_report, age);
  }
  return evidence;
}

std::string_view Rollout::Judge() const {
  if (servers_ && !had_old_servers_) {
    return {};  // There is no other version to compare with or to return to.
  }
  if (const std::string_view fault = JudgeRoutes(kFaultProbability); !fault.empty()) {
    return fault;
  }
  return JudgeRecent();
}

std::string_view Rollout::JudgeRoutes(double threshold) const {
  const bool doubt = threshold > kFaultProbability;
  const std::uint64_t least = doubt ? kLeastDoubtful : kLeastBad;
  // While all requests go to the target, a slow second of the whole fleet shows in its counters
  // only.
  const bool compare_times = state_ != RolloutState::kSwitching;
  const double routes = std::max<double>(1, static_cast<double>(totals_.routes.size()));
  std::uint64_t responses = 0;
  std::uint64_t failures = 0;
  std::uint64_t bad = 0;
  double presumed_failures = 0;
  double expected_bad = 0;
  for (const auto& [route, versions] : totals_.routes) {
    const auto& [old, target] = versions;
    const double rate = UpperRate(old.failures, old.responses, kLeastFailureRate);
    if (target.failures >= least &&
        FailsMore(target.failures, target.responses, rate, threshold / routes)) {
      return "more failures on a route";
    }
    responses += target.responses;
    failures += target.failures;
    bad += target.failures;
    presumed_failures += rate * target.responses;
    expected_bad += Ratio(old.failures, old.responses) * target.responses;
    const auto median = medians_.find(route);
    if (!compare_times || median == medians_.end()) {
      continue;
    }
    const auto slower = [&](const RolloutHistogram& old_times, const RolloutHistogram& target_times,
                            std::size_t middle) {
      const std::uint32_t slow = RolloutSlow(target_times, middle);
      const double slow_rate =
          UpperRate(RolloutSlow(old_times, middle), RolloutCount(old_times), kLeastSlowRate);
      return slow >= least &&
             SlowMore(slow, RolloutCount(target_times), slow_rate, kSlowExcess, threshold / routes);
    };
    if (slower(old.first_byte, target.first_byte, median->second[0]) ||
        slower(old.total, target.total, median->second[1])) {
      return "slower on a route";
    }
    bad += SlowResponses(target, median->second);
    expected_bad += Ratio(SlowResponses(old, median->second), old.responses) * target.responses;
  }
  if (failures >= least &&
      FailsMore(failures, responses, presumed_failures / static_cast<double>(responses),
                threshold)) {
    return "more failures";
  }
  if (!doubt && bad >= kMostBad &&
      static_cast<double>(bad) > kFailureFactor * expected_bad + kBadMargin) {
    return "many bad responses";
  }
  return {};
}

std::string_view Rollout::JudgeRecent() const {
  const RolloutEvidence all = Evidence(last_call_);
  const double failure_rate = UpperRate(all.failures[kOld], all.responses[kOld], kLeastFailureRate);
  const double slow_rate = UpperRate(all.slow[kOld], all.responses[kOld], kLeastSlowRate);
  const bool switching = state_ == RolloutState::kSwitching;
  const double excess = switching ? kSlowControlExcess : kSlowExcess;
  // In the second in which the switch started, each version's responses are of different moments.
  const auto switch_second =
      std::chrono::duration_cast<seconds>(std::max(state_since_ - start_, Duration::zero()))
          .count();
  // Responses of the target, bad ones among them, and bad ones that the old version would show.
  struct Comparison {
    std::uint64_t responses = 0;
    std::uint64_t bad = 0;
    double presumed = 0;
  };
  Comparison failed;
  Comparison slow;
  int alone = 0;
  int slow_alone = 0;
  std::uint64_t slow_responses_alone = 0;
  for (const auto& [second, counts] : totals_.seconds) {
    const std::uint32_t old_responses = counts.responses[kOld];
    const std::uint32_t responses = counts.responses[kTarget];
    if (responses == 0) {
      continue;
    }
    const bool compared = old_responses >= kLeastSecondReference &&
                          responses <= std::uint64_t{old_responses} * kMostPerReference;
    const auto presume = [&](std::uint32_t old_bad, double rate, double least) {
      return responses *
             (compared ? std::max(rate, UpperRate(old_bad, old_responses, least)) : rate);
    };
    failed.responses += responses;
    failed.bad += counts.failures[kTarget];
    failed.presumed += presume(counts.failures[kOld], failure_rate, kLeastFailureRate);
    if (switching && second == switch_second) {
      continue;
    }
    if (compared) {
      slow.responses += responses;
      slow.bad += counts.slow[kTarget];
      slow.presumed += presume(counts.slow[kOld], slow_rate, kLeastSlowRate);
      continue;
    }
    ++alone;
    if (Ratio(counts.slow[kTarget], responses) > slow_rate + kSlowSecondExcess) {
      ++slow_alone;
      slow_responses_alone += counts.slow[kTarget];
    }
  }
  const auto rate = [](const Comparison& comparison) {
    return comparison.presumed /
           static_cast<double>(std::max<std::uint64_t>(comparison.responses, 1));
  };
  if (failed.bad >= kLeastBad &&
      FailsMore(failed.bad, failed.responses, rate(failed), kFaultProbability)) {
    return "more failures in the last seconds";
  }
  if (slow.bad >= kLeastBad &&
      SlowMore(slow.bad, slow.responses, rate(slow), excess, kFaultProbability)) {
    return "slower in the last seconds";
  }
  if (slow_alone >= kLeastSlowSeconds && slow_responses_alone >= kLeastBad &&
      slow_alone * 2 > alone) {
    return "slow for several seconds";
  }
  return {};
}

bool Rollout::SupportsSwitch() const {
  const std::uint64_t responses = Evidence(last_call_).responses[kTarget];
  const std::uint64_t required = std::clamp(totals_.requests / kRequestsPerTrialResponse,
                                            kLeastTrialResponses, kMostTrialResponses);
  return responses >= required && JudgeRoutes(kDoubtProbability).empty();
}

Duration Rollout::SwitchTime() const {
  const Duration margin = std::max<Duration>(kSwitchMargin, order_.duration / kSwitchMarginParts);
  return order_.duration - std::min(order_.duration / 2, 2 * totals_.longest_old + margin);
}

Duration Rollout::ControlTime() const {
  if (servers_ && !had_old_servers_) {
    return Duration::zero();
  }
  return std::min(kLongestControl, LeastSwitching() / 2);
}

Duration Rollout::LeastSwitching() const {
  return std::min(std::max<Duration>(kLeastSwitching, 2 * totals_.longest_old),
                  order_.duration / kSwitchingParts);
}

}  // namespace lagoonwind::policy
