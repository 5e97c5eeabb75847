#include "lagoonwind/attempt_limits.h"

#include <algorithm>

namespace lagoonwind::policy {
namespace {

/// Fraction of the fleet's retry slack that is divided among gateways; the rest covers gateways
/// that join or that lose their counts in a restart.
constexpr double kSlackFraction = 0.5;
/// Fraction of the retry ratio that is used; the rest covers requests that reach no backend server.
constexpr double kRatioFraction = 0.8;
/// Rates below this block all requests, in requests per second.
constexpr double kMinRate = 0.001;
/// Delay that is returned while all requests are blocked.
constexpr Duration kBlockedDelay = std::chrono::hours(1);

}  // namespace

double FleetRetryBudget::Remaining(int gateways, Time now) const {
  return kRatioFraction * options_.ratio * requests_.Sum(now) +
         kSlackFraction * options_.slack / gateways - retries_.Sum(now);
}

bool FleetRetryBudget::TryConsume(int gateways, Time now) {
  if (Remaining(gateways, now) < 1) {
    return false;
  }
  retries_.Add(1, now);
  return true;
}

Duration ColdStartLimiter::Delay(ServerId server, double rate, Time now) const {
  if (rate < kMinRate) {
    return kBlockedDelay;
  }
  const auto last_sent = last_sent_.find(server);
  if (last_sent == last_sent_.end()) {
    return Duration{0};
  }
  const auto interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  return std::max(last_sent->second + interval - now, Duration{0});
}

}  // namespace lagoonwind::policy
