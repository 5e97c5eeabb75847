#include "lagoonwind/server_pace.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonwind::policy {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kStartFraction = 0.1;
/// The fraction never falls below this, so that the server is tried again.
constexpr double kMinFraction = 0.02;
/// Shortest time between two changes of a fraction by evidence.
constexpr Duration kStepTime = std::chrono::milliseconds(200);
constexpr double kGrowthPerStep = 1.5;
/// Time in which the fraction of a server doubles without any outcome. In large fleets a gateway
/// sees few responses of one server.
constexpr Duration kDoublingTime = std::chrono::seconds(2);
/// The same if the last evidence was against the server.
constexpr Duration kDoublingTimeIfBad = std::chrono::seconds(6);
/// Smallest factor of one step for slowness, and the factor for failures.
constexpr double kMaxShrink = 0.25;
constexpr double kFailureShrink = 0.5;
/// Slowdown relative to the peers' median up to which the fraction grows, and above which it
/// shrinks. Engines of different speeds stay below the latter.
constexpr double kGoodSlowdown = 2.0;
constexpr double kBadSlowdown = 3.0;
/// Excess over the peers' median failure ratio that counts as worse.
constexpr double kExcessFailureRatio = 0.3;
/// Added to times before they are compared, so that small absolute differences do not count.
constexpr Duration kTimeOffset = std::chrono::milliseconds(50);
/// Consecutive seconds, and outcomes in each, after which a server at full work is judged worse. A
/// slow spell is shorter.
constexpr int kBadSeconds = 3;
constexpr int kMinResponsesPerSecond = 3;
/// Least number of other servers for a comparison.
constexpr int kMinPeers = 2;

double Slowdown(const PaceOutcome& outcome) {
  return Seconds(outcome.first_byte + kTimeOffset) / Seconds(outcome.expected + kTimeOffset);
}

double Median(std::vector<double>& values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

bool IsFailing(const PaceChange& evidence) {
  return evidence.failure_ratio > evidence.peer_failure_ratio + kExcessFailureRatio;
}

/// True if the slowdown exceeds the peers' by the factor.
bool IsSlower(const PaceChange& evidence, double factor) {
  return evidence.peers >= kMinPeers && evidence.peer_slowdown > 0 &&
         evidence.slowdown > factor * evidence.peer_slowdown;
}

}  // namespace

std::string_view Name(PaceReason reason) {
  constexpr std::array<std::string_view, 4> kNames{"started", "as_good", "slower", "failing"};
  return kNames[static_cast<std::size_t>(reason)];
}

void ServerPace::Tally::Add(const Tally& other) {
  responses += other.responses;
  failures += other.failures;
  slowdown_sum += other.slowdown_sum;
}

std::optional<double> ServerPace::Tally::MeanSlowdown() const {
  return responses > failures ? std::optional(slowdown_sum / (responses - failures)) : std::nullopt;
}

double ServerPace::Tally::FailureRatio() const {
  return responses == 0 ? 0 : static_cast<double>(failures) / responses;
}

double ServerPace::RandomOf(ServerId server) const {
  constexpr std::uint64_t kSteps = 1U << 20U;
  return static_cast<double>(CombineHashes(salt_, server.value) % kSteps) / kSteps;
}

double ServerPace::FractionOf(const PacedServer& state, Time now) {
  const Duration doubling_time = state.was_bad ? kDoublingTimeIfBad : kDoublingTime;
  const double doublings = Seconds(std::max(now - state.updated, Duration{0})) / doubling_time;
  return std::min(state.fraction * std::exp2(doublings), 1.0);
}

double ServerPace::Fraction(ServerId server, Time now) const {
  const auto found = paced_.find(server);
  return found == paced_.end() ? 1 : FractionOf(found->second, now);
}

std::optional<PaceChange> ServerPace::Begin(ServerId server, Time now) {
  const double previous = Fraction(server, now);
  if (previous <= kStartFraction) {
    return std::nullopt;
  }
  paced_[server] = {.fraction = kStartFraction,
                    .updated = now,
                    .last_step = now,
                    .credit = RandomOf(server),
                    .tally = {}};
  return PaceChange{
      .reason = PaceReason::kStarted, .previous = previous, .fraction = kStartFraction};
}

void ServerPace::RecordRequest(ServerId server, std::size_t candidates, Time now) {
  const auto found = paced_.find(server);
  if (found == paced_.end()) {
    return;
  }
  PacedServer& state = found->second;
  state.credit =
      std::min(state.credit + FractionOf(state, now) / static_cast<double>(candidates), 1.0);
}

void ServerPace::RecordSent(ServerId server) {
  if (const auto found = paced_.find(server); found != paced_.end()) {
    found->second.credit = std::max(found->second.credit - 1, 0.0);
  }
}

bool ServerPace::MayTake(ServerId server, int outstanding, int concurrency_limit, Time now) const {
  const auto found = paced_.find(server);
  if (found == paced_.end()) {
    return true;
  }
  const double fraction = FractionOf(found->second, now);
  if (fraction >= 1) {
    return true;
  }
  // A part of a request is allowed to that part of the gateways.
  const double allowed = fraction * concurrency_limit / gateways_;
  const double rounded = std::floor(allowed + RandomOf(server));
  return found->second.credit >= 1 && outstanding < rounded;
}

PaceChange ServerPace::Compare(const Service& service, ServerId server, const Tally& tally) {
  absl::flat_hash_map<ServerId, Tally> others;
  for (const Window& window : service.windows) {
    for (const auto& [id, other] : window.servers) {
      if (id != server) {
        others[id].Add(other);
      }
    }
  }
  std::vector<double> slowdowns;
  std::vector<double> failure_ratios;
  for (const auto& [id, other] : others) {
    failure_ratios.push_back(other.FailureRatio());
    if (const auto mean = other.MeanSlowdown()) {
      slowdowns.push_back(*mean);
    }
  }
  const int peers = static_cast<int>(slowdowns.size());
  return {.responses = tally.responses,
          .slowdown = tally.MeanSlowdown().value_or(0),
          .failure_ratio = tally.FailureRatio(),
          .peer_slowdown = Median(slowdowns),
          .peer_failure_ratio = Median(failure_ratios),
          .peers = peers};
}

void ServerPace::CountBadSeconds(Service& service, const Window& window) {
  for (const auto& [server, tally] : window.servers) {
    if (tally.responses < kMinResponsesPerSecond) {
      service.bad_seconds.erase(server);
      continue;
    }
    const PaceChange evidence = Compare(service, server, tally);
    if (evidence.peers >= kMinPeers && (IsFailing(evidence) || IsSlower(evidence, kBadSlowdown))) {
      ++service.bad_seconds[server];
    } else {
      service.bad_seconds.erase(server);
    }
  }
  absl::erase_if(service.bad_seconds,
                 [&](const auto& entry) { return !window.servers.contains(entry.first); });
}

std::optional<PaceChange> ServerPace::Step(const Service& service, ServerId server,
                                           PacedServer& state, Time now) {
  PaceChange change = Compare(service, server, state.tally);
  change.previous = state.fraction;
  const bool is_good = !IsFailing(change) && !IsSlower(change, kGoodSlowdown);
  if (IsFailing(change)) {
    change.reason = PaceReason::kFailing;
    change.fraction = change.previous * kFailureShrink;
  } else if (IsSlower(change, kBadSlowdown)) {
    change.reason = PaceReason::kSlower;
    change.fraction = change.previous *
                      std::max(kGoodSlowdown * change.peer_slowdown / change.slowdown, kMaxShrink);
  } else if (is_good) {
    change.reason = PaceReason::kAsGood;
    change.fraction = change.previous * kGrowthPerStep;
  } else {
    change.fraction = change.previous;
  }
  state.was_bad = change.fraction < change.previous;
  change.fraction = std::clamp(change.fraction, kMinFraction, 1.0);
  state.fraction = change.fraction;
  state.last_step = now;
  state.tally = {};
  // A fraction that grew without evidence is still judged by the first outcome.
  if (state.fraction >= 1 && is_good) {
    paced_.erase(server);
  }
  return change.fraction == change.previous ? std::nullopt : std::optional(change);
}

std::optional<PaceChange> ServerPace::Detect(Service& service, ServerId server, Time now) {
  const auto found = service.bad_seconds.find(server);
  if (found == service.bad_seconds.end() || found->second < kBadSeconds) {
    return std::nullopt;
  }
  service.bad_seconds.erase(found);
  Tally tally;
  for (const Window& window : service.windows) {
    if (const auto own = window.servers.find(server); own != window.servers.end()) {
      tally.Add(own->second);
    }
  }
  PacedServer& state = paced_[server];
  state = {
      .fraction = 1, .updated = now, .last_step = now, .credit = RandomOf(server), .tally = tally};
  return Step(service, server, state, now);
}

std::optional<PaceChange> ServerPace::RecordOutcome(const std::string& service_name,
                                                    ServerId server, const PaceOutcome& outcome,
                                                    Time now) {
  Service& service = services_[service_name];
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  Window& window = service.windows[static_cast<std::size_t>(second % 2)];
  if (window.second != second) {
    Window& previous = service.windows[static_cast<std::size_t>((second + 1) % 2)];
    window = {.second = second, .servers = {}};
    if (previous.second == second - 1) {
      CountBadSeconds(service, previous);
    } else {
      previous = {};
      service.bad_seconds.clear();
    }
  }
  const Tally tally{.responses = 1,
                    .failures = outcome.failed ? 1 : 0,
                    .slowdown_sum = outcome.failed ? 0 : Slowdown(outcome)};
  window.servers[server].Add(tally);
  const auto found = paced_.find(server);
  if (found == paced_.end()) {
    return Detect(service, server, now);
  }
  PacedServer& state = found->second;
  state.fraction = FractionOf(state, now);
  state.updated = now;
  state.tally.Add(tally);
  if (now - state.last_step < kStepTime) {
    return std::nullopt;
  }
  return Step(service, server, state, now);
}

}  // namespace lagoonwind::policy
