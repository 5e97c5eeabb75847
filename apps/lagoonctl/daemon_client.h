#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "lagoonwind/http.h"

namespace lagoonwind::ctl {

/// Exit codes of lagoonctl.
inline constexpr int kExitDone = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnreachable = 3;

/// Sends requests to operators' ports. Not thread safe.
class DaemonClient {
 public:
  /// \param daemons  Operators' ports as IP:PORT, in the order in which they are tried.
  explicit DaemonClient(std::vector<std::string> daemons) : daemons_(std::move(daemons)) {}

  /// Tries the daemons in order until one responds, with any status. Blocks.
  /// \return The error of the last daemon if none responds; Unavailable if there are no daemons.
  absl::StatusOr<http::Response> Send(const http::Request& request) const;

 private:
  std::vector<std::string> daemons_;
};

/// Sends one request and blocks until the whole response has arrived. Thread safe.
/// \param address  IP:PORT.
/// \param timeout  For the whole exchange.
/// \return Errors as of http::Fetch.
absl::StatusOr<http::Response> FetchBlocking(const std::string& address, http::Request request,
                                             std::chrono::milliseconds timeout);

}  // namespace lagoonwind::ctl
