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
constexpr int kEjectFailures = 2;
/// First time for which it is passed over; doubled with each further failure.
constexpr Duration kFirstEjection = milliseconds(400);
constexpr Duration kMaxEjection = std::chrono::seconds(3);
/// Weight of one answer in a backend server's share of failures, and in that of all.
constexpr double kAnswerWeight = 0.1;
constexpr double kFleetAnswerWeight = 0.02;
/// Share of failures beyond that of all from which on it is passed over.
constexpr double kExcessFailures = 0.35;

/// Time from the end of reading to the first event at the caller: an engine's first step, half a
/// step that runs already, and the way there and back.
constexpr Duration kBeginOverhead = milliseconds(100);

// Costs, in seconds of the caller's time.

/// Weight of tokens that are read again although another engine keeps them, against the time to
/// read them; and what is added to it for each second that engines wait on average, as reading
/// again under load delays all that wait. From days at 0.5 and 0.8 of the engines' capacity.
constexpr double kRepeatedReadWeight = 8.0;
constexpr double kRepeatedReadPerWait = 100.0;
/// Part of the objective up to which it doesn't matter when the answer begins, and the weight of
/// the time beyond it. Parts of prompts then move to engines that can still answer in time.
constexpr double kComfortShare = 0.6;
constexpr double kLateWeight = 2.5;
/// Cost of leaving the engine that a prompt part is hashed to while no engine keeps the part.
constexpr double kStrangerCost = 0.02;
/// Cost of another availability zone.
constexpr double kZoneCost = 0.002;
/// Cost of one running request beside others on an engine, and on a plain service for each slot.
constexpr double kRunningCost = 0.0005;
constexpr double kBusySlotCost = 0.05;

// Admission.

/// Part of the objective that is left for waiting at least, so that large prompts are not refused
/// for their own reading time.
constexpr double kLeastWaitShare = 0.4;
/// Part of the longest useful wait that customers at their share may cause; the rest is kept for
/// those below it.
constexpr double kFairWaitShare = 0.65;
/// Use of the share from which on only the least wait is allowed.
constexpr double kUsageEnd = 1.5;
/// Part of the longest useful wait that is open to a customer whatever its use, so that no engine
/// runs empty while anyone has work.
constexpr double kLeastUsagePart = 0.15;
/// Use of the share below which a request goes to any engine with room when the cheapest would
/// refuse it. Such customers ask for little, so that what is read again for them costs little;
/// for all customers, it would take more capacity than it finds under load.
constexpr double kLightUsage = 0.5;
/// Engine time for one token of an answer while prompts are read beside it.
constexpr Duration kTokenTime = std::chrono::microseconds(9000);
/// Part of an engine's memory that running requests may need beyond shared parts.
constexpr double kMemoryShare = 0.8;
/// Part of an engine's slots that long answers leave to short ones, and the answer's length in
/// tokens from which on it is all of that. A long answer holds its slot as long as many short ones.
constexpr double kSlotsForShort = 0.3;
constexpr double kLongAnswer = 256;
/// Part of an engine's slots and memory that customers beyond their share leave to light ones.
constexpr double kSlotsForLight = 0.5;
/// Part of the objective that must be left for a plain request to be of use.
constexpr double kLeastPlainTime = 0.25;
/// Least time that callers are told to stay away.
constexpr Duration kMinRetryAfter = milliseconds(300);

double AsSeconds(Duration time) { return Seconds(time).count(); }
Duration AsDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

/// Part of the usual wait that a customer may cause.
double UsagePart(double usage) {
  if (usage <= 1) {
    return 1 - usage * (1 - kFairWaitShare);
  }
  const double beyond = std::min((usage - 1) / (kUsageEnd - 1), 1.0);
  return kFairWaitShare - beyond * (kFairWaitShare - kLeastUsagePart);
}

/// Longest wait at an engine from which a request is still of use, in seconds.
double MostWait(const DispatchRequest& request, const EngineEstimate& estimate) {
  const double objective = AsSeconds(request.objective);
  return std::max(objective - AsSeconds(kBeginOverhead + estimate.read),
                  objective * kLeastWaitShare);
}

/// Time after which the engine is expected to have read half of what it may have waiting, or all
/// for what can't end in time.
Duration TimeToRoom(const DispatchRequest& request, const DispatchDecision& decision) {
  if (decision.verdict == DispatchVerdict::kHopeless) {
    return decision.estimate.wait;
  }
  return decision.estimate.wait - AsDuration(MostWait(request, decision.estimate) / 2);
}

/// Hash of the parts that a prompt shares with others; the last one is its own.
std::uint64_t SharedPrefix(const Prompt& prompt) {
  std::uint64_t prefix = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    prefix = CombineHashes(prefix, prompt.parts[i].id);
  }
  return prefix;
}

}  // namespace

std::string_view Name(DispatchVerdict verdict) {
  constexpr std::array<std::string_view, 7> kNames{
      "send", "no_server", "cold", "overloaded", "over_share", "full", "hopeless"};
  return kNames[static_cast<std::size_t>(verdict)];
}

void ServerHealth::Succeeded(ServerId server, Time now) {
  State& state = servers_[server];
  state.failures = 0;
  state.ejected_until = now;
}

void ServerHealth::Failed(ServerId server, Time now) {
  State& state = servers_[server];
  ++state.failures;
  if (state.failures >= kEjectFailures) {
    const int doublings = std::min(state.failures - kEjectFailures, 4);
    state.ejected_until = now + std::min(kFirstEjection * (1 << doublings), kMaxEjection);
  }
}

void ServerHealth::Answered(ServerId server, bool failed, Time now) {
  State& state = servers_[server];
  const double value = failed ? 1 : 0;
  state.failure_share += kAnswerWeight * (value - state.failure_share);
  failure_share_ += kFleetAnswerWeight * (value - failure_share_);
  if (failed && state.failure_share > failure_share_ + kExcessFailures) {
    state.ejected_until = now + kFirstEjection;
  }
}

bool ServerHealth::Ejected(ServerId server, Time now) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && now < found->second.ejected_until;
}

double Dispatch::PlainCost(const Candidate& candidate, int outstanding, std::uint64_t seed) const {
  const double busy = static_cast<double>(outstanding) / std::max(candidate.slots, 1);
  // Ties go to any of them.
  const double tie = static_cast<double>(CombineHashes(candidate.server.value, seed) % 1000) * 1e-6;
  return (candidate.own_zone ? 0 : kZoneCost) + busy * kBusySlotCost + tie;
}

double Dispatch::EngineCost(const DispatchRequest& request, const Candidate& candidate,
                            const EngineEstimate& estimate, double mean_wait) const {
  double cost = candidate.own_zone ? 0 : kZoneCost;
  cost += AsSeconds(estimate.wait) + AsSeconds(estimate.read);
  cost += kRunningCost * static_cast<double>(estimate.running);
  const double repeat_weight = kRepeatedReadWeight + kRepeatedReadPerWait * mean_wait;
  cost += repeat_weight * estimate.repeated_tokens_a_use / load_.reading_rate();
  const double begin = AsSeconds(estimate.wait + estimate.read + kBeginOverhead);
  cost += kLateWeight * std::max(begin - kComfortShare * AsSeconds(request.objective), 0.0);
  const std::uint64_t rank = CombineHashes(SharedPrefix(*request.prompt), candidate.server.value);
  return cost + kStrangerCost * static_cast<double>(rank % 1000) / 1000;
}

double Dispatch::MeanWait(std::span<const Option> options) {
  const auto add = [](double sum, const Option& option) {
    return sum + AsSeconds(option.estimate.wait);
  };
  return std::accumulate(options.begin(), options.end(), 0.0, add) /
         static_cast<double>(std::max<std::size_t>(options.size(), 1));
}

std::vector<Dispatch::Option> Dispatch::Options(const DispatchRequest& request,
                                                std::span<const Candidate> candidates,
                                                std::span<const int> outstanding,
                                                std::uint64_t seed, Time now) const {
  std::vector<Option> options(candidates.size());
  if (request.prompt == nullptr) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      options[i].cost = PlainCost(candidates[i], outstanding[i], seed);
    }
    return options;
  }
  std::vector<ServerId> servers(candidates.size());
  std::ranges::transform(candidates, servers.begin(), &Candidate::server);
  const std::vector<EngineEstimate> estimates = load_.ExpectAll(servers, *request.prompt, now);
  std::ranges::transform(estimates, options.begin(), [](const EngineEstimate& estimate) {
    return Option{.estimate = estimate};
  });
  const double mean_wait = MeanWait(options);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    options[i].cost = EngineCost(request, candidates[i], estimates[i], mean_wait);
  }
  return options;
}

bool Dispatch::MayTake(const Candidate& candidate, bool with_ejected, Time now) const {
  const bool ejected = !with_ejected && health_.Ejected(candidate.server, now);
  const bool cold = candidate.cold_rate > 0 &&
                    cold_.Delay(candidate.server, candidate.cold_rate, now) > Duration{0};
  return !ejected && !cold;
}

DispatchVerdict Dispatch::Judge(const DispatchRequest& request, const Candidate& candidate,
                                const EngineEstimate& estimate, double usage) const {
  if (request.prompt == nullptr) {
    const Duration usual = std::min(request.objective, request.timeout);
    return AsSeconds(request.time_left) < AsSeconds(usual) * kLeastPlainTime
               ? DispatchVerdict::kHopeless
               : DispatchVerdict::kSend;
  }
  const Duration whole =
      estimate.wait + estimate.read + kTokenTime * request.prompt->max_output_tokens;
  if (whole > request.time_left) {
    return DispatchVerdict::kHopeless;
  }
  if (request.repeated) {
    return DispatchVerdict::kSend;
  }
  const double wait = AsSeconds(estimate.wait);
  const double most_wait = MostWait(request, estimate);
  const double part = UsagePart(usage);
  if (wait > most_wait * part) {
    return wait > most_wait ? DispatchVerdict::kOverloaded : DispatchVerdict::kOverShare;
  }
  const double length =
      std::min(static_cast<double>(request.prompt->max_output_tokens) / kLongAnswer, 1.0);
  const double room = (1 - kSlotsForLight * (1 - part)) * (1 - kSlotsForShort * length);
  const bool full = static_cast<double>(estimate.running) >= room * candidate.slots ||
                    static_cast<double>(estimate.running_tokens) >
                        room * kMemoryShare * static_cast<double>(candidate.memory_tokens);
  return full ? DispatchVerdict::kFull : DispatchVerdict::kSend;
}

DispatchDecision Dispatch::Decide(const DispatchRequest& request,
                                  std::span<const Candidate> candidates,
                                  std::span<const int> outstanding, std::uint64_t seed,
                                  Time now) const {
  DispatchDecision decision{.retry_after = kMinRetryAfter};
  if (candidates.empty()) {
    return decision;
  }
  const std::vector<Option> options = Options(request, candidates, outstanding, seed, now);
  const bool is_new = request.prompt != nullptr && !request.repeated;
  decision.usage = is_new ? share_.Usage(request.customer, now) : 0;
  const auto may_take = [&](std::size_t i) { return MayTake(candidates[i], false, now); };
  const auto may_take_ejected = [&](std::size_t i) { return MayTake(candidates[i], true, now); };
  const auto verdict = [&](std::size_t i) {
    return Judge(request, candidates[i], options[i].estimate, decision.usage);
  };
  auto best = Cheapest(options, may_take);
  if (!best) {
    best = Cheapest(options, may_take_ejected);
  }
  if (!best) {
    decision.verdict = DispatchVerdict::kCold;
    return decision;
  }
  decision.verdict = verdict(*best);
  if (is_new && decision.verdict != DispatchVerdict::kSend && decision.usage < kLightUsage) {
    const auto has_room = Cheapest(options, [&](std::size_t i) {
      return may_take(i) && verdict(i) == DispatchVerdict::kSend;
    });
    best = has_room.value_or(*best);
    decision.verdict = verdict(*best);
  }
  decision.server = candidates[*best].server;
  decision.estimate = options[*best].estimate;
  if (request.prompt != nullptr) {
    decision.retry_after = std::max(TimeToRoom(request, decision), kMinRetryAfter);
  }
  return decision;
}

}  // namespace lagoonwind::policy
