#pragma once

#include <string>
#include <vector>

#include "platform_world.h"

namespace lagoonwind::testing {

/// Kinds of request that the soak sends, one for each route of PlatformWorld.
enum class CallKind { kPlan, kChat, kBook, kLook };

/// One request as its caller saw it.
struct Call {
  std::string id;
  CallKind kind = CallKind::kLook;
  std::string target;
  std::string body;
  int gateway = 0;
  /// 0 if no answer's head arrived.
  unsigned status = 0;
  std::string echoed_id;
  std::string seal;
  std::string answer;
  bool whole = false;
  /// The caller left before the answer was whole.
  bool left = false;
  /// Bytes followed the answer that no request had asked for.
  bool surplus = false;
};

struct CheckOptions {
  /// Most backend servers that may run one request, as its route says.
  int max_attempts = 3;
  /// Most that it may reach, with those that state that they haven't run it.
  int max_sends = 4;
  /// Repeats that all gateways may make together.
  double retry_ratio = 0.2;
  int retry_slack = 54;
  /// Nothing may be lost, as there was planned work only.
  bool planned_only = false;
};

/// Promises that were broken, one line each, from what callers and backend servers saw. `seen`
/// holds all that backend servers saw until no request was under way any more.
std::vector<std::string> BrokenPromises(const std::vector<Call>& calls,
                                        const std::vector<ReceivedRequest>& seen,
                                        const CheckOptions& options);

}  // namespace lagoonwind::testing
