#include "crash_detector.h"

#include <algorithm>
#include <utility>

#include "quarantined_request_log.h"

namespace lagoonwind::gateway {
namespace {

/// Longest time from a broken connection to a refused one that are attributed to the same crash.
constexpr Duration kRefusalWindow = std::chrono::milliseconds(1500);
/// Longest time from a broken connection until the list of backend servers shows the crash: a few
/// heartbeat intervals.
constexpr Duration kRestartWindow = std::chrono::seconds(6);

}  // namespace

void CrashDetector::OnConnectionBroken(policy::ServerId server, BrokenRequest request, Time now) {
  std::erase_if(broken_connections_,
                [&](const BrokenConnection& broken) { return now - broken.at > kRestartWindow; });
  broken_connections_.push_back({.server = server, .request = std::move(request), .at = now});
}

bool CrashDetector::BrokeWithin(policy::ServerId server, Duration window, Time now) const {
  return std::ranges::any_of(broken_connections_, [&](const BrokenConnection& broken) {
    return broken.server == server && !broken.request.ended_in_order && now - broken.at <= window;
  });
}

void CrashDetector::ReportSuspects(policy::ServerId server, Duration window, Time now) {
  const auto matches = [&](const BrokenConnection& broken) {
    return broken.server == server && now - broken.at <= window;
  };
  std::size_t count = 0;
  std::size_t without_response = 0;
  for (const BrokenConnection& broken : broken_connections_) {
    if (!matches(broken)) {
      continue;
    }
    if (suspects_.RecordCrash(broken.request.digest, server, now)) {
      LogQuarantinedRequest(log_, broken.request.digest, "crashes");
    }
    ++count;
    if (!broken.request.responded && !broken.request.segments.empty()) {
      segments_.RecordCrash({.server = server,
                             .request = broken.request.digest,
                             .segments = broken.request.segments,
                             .sent_at = broken.request.sent_at,
                             .crashed_at = broken.at},
                            now);
      ++without_response;
    }
  }
  std::erase_if(broken_connections_, matches);
  if (count > 0) {
    log_.Write(
        Severity::kState, "server_crashed",
        {{"server_id", server.value}, {"suspects", count}, {"without_response", without_response}});
  }
}

void CrashDetector::OnConnectionRefused(policy::ServerId server, Time now) {
  ReportSuspects(server, kRefusalWindow, now);
}

void CrashDetector::OnServerRestarted(policy::ServerId server, Time now) {
  ReportSuspects(server, kRestartWindow, now);
}

}  // namespace lagoonwind::gateway
