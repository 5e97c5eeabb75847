#pragma once

#include <deque>

#include "event_log.h"
#include "lagoonwind/attempt_limits.h"

namespace lagoonwind::gateway {

/// Distinguishes crashes of backend servers from single broken connections: a crash is assumed if
/// the backend server refuses connections or restarts soon after one broke. Reports the requests
/// that were running as suspects. Not thread safe.
class CrashDetector {
 public:
  /// \param suspects, log  Must outlive this object.
  CrashDetector(policy::CrashSuspects& suspects, EventLog& log) : suspects_(suspects), log_(log) {}

  /// The connection broke while the backend server processed the request.
  void OnConnectionBroken(policy::ServerId server, Digest digest, Time now);
  /// The backend server refused a connection.
  void OnConnectionRefused(policy::ServerId server, Time now);
  /// The backend server's record was removed or shows a later start.
  void OnServerRestarted(policy::ServerId server, Time now);

 private:
  struct BrokenConnection {
    policy::ServerId server;
    Digest digest;
    Time at;
  };
  void ReportSuspects(policy::ServerId server, Duration window, Time now);

  policy::CrashSuspects& suspects_;
  EventLog& log_;
  std::deque<BrokenConnection> broken_connections_;
};

}  // namespace lagoonwind::gateway
