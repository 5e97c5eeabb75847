#include "lagoonwind/dispatch.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Server health.

/// Failures in a row after which a backend server is passed over.
constexpr int kConsecutiveFailuresToEject = 2;
/// First time for which it is passed over; doubled with each further failure.
constexpr Duration kBaseEjectionTime = milliseconds(400);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(3);
/// Weight of one answer in a backend server's share of failures, and in that of all.
constexpr double kFailureRatioWeight = 0.1;
constexpr double kFleetFailureRatioWeight = 0.02;
/// Share of failures beyond that of all from which on it is passed over.
constexpr double kExcessFailureRatio = 0.35;

/// Time from the end of reading to the first event at the caller: an engine's first step, half a
/// step that runs already, and the way there and back.
constexpr Duration kFirstByteOverhead = milliseconds(100);

// Costs, in seconds of the caller's time.

/// Weight of tokens that are read again although another engine keeps them, against the time to
/// read them; and what is added to it for each second that engines wait on average, as reading
/// again under load delays all that wait. From days at 0.5 and 0.8 of the engines' capacity.
constexpr double kRepeatedPrefillWeight = 8.0;
constexpr double kRepeatedPrefillWeightPerSecond = 100.0;
/// Part of the objective up to which it doesn't matter when the answer begins, and the weight of
/// the time beyond it. Parts of prompts then move to engines that can still answer in time.
constexpr double kOnTimeFraction = 0.6;
constexpr double kLatenessWeight = 2.5;
/// Cost of leaving the engine that a prompt part is hashed to while no engine keeps the part.
constexpr double kHashAffinityCost = 0.02;
/// Cost of another availability zone.
constexpr double kCrossZoneCost = 0.002;
/// Cost of one running request beside others on an engine, and on a plain service for each slot.
constexpr double kRunningRequestCost = 0.0005;
constexpr double kUtilizationCost = 0.05;

// Admission.

/// Part of the objective that is left for waiting at least, so that large prompts are not refused
/// for their own reading time.
constexpr double kMinDelayFraction = 0.4;
/// Part of the longest useful wait that customers at their share may cause; the rest is kept for
/// those below it.
constexpr double kFairShareDelayFraction = 0.65;
/// Use of the share from which on only the least wait is allowed.
constexpr double kUsageAtMinDelay = 1.5;
/// Part of the longest useful wait that is open to a customer whatever its use, so that no engine
/// runs empty while anyone has work.
constexpr double kMinUsageDelayFraction = 0.15;
/// Use of the share below which a request goes to any engine with room when the cheapest would
/// refuse it. Such customers ask for little, so that what is read again for them costs little;
/// for all customers, it would take more capacity than it finds under load.
constexpr double kLightUsage = 0.5;
/// Engine time for one token of an answer while prompts are read beside it.
constexpr Duration kTimePerOutputToken = std::chrono::microseconds(9000);
/// Part of an engine's memory that running requests may need beyond shared parts.
constexpr double kKvCacheFraction = 0.8;
/// Part of an engine's slots that long answers leave to short ones, and the answer's length in
/// tokens from which on it is all of that. A long answer holds its slot as long as many short ones.
constexpr double kShortResponseReserve = 0.3;
constexpr double kLongResponseTokens = 256;
/// Part of an engine's slots and memory that customers beyond their share leave to light ones.
constexpr double kLightCustomerReserve = 0.5;
/// Part of the objective that must be left for a plain request to be of use.
constexpr double kMinTimeLeftFraction = 0.25;
/// Least time that callers are told to stay away.
constexpr Duration kMinRetryAfter = milliseconds(300);

double ToSeconds(Duration time) { return Seconds(time).count(); }
Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

/// Part of the usual wait that a customer may cause.
double DelayFraction(double usage) {
  if (usage <= 1) {
    return 1 - usage * (1 - kFairShareDelayFraction);
  }
  const double excess = std::min((usage - 1) / (kUsageAtMinDelay - 1), 1.0);
  return kFairShareDelayFraction - excess * (kFairShareDelayFraction - kMinUsageDelayFraction);
}

/// Longest wait at an engine from which a request is still of use, in seconds.
double MaxQueueingDelay(const DispatchRequest& request, const EngineEstimate& estimate) {
  const double objective = ToSeconds(request.objective);
  return std::max(objective - ToSeconds(kFirstByteOverhead + estimate.prefill_time),
                  objective * kMinDelayFraction);
}

/// Time after which the engine is expected to have read half of what it may have waiting, or all
/// for what can't end in time.
Duration TimeUntilCapacity(const DispatchRequest& request, const DispatchDecision& decision) {
  if (decision.verdict == DispatchVerdict::kCannotMeetDeadline) {
    return decision.estimate.queueing_delay;
  }
  return decision.estimate.queueing_delay -
         ToDuration(MaxQueueingDelay(request, decision.estimate) / 2);
}

/// Hash of the parts that a prompt shares with others; the last one is its own.
std::uint64_t SharedPrefixHash(const Prompt& prompt) {
  std::uint64_t prefix_hash = 0;
  for (std::size_t i = 0; i + 1 < prompt.segments.size(); ++i) {
    prefix_hash = CombineHashes(prefix_hash, prompt.segments[i].id);
  }
  return prefix_hash;
}

}  // namespace

std::string_view Name(DispatchVerdict verdict) {
  constexpr std::array<std::string_view, 7> kNames{
      "send", "no_server", "cold", "overloaded", "over_share", "full", "hopeless"};
  return kNames[static_cast<std::size_t>(verdict)];
}

void ServerHealth::RecordSuccess(ServerId server, Time now) {
  State& state = servers_[server];
  state.consecutive_failures = 0;
  state.ejected_until = now;
}

void ServerHealth::RecordFailure(ServerId server, Time now) {
  State& state = servers_[server];
  ++state.consecutive_failures;
  if (state.consecutive_failures >= kConsecutiveFailuresToEject) {
    const int doublings = std::min(state.consecutive_failures - kConsecutiveFailuresToEject, 4);
    state.ejected_until = now + std::min(kBaseEjectionTime * (1 << doublings), kMaxEjectionTime);
  }
}

void ServerHealth::RecordResponse(ServerId server, bool failed, Time now) {
  State& state = servers_[server];
  const double value = failed ? 1 : 0;
  state.failure_ratio += kFailureRatioWeight * (value - state.failure_ratio);
  fleet_failure_ratio_ += kFleetFailureRatioWeight * (value - fleet_failure_ratio_);
  if (failed && state.failure_ratio > fleet_failure_ratio_ + kExcessFailureRatio) {
    state.ejected_until = now + kBaseEjectionTime;
  }
}

bool ServerHealth::IsEjected(ServerId server, Time now) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && now < found->second.ejected_until;
}

double Dispatcher::PlainServiceCost(const Candidate& candidate, int outstanding,
                                    std::uint64_t seed) const {
  const double utilization =
      static_cast<double>(outstanding) / std::max(candidate.concurrency_limit, 1);
  // Ties go to any of them.
  const double tie = static_cast<double>(CombineHashes(candidate.server.value, seed) % 1000) * 1e-6;
  return (candidate.same_zone ? 0 : kCrossZoneCost) + utilization * kUtilizationCost + tie;
}

double Dispatcher::EngineCost(const DispatchRequest& request, const Candidate& candidate,
                              const EngineEstimate& estimate, double mean_queueing_delay) const {
  double cost = candidate.same_zone ? 0 : kCrossZoneCost;
  cost += ToSeconds(estimate.queueing_delay) + ToSeconds(estimate.prefill_time);
  cost += kRunningRequestCost * static_cast<double>(estimate.running);
  const double repeated_prefill_weight =
      kRepeatedPrefillWeight + kRepeatedPrefillWeightPerSecond * mean_queueing_delay;
  cost += repeated_prefill_weight * estimate.cached_elsewhere_tokens_per_use / load_.prefill_rate();
  const double first_byte_time =
      ToSeconds(estimate.queueing_delay + estimate.prefill_time + kFirstByteOverhead);
  cost += kLatenessWeight *
          std::max(first_byte_time - kOnTimeFraction * ToSeconds(request.objective), 0.0);
  const std::uint64_t rank =
      CombineHashes(SharedPrefixHash(*request.prompt), candidate.server.value);
  return cost + kHashAffinityCost * static_cast<double>(rank % 1000) / 1000;
}

double Dispatcher::MeanQueueingDelay(std::span<const Option> options) {
  const auto add = [](double sum, const Option& option) {
    return sum + ToSeconds(option.estimate.queueing_delay);
  };
  return std::accumulate(options.begin(), options.end(), 0.0, add) /
         static_cast<double>(std::max<std::size_t>(options.size(), 1));
}

std::vector<Dispatcher::Option> Dispatcher::Options(const DispatchRequest& request,
                                                    std::span<const Candidate> candidates,
                                                    std::span<const int> outstanding,
                                                    std::uint64_t seed, Time now) const {
  std::vector<Option> options(candidates.size());
  if (request.prompt == nullptr) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      options[i].cost = PlainServiceCost(candidates[i], outstanding[i], seed);
    }
    return options;
  }
  std::vector<ServerId> servers(candidates.size());
  std::ranges::transform(candidates, servers.begin(), &Candidate::server);
  const std::vector<EngineEstimate> estimates = load_.EstimateAll(servers, *request.prompt, now);
  std::ranges::transform(estimates, options.begin(), [](const EngineEstimate& estimate) {
    return Option{.estimate = estimate};
  });
  const double mean_queueing_delay = MeanQueueingDelay(options);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    options[i].cost = EngineCost(request, candidates[i], estimates[i], mean_queueing_delay);
  }
  return options;
}

bool Dispatcher::IsEligible(const Candidate& candidate, bool allow_ejected, Time now) const {
  const bool ejected = !allow_ejected && health_.IsEjected(candidate.server, now);
  const bool cold = candidate.cold_rate_limit > 0 &&
                    cold_.Delay(candidate.server, candidate.cold_rate_limit, now) > Duration{0};
  return !ejected && !cold;
}

DispatchVerdict Dispatcher::Evaluate(const DispatchRequest& request, const Candidate& candidate,
                                     const EngineEstimate& estimate, double usage) const {
  if (request.prompt == nullptr) {
    const Duration expected_time = std::min(request.objective, request.timeout);
    return ToSeconds(request.time_left) < ToSeconds(expected_time) * kMinTimeLeftFraction
               ? DispatchVerdict::kCannotMeetDeadline
               : DispatchVerdict::kSend;
  }
  const Duration total = estimate.queueing_delay + estimate.prefill_time +
                         kTimePerOutputToken * request.prompt->max_output_tokens;
  if (total > request.time_left) {
    return DispatchVerdict::kCannotMeetDeadline;
  }
  if (request.is_retry) {
    return DispatchVerdict::kSend;
  }
  const double queueing_delay = ToSeconds(estimate.queueing_delay);
  const double max_delay = MaxQueueingDelay(request, estimate);
  const double delay_fraction = DelayFraction(usage);
  if (queueing_delay > max_delay * delay_fraction) {
    return queueing_delay > max_delay ? DispatchVerdict::kOverloaded : DispatchVerdict::kOverShare;
  }
  const double length_fraction =
      std::min(static_cast<double>(request.prompt->max_output_tokens) / kLongResponseTokens, 1.0);
  const double available_fraction = (1 - kLightCustomerReserve * (1 - delay_fraction)) *
                                    (1 - kShortResponseReserve * length_fraction);
  const bool no_capacity =
      static_cast<double>(estimate.running) >= available_fraction * candidate.concurrency_limit ||
      static_cast<double>(estimate.running_tokens) >
          available_fraction * kKvCacheFraction * static_cast<double>(candidate.kv_cache_tokens);
  return no_capacity ? DispatchVerdict::kNoCapacity : DispatchVerdict::kSend;
}

DispatchDecision Dispatcher::Decide(const DispatchRequest& request,
                                    std::span<const Candidate> candidates,
                                    std::span<const int> outstanding, std::uint64_t seed,
                                    Time now) const {
  DispatchDecision decision{.retry_after = kMinRetryAfter};
  if (candidates.empty()) {
    return decision;
  }
  const std::vector<Option> options = Options(request, candidates, outstanding, seed, now);
  const bool needs_admission = request.prompt != nullptr && !request.is_retry;
  decision.usage = needs_admission ? share_.Usage(request.customer, now) : 0;
  const auto is_eligible = [&](std::size_t i) { return IsEligible(candidates[i], false, now); };
  const auto is_eligible_or_ejected = [&](std::size_t i) {
    return IsEligible(candidates[i], true, now);
  };
  const auto verdict = [&](std::size_t i) {
    return Evaluate(request, candidates[i], options[i].estimate, decision.usage);
  };
  auto best = Cheapest(options, is_eligible);
  if (!best) {
    best = Cheapest(options, is_eligible_or_ejected);
  }
  if (!best) {
    decision.verdict = DispatchVerdict::kColdStartLimit;
    return decision;
  }
  decision.verdict = verdict(*best);
  if (needs_admission && decision.verdict != DispatchVerdict::kSend &&
      decision.usage < kLightUsage) {
    const auto with_capacity = Cheapest(options, [&](std::size_t i) {
      return is_eligible(i) && verdict(i) == DispatchVerdict::kSend;
    });
    best = with_capacity.value_or(*best);
    decision.verdict = verdict(*best);
  }
  decision.server = candidates[*best].server;
  decision.estimate = options[*best].estimate;
  if (request.prompt != nullptr) {
    decision.retry_after = std::max(TimeUntilCapacity(request, decision), kMinRetryAfter);
  }
  return decision;
}

}  // namespace lagoonwind::policy
