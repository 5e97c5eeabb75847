#include "lagoonwind/dispatch.h"

#include <algorithm>
#include <array>

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
/// read them.
constexpr double kRepeatedReadWeight = 4.0;
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

/// Hash of the parts that a prompt shares with others; the last one is its own.
std::uint64_t SharedPrefix(const Prompt& prompt) {
  std::uint64_t prefix = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    prefix = MixHash(prefix, prompt.parts[i].id);
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

double Dispatch::Cost(const DispatchRequest& request, const Candidate& candidate, int outstanding,
                      std::uint64_t seed, EngineEstimate& estimate, Time now) const {
  double cost = candidate.own_zone ? 0 : kZoneCost;
  if (request.prompt == nullptr) {
    const double busy = static_cast<double>(outstanding) / std::max(candidate.slots, 1);
    // Ties go to any of them.
    const double tie = static_cast<double>(MixHash(candidate.server.value, seed) % 1000) * 1e-6;
    return cost + busy * kBusySlotCost + tie;
  }
  estimate = load_.Expect(candidate.server, *request.prompt, now);
  cost += AsSeconds(estimate.wait) + AsSeconds(estimate.read);
  cost += kRunningCost * static_cast<double>(estimate.running);
  cost +=
      kRepeatedReadWeight * static_cast<double>(estimate.repeated_tokens) / load_.reading_rate();
  const double begin = AsSeconds(estimate.wait + estimate.read + kBeginOverhead);
  cost += kLateWeight * std::max(begin - kComfortShare * AsSeconds(request.objective), 0.0);
  const std::uint64_t rank = MixHash(SharedPrefix(*request.prompt), candidate.server.value);
  cost += kStrangerCost * static_cast<double>(rank % 1000) / 1000;
  return cost;
}

Dispatch::Best Dispatch::Cheapest(const DispatchRequest& request,
                                  std::span<const Candidate> candidates,
                                  std::span<const int> outstanding, std::uint64_t seed,
                                  bool with_ejected, Time now) const {
  Best best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (!with_ejected && health_.Ejected(candidate.server, now)) {
      continue;
    }
    if (candidate.cold_rate > 0 &&
        cold_.Delay(candidate.server, candidate.cold_rate, now) > Duration{0}) {
      continue;
    }
    EngineEstimate estimate;
    const double cost = Cost(request, candidate, outstanding[i], seed, estimate, now);
    if (best.candidate == nullptr || cost < best.cost) {
      best = {.candidate = &candidate, .estimate = estimate, .cost = cost};
    }
  }
  return best;
}

void Dispatch::Admit(const DispatchRequest& request, const Candidate& candidate,
                     DispatchDecision& decision, Time now) const {
  if (request.prompt == nullptr) {
    const Duration usual = std::min(request.objective, request.timeout);
    decision.verdict = AsSeconds(request.time_left) < AsSeconds(usual) * kLeastPlainTime
                           ? DispatchVerdict::kHopeless
                           : DispatchVerdict::kSend;
    return;
  }
  const EngineEstimate& estimate = decision.estimate;
  const Duration whole =
      estimate.wait + estimate.read + kTokenTime * request.prompt->max_output_tokens;
  if (whole > request.time_left) {
    decision.verdict = DispatchVerdict::kHopeless;
    decision.retry_after = estimate.wait;
    return;
  }
  if (request.repeated) {
    decision.verdict = DispatchVerdict::kSend;
    return;
  }
  decision.usage = share_.Usage(request.customer, now);
  const double objective = AsSeconds(request.objective);
  const double most_wait =
      std::max(objective - AsSeconds(kBeginOverhead + estimate.read), objective * kLeastWaitShare);
  const double wait = AsSeconds(estimate.wait);
  const double length =
      std::min(static_cast<double>(request.prompt->max_output_tokens) / kLongAnswer, 1.0);
  const double part = UsagePart(decision.usage);
  const double room = (1 - kSlotsForLight * (1 - part)) * (1 - kSlotsForShort * length);
  const bool full = static_cast<double>(estimate.running) >= room * candidate.slots ||
                    static_cast<double>(estimate.running_tokens) >
                        room * kMemoryShare * static_cast<double>(candidate.memory_tokens);
  if (wait > most_wait) {
    decision.verdict = DispatchVerdict::kOverloaded;
  } else if (wait > most_wait * part) {
    decision.verdict = DispatchVerdict::kOverShare;
  } else {
    decision.verdict = full ? DispatchVerdict::kFull : DispatchVerdict::kSend;
  }
  decision.retry_after = AsDuration(std::max(wait - most_wait / 2, 0.0));
}

DispatchDecision Dispatch::Decide(const DispatchRequest& request,
                                  std::span<const Candidate> candidates,
                                  std::span<const int> outstanding, std::uint64_t seed,
                                  Time now) const {
  DispatchDecision decision;
  decision.retry_after = kMinRetryAfter;
  if (candidates.empty()) {
    return decision;
  }
  Best best = Cheapest(request, candidates, outstanding, seed, false, now);
  if (best.candidate == nullptr) {
    best = Cheapest(request, candidates, outstanding, seed, true, now);
  }
  if (best.candidate == nullptr) {
    decision.verdict = DispatchVerdict::kCold;
    return decision;
  }
  decision.server = best.candidate->server;
  decision.estimate = best.estimate;
  Admit(request, *best.candidate, decision, now);
  decision.retry_after = std::max(decision.retry_after, kMinRetryAfter);
  return decision;
}

}  // namespace lagoonwind::policy
