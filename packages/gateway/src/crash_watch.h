#pragma once

#include <deque>

#include "event_log.h"
#include "lagoonwind/attempt_limits.h"

namespace lagoonwind::gateway {

/// Tells crashes of backend servers from single broken connections, and reports the requests that
/// ran then as suspects. Not thread safe.
class CrashWatch {
 public:
  /// \param suspects, log  Must outlive it.
  CrashWatch(policy::CrashSuspects& suspects, EventLog& log) : suspects_(suspects), log_(log) {}

  /// The connection broke while the request ran.
  void Broke(policy::ServerId server, Digest digest, Time now);
  /// The backend server refuses connections.
  void Refused(policy::ServerId server, Time now);
  /// The backend server's entry vanished or names a later start.
  void Restarted(policy::ServerId server, Time now);

 private:
  struct Break {
    policy::ServerId server;
    Digest digest;
    Time at;
  };
  void Report(policy::ServerId server, Duration within, Time now);

  policy::CrashSuspects& suspects_;
  EventLog& log_;
  std::deque<Break> breaks_;
};

}  // namespace lagoonwind::gateway
