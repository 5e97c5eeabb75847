#include "daemon_client.h"

#include <boost/asio/co_spawn.hpp>

namespace lagoonwind::ctl {
namespace {

constexpr std::chrono::seconds kRequestTimeout{5};

}  // namespace

absl::StatusOr<http::Response> FetchBlocking(const std::string& address, http::Request request,
                                             std::chrono::milliseconds timeout) {
  http::asio::io_context io;
  absl::StatusOr<http::Response> result = absl::UnknownError("not run");
  http::asio::co_spawn(
      io, http::Fetch(address, std::move(request), timeout),
      [&](const std::exception_ptr& error, absl::StatusOr<http::Response> response) {
        if (!error) {
          result = std::move(response);
        }
      });
  io.run();
  return result;
}

absl::StatusOr<http::Response> DaemonClient::Send(const http::Request& request) const {
  absl::StatusOr<http::Response> last = absl::UnavailableError("no --daemon was given");
  for (const auto& daemon : daemons_) {
    last = FetchBlocking(daemon, request, kRequestTimeout);
    if (last.ok()) {
      return last;
    }
  }
  return last;
}

}  // namespace lagoonwind::ctl
