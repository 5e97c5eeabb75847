#pragma once

#include <deque>
#include <vector>

#include "event_log.h"
#include "lagoonwind/crash_suspects.h"
#include "lagoonwind/segment_quarantine.h"

namespace lagoonwind::gateway {

/// A request whose connection to the backend server broke.
struct BrokenRequest {
  Digest digest;
  /// Segments of its prompt that other requests may share.
  std::vector<policy::SegmentId> segments;
  Time sent_at;
  /// True if the backend server had begun to respond.
  bool responded = false;
  /// True if the response may have been complete, as it ended with its connection.
  bool ended_in_order = false;
};

/// Distinguishes crashes of backend servers from single broken connections: a crash is assumed if
/// the backend server refuses connections or restarts soon after one broke. Reports the requests
/// that were running as suspects, and the segments of those without a response. Not thread safe.
class CrashDetector {
 public:
  /// \param suspects, segments, log  Must outlive this object.
  CrashDetector(policy::CrashSuspects& suspects, policy::SegmentQuarantine& segments, EventLog& log)
      : suspects_(suspects), segments_(segments), log_(log) {}

  /// The connection broke while the backend server processed the request.
  void OnConnectionBroken(policy::ServerId server, BrokenRequest request, Time now);
  /// True if a connection to the backend server broke at most `window` ago, in the middle of a
  /// response for certain.
  [[nodiscard]] bool BrokeWithin(policy::ServerId server, Duration window, Time now) const;
  /// The backend server refused a connection.
  void OnConnectionRefused(policy::ServerId server, Time now);
  /// The backend server's record was removed or shows a later start.
  void OnServerRestarted(policy::ServerId server, Time now);

 private:
  struct BrokenConnection {
    policy::ServerId server;
    BrokenRequest request;
    Time at;
  };
  void ReportSuspects(policy::ServerId server, Duration window, Time now);

  policy::CrashSuspects& suspects_;
  policy::SegmentQuarantine& segments_;
  EventLog& log_;
  std::deque<BrokenConnection> broken_connections_;
};

}  // namespace lagoonwind::gateway
