#pragma once

#include <deque>

#include "event_log.h"
#include "lagoonwind/attempt_limits.h"

namespace lagoonwind::gateway {

/// Tells crashes of backend servers from single broken connections, and reports the requests that
/// ran then as suspects. Not thread safe.
class CrashDetector {
 public:
  /// \param suspects, log  Must outlive it.
  CrashDetector(policy::CrashSuspects& suspects, EventLog& log) : suspects_(suspects), log_(log) {}

  /// The connection broke while the request ran.
  void OnConnectionBroken(policy::ServerId server, Digest digest, Time now);
  /// The backend server refuses connections.
  void OnConnectionRefused(policy::ServerId server, Time now);
  /// The backend server's entry vanished or names a later start.
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
