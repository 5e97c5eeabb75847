#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "daemon.h"
#include "request_table.h"

namespace lagoonwind::runtime {

/// The HTTP port for callers: checks each request, hands it to the decisions, and writes the
/// answer. Thread safe.
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
