#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "daemon.h"
#include "request_table.h"

namespace lagoonwind::runtime {

/// HTTP server for callers: authenticates and validates each request, passes it to the policy and
/// writes the response. Thread safe.
class CallerServer {
 public:
  CallerServer(const DaemonContext& context, RequestTable& requests)
      : context_(context), requests_(requests) {}

  /// Serves callers until the acceptor is closed.
  http::asio::awaitable<void> Accept(http::Tcp::acceptor& acceptor);

 private:
  class Connection;

  DaemonContext context_;
  RequestTable& requests_;
  std::atomic<std::uint64_t> last_request_number_{0};
  std::atomic<std::size_t> connections_{0};
};

}  // namespace lagoonwind::runtime
