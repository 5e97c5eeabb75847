#include "lagoonwind/dispatch.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Outlier ejection.

/// Consecutive failures after which a backend server is ejected.
constexpr int kConsecutiveFailuresToEject = 2;
/// Duration of the first ejection; doubled with each further failure.
constexpr Duration kBaseEjectionTime = milliseconds(400);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(3);
/// Weight of one response in the moving average of a backend server's failure ratio, and of the
/// fleet's.
constexpr double kFailureRatioWeight = 0.1;
constexpr double kFleetFailureRatioWeight = 0.02;
/// Excess over the fleet's failure ratio above which a backend server is ejected.
constexpr double kExcessFailureRatio = 0.35;

/// Time from the end of prefill to the first event at the caller: the rest of the decoding step in
/// progress (half a step on average), the first step of the request, and the network round trip.
constexpr Duration kFirstByteOverhead = milliseconds(100);

// Costs, in seconds of latency.

/// Weight of the prefill time of tokens that another engine has cached, and its increase per second
/// of mean queueing delay, as repeated prefill under load delays all queued requests. Suits loads
/// of 0.5 and 0.8 of the engines' capacity.
constexpr double kRepeatedPrefillWeight = 8.0;
constexpr double kRepeatedPrefillWeightPerSecond = 100.0;
/// Fraction of the objective up to which the time to the first byte adds no further cost, and the
/// weight of the time beyond it. The weight moves segments to engines that can still meet the
/// objective.
constexpr double kOnTimeFraction = 0.6;
constexpr double kLatenessWeight = 2.5;
/// Cost of the engine ranked last by rendezvous hashing of the shared segments. Gateways thereby
/// choose the same engine for segments that no engine caches.
constexpr double kHashAffinityCost = 0.02;
/// Cost of another availability zone.
constexpr double kCrossZoneCost = 0.002;
/// Cost of each request running on an engine, and of full utilization of a plain service's backend
/// server.
constexpr double kRunningRequestCost = 0.0005;
constexpr double kUtilizationCost = 0.05;

// Admission control.

/// Minimum fraction of the objective that is allowed for queueing, so that large prompts are not
/// refused for their own prefill time.
constexpr double kMinDelayFraction = 0.4;
/// Fraction of the maximum queueing delay that is allowed to customers at their fair share; the
/// rest is reserved for customers below it.
constexpr double kFairShareDelayFraction = 0.65;
/// Usage of the fair share from which only kMinUsageDelayFraction is allowed.
constexpr double kUsageAtMinDelay = 1.5;
/// Fraction of the maximum queueing delay that is allowed at any usage, so that no engine is idle
/// while any customer has requests.
constexpr double kMinUsageDelayFraction = 0.15;
/// Usage of the fair share below which a request may go to any engine with capacity if the cheapest
/// one would refuse it. Such customers send little, so that repeated prefill for them costs little;
/// for all customers, it would use more capacity under load than it finds.
constexpr double kLightUsage = 0.5;
/// Fraction of an engine's KV cache that running requests may need beyond shared segments.
constexpr double kKvCacheFraction = 0.8;
/// Fraction of an engine's capacity that long responses leave to short ones, and the response
/// length in tokens from which all of it is reserved. A long response occupies its slot as long as
/// many short ones.
constexpr double kShortResponseReserve = 0.3;
constexpr double kLongResponseTokens = 256;
/// Fraction of an engine's concurrency limit and KV cache, graded by usage, that customers above
/// their fair share leave to light ones.
constexpr double kLightCustomerReserve = 0.5;
/// Minimum time left for a request to a plain service, as a fraction of its objective or timeout,
/// whichever is shorter.
constexpr double kMinTimeLeftFraction = 0.25;
/// Minimum retry-after time for callers.
constexpr Duration kMinRetryAfter = milliseconds(300);

double ToSeconds(Duration time) { return Seconds(time).count(); }
Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

/// Fraction of the maximum queueing delay that is allowed to a customer with the given usage of its
/// fair share.
double DelayFraction(double usage) {
  if (usage <= 1) {
    return 1 - usage * (1 - kFairShareDelayFraction);
  }
  const double excess = std::min((usage - 1) / (kUsageAtMinDelay - 1), 1.0);
  return kFairShareDelayFraction - excess * (kFairShareDelayFraction - kMinUsageDelayFraction);
}

/// Longest queueing delay at an engine with which a request can still meet its objective, in
/// seconds.
double MaxQueueingDelay(const DispatchRequest& request, const EngineEstimate& estimate) {
  const double objective = ToSeconds(request.objective);
  return std::max(objective - ToSeconds(kFirstByteOverhead + estimate.prefill_time),
                  objective * kMinDelayFraction);
}

/// Time until the engine's queueing delay falls to half of its maximum, or to zero for requests
/// that cannot meet their deadline.
Duration TimeUntilCapacity(const DispatchRequest& request, const DispatchDecision& decision) {
  if (decision.verdict == DispatchVerdict::kCannotMeetDeadline) {
    return decision.estimate.queueing_delay;
  }
  return decision.estimate.queueing_delay -
         ToDuration(MaxQueueingDelay(request, decision.estimate) / 2);
}

/// Hash of the segments that a prompt shares with others; the last segment is its own.
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
  // Spreads requests over candidates of equal cost.
  const double tie = static_cast<double>(CombineHashes(candidate.server.value, seed) % 1000) * 1e-6;
  return (candidate.same_zone ? 0 : kCrossZoneCost) + utilization * kUtilizationCost + tie;
}

double Dispatcher::EngineCost(const DispatchRequest& request, const Candidate& candidate,
                              const EngineEstimate& estimate, const CostInputs& inputs) const {
  double cost = candidate.same_zone ? 0 : kCrossZoneCost;
  cost += ToSeconds(estimate.queueing_delay) + ToSeconds(estimate.prefill_time);
  cost += kRunningRequestCost * static_cast<double>(estimate.running);
  const double repeated_prefill_weight =
      kRepeatedPrefillWeight + kRepeatedPrefillWeightPerSecond * inputs.mean_queueing_delay_s;
  cost += repeated_prefill_weight * estimate.cached_elsewhere_tokens_per_use /
          load_.prefill_rate(candidate.server);
  const double first_byte_time =
      ToSeconds(estimate.queueing_delay + estimate.prefill_time + kFirstByteOverhead);
  cost += kLatenessWeight *
          std::max(first_byte_time - kOnTimeFraction * ToSeconds(request.objective), 0.0);
  const std::uint64_t rank = CombineHashes(inputs.shared_prefix_hash, candidate.server.value);
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
  const CostInputs inputs{.mean_queueing_delay_s = MeanQueueingDelay(options),
                          .shared_prefix_hash = SharedPrefixHash(*request.prompt)};
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    options[i].cost = EngineCost(request, candidates[i], estimates[i], inputs);
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
                         load_.time_per_output_token() * request.prompt->output_tokens();
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

std::size_t Dispatcher::ApplyPace(std::size_t best, std::span<const Option> options,
                                  std::span<const Candidate> candidates,
                                  std::span<const int> outstanding,
                                  absl::FunctionRef<bool(std::size_t)> can_take, Time now) const {
  const auto is_within_pace = [&](std::size_t i) {
    return pace_->MayTake(candidates[i].server, outstanding[i], candidates[i].concurrency_limit,
                          now);
  };
  if (is_within_pace(best)) {
    return best;
  }
  const auto within_pace =
      Cheapest(options, [&](std::size_t i) { return is_within_pace(i) && can_take(i); });
  if (within_pace) {
    return *within_pace;
  }
  std::vector<Option> weighted(options.begin(), options.end());
  for (std::size_t i = 0; i < weighted.size(); ++i) {
    weighted[i].cost /= pace_->Fraction(candidates[i].server, now);
  }
  return Cheapest(std::span<const Option>(weighted), can_take).value_or(best);
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
  if (best && pace_ != nullptr && !pace_->IsIdle()) {
    const auto can_take = [&](std::size_t i) {
      // The verdict includes the concurrency limit of engines only.
      return is_eligible(i) && verdict(i) == DispatchVerdict::kSend &&
             (request.prompt != nullptr ||
              pace_->HasRoom(outstanding[i], candidates[i].concurrency_limit));
    };
    best = ApplyPace(*best, options, candidates, outstanding, can_take, now);
  }
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
