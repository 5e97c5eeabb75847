#include "lagoonwind/send_limits.h"

#include <algorithm>

namespace lagoonwind::policy {
namespace {

/// Part of the fleet's retry slack that is split among gateways; the rest covers gateways that
/// restart with empty memory or join.
constexpr double kUsedSlack = 0.5;
/// Part of the retry ratio that is used; the rest covers requests that reach no backend server.
constexpr double kUsedRatio = 0.8;
/// Rates below this count as none, in requests a second.
constexpr double kLeastRate = 0.001;
/// Delay of a request that may not be sent at all.
constexpr Duration kNever = std::chrono::hours(1);
/// Crashes of different backend servers after which a request is quarantined.
constexpr std::size_t kQuarantineCrashes = 2;
/// Time for which a suspect is remembered after its last crash.
constexpr Duration kSuspectLifetime = std::chrono::seconds(120);
/// Suspects that are remembered at most.
constexpr std::size_t kMaxSuspects = 10000;
/// Time for which own crashes are remembered to be reported.
constexpr Duration kReportTime = std::chrono::seconds(10);

}  // namespace

double RetryBudget::Left(int gateways, Time now) const {
  return kUsedRatio * init_.ratio * requests_.Sum(now) + kUsedSlack * init_.slack / gateways -
         repeats_.Sum(now);
}

bool RetryBudget::TryRepeat(int gateways, Time now) {
  if (Left(gateways, now) < 1) {
    return false;
  }
  repeats_.Add(1, now);
  return true;
}

Duration ColdLimit::Delay(ServerId server, double rate, Time now) const {
  if (rate < kLeastRate) {
    return kNever;
  }
  const auto last = last_sent_.find(server);
  if (last == last_sent_.end()) {
    return Duration{0};
  }
  const auto interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  return std::max(last->second + interval - now, Duration{0});
}

void CrashSuspects::Add(const Crash& crash, Time now) {
  if (suspects_.size() >= kMaxSuspects) {
    for (auto it = suspects_.begin(); it != suspects_.end();) {
      if (now - it->second.last > kSuspectLifetime) {
        suspects_.erase(it++);
      } else {
        ++it;
      }
    }
    if (suspects_.size() >= kMaxSuspects) {
      return;
    }
  }
  Suspect& suspect = suspects_[crash.digest];
  suspect.last = now;
  if (std::ranges::find(suspect.crashed, crash.server) == suspect.crashed.end()) {
    suspect.crashed.push_back(crash.server);
  }
}

void CrashSuspects::Crashed(Digest digest, ServerId server, Time now) {
  const Crash crash{.digest = digest, .server = server};
  Add(crash, now);
  std::erase_if(own_, [&](const Seen& seen) { return now - seen.at > kReportTime; });
  own_.push_back({.crash = crash, .at = now});
}

bool CrashSuspects::Quarantined(Digest digest, Time now) const {
  const auto found = suspects_.find(digest);
  return found != suspects_.end() && found->second.crashed.size() >= kQuarantineCrashes &&
         now - found->second.last < kSuspectLifetime;
}

std::vector<CrashSuspects::Crash> CrashSuspects::CrashesSince(Time since) const {
  std::vector<Crash> crashes;
  for (const Seen& seen : own_) {
    if (seen.at >= since) {
      crashes.push_back(seen.crash);
    }
  }
  return crashes;
}

}  // namespace lagoonwind::policy
