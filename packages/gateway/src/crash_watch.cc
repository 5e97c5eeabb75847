#include "crash_watch.h"

#include <algorithm>

namespace lagoonwind::gateway {
namespace {

/// Time between a broken connection and a refused one that belong to the same crash.
constexpr Duration kRefusedWithin = std::chrono::milliseconds(1500);
/// Time until the list of backend servers tells of a crash: a few of their heartbeats.
constexpr Duration kRestartWithin = std::chrono::seconds(6);

}  // namespace

void CrashWatch::Broke(policy::ServerId server, Digest digest, Time now) {
  std::erase_if(breaks_, [&](const Break& seen) { return now - seen.at > kRestartWithin; });
  breaks_.push_back({.server = server, .digest = digest, .at = now});
}

void CrashWatch::Report(policy::ServerId server, Duration within, Time now) {
  const auto belongs = [&](const Break& seen) {
    return seen.server == server && now - seen.at <= within;
  };
  std::size_t count = 0;
  for (const Break& seen : breaks_) {
    if (belongs(seen)) {
      suspects_.RecordCrash(seen.digest, server, now);
      ++count;
    }
  }
  std::erase_if(breaks_, belongs);
  if (count > 0) {
    log_.Write(Severity::kState, "server_crashed",
               {{"server_id", server.value}, {"suspects", count}});
  }
}

void CrashWatch::Refused(policy::ServerId server, Time now) { Report(server, kRefusedWithin, now); }

void CrashWatch::Restarted(policy::ServerId server, Time now) {
  Report(server, kRestartWithin, now);
}

}  // namespace lagoonwind::gateway
