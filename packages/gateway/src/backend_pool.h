#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// An open connection to a backend server.
struct BackendConnection {
  explicit BackendConnection(asio::io_context& io) : socket(io) {}

  asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  /// Request that is being written; must stay as it is until `written`.
  std::string request;
  bool written = true;
  /// True if an earlier request was answered on it.
  bool reused = false;
  Time usable_until{};
  bool connecting = true;
  bool connect_timed_out = false;
};

/// Keeps connections to backend servers open between requests. Not thread safe.
class BackendPool {
 public:
  using Connection = std::shared_ptr<BackendConnection>;

  explicit BackendPool(asio::io_context& io) : io_(io) {}

  /// A kept connection on which nothing has happened since its last answer, or null.
  [[nodiscard]] Connection Acquire(ServerId server);
  /// Opens a connection.
  /// \return Unavailable if it was refused; DeadlineExceeded if the host doesn't answer.
  asio::awaitable<absl::StatusOr<Connection>> Open(std::string address);
  /// Keeps a connection whose answer was whole.
  /// \param keep_alive  Time for which the backend server keeps it; zero if it doesn't say.
  void Release(ServerId server, Connection connection, milliseconds keep_alive);
  /// Closes what is kept for a backend server.
  void CloseIdle(ServerId server) { idle_connections_.erase(server); }
  [[nodiscard]] std::uint64_t opened() const { return opened_; }

 private:
  asio::io_context& io_;
  absl::flat_hash_map<ServerId, std::vector<Connection>> idle_connections_;
  std::uint64_t opened_ = 0;
};

/// True if the peer has neither closed the connection nor sent anything that wasn't read.
bool IsIdle(asio::ip::tcp::socket& socket);
/// True if the peer has closed or reset the connection.
bool IsClosedByPeer(asio::ip::tcp::socket& socket);

}  // namespace lagoonwind::gateway
