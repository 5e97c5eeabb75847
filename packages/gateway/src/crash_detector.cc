#include "crash_detector.h"

#include <algorithm>

namespace lagoonwind::gateway {
namespace {

/// Longest time from a broken connection to a refused one that are attributed to the same crash.
constexpr Duration kRefusalWindow = std::chrono::milliseconds(1500);
/// Longest time from a broken connection until the list of backend servers shows the crash: a few
/// heartbeat intervals.
constexpr Duration kRestartWindow = std::chrono::seconds(6);

}  // namespace

void CrashDetector::OnConnectionBroken(policy::ServerId server, Digest digest, Time now) {
  std::erase_if(broken_connections_,
                [&](const BrokenConnection& broken) { return now - broken.at > kRestartWindow; });
  broken_connections_.push_back({.server = server, .digest = digest, .at = now});
}

void CrashDetector::ReportSuspects(policy::ServerId server, Duration window, Time now) {
  const auto matches = [&](const BrokenConnection& broken) {
    return broken.server == server && now - broken.at <= window;
  };
  std::size_t count = 0;
  for (const BrokenConnection& broken : broken_connections_) {
    if (matches(broken)) {
      suspects_.RecordCrash(broken.digest, server, now);
      ++count;
    }
  }
  std::erase_if(broken_connections_, matches);
  if (count > 0) {
    log_.Write(Severity::kState, "server_crashed",
               {{"server_id", server.value}, {"suspects", count}});
  }
}

void CrashDetector::OnConnectionRefused(policy::ServerId server, Time now) {
  ReportSuspects(server, kRefusalWindow, now);
}

void CrashDetector::OnServerRestarted(policy::ServerId server, Time now) {
  ReportSuspects(server, kRestartWindow, now);
}

}  // namespace lagoonwind::gateway
