#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "lagoonwind/http.h"

namespace lagoonwind::ctl {

inline constexpr int kExitDone = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnreachable = 3;

/// Sends requests to operators' ports. Not thread safe.
class DaemonClient {
 public:
  /// \param daemons  Operators' ports as IP:PORT, in the order in which they are tried.
  explicit DaemonClient(std::vector<std::string> daemons) : daemons_(std::move(daemons)) {}

  /// Asks the daemons in turn until one answers.
  /// \return Unavailable if none can be reached.
  absl::StatusOr<http::Response> Send(const http::Request& request) const;

 private:
  std::vector<std::string> daemons_;
};

/// Sends one request and waits for the whole answer.
absl::StatusOr<http::Response> FetchBlocking(const std::string& address, http::Request request,
                                             std::chrono::milliseconds timeout);

}  // namespace lagoonwind::ctl
