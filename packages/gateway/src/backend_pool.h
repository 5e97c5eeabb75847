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
  /// Largest number of bytes that are buffered without being part of a body. Bounds heads, chunk
  /// extensions and trailers that never end.
  static constexpr std::size_t kMaxBufferedBytes = 128UL << 10U;

  explicit BackendConnection(asio::io_context& io) : socket(io), buffer(kMaxBufferedBytes) {}

  asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  /// Request being written; must not change until `written` is true.
  std::string request_head;
  std::shared_ptr<const std::string> request_body;
  bool written = true;
  /// True if the connection carried an earlier request.
  bool reused = false;
  /// Id of the last request that the connection carried.
  std::string request_id;
  Time usable_until{};
  bool connecting = true;
  bool connect_timed_out = false;
};

/// Pool of idle keep-alive connections to backend servers. Not thread safe.
class BackendPool {
 public:
  using Connection = std::shared_ptr<BackendConnection>;

  explicit BackendPool(asio::io_context& io) : io_(io) {}

  /// Returns an idle connection without unexpected input, or null if there is none.
  [[nodiscard]] Connection Acquire(ServerId server);
  /// Opens a connection.
  /// \param address  `IP:PORT`.
  /// \return Unavailable if the connection was refused; DeadlineExceeded if the host did not
  /// respond; Internal for other errors, such as a lack of descriptors.
  asio::awaitable<absl::StatusOr<Connection>> Open(std::string address);
  /// Returns a connection to the pool. Its response must have been read completely.
  /// \param keep_alive  Time for which the backend server keeps it open; zero if not stated.
  /// \param max_idle    Largest number of idle connections to the backend server.
  void Release(ServerId server, Connection connection, milliseconds keep_alive,
               std::size_t max_idle);
  /// Closes idle connections that are no longer reused. They occupy descriptors here and count
  /// towards the backend servers' connection limits.
  void CloseExpired(Time now);
  /// Closes all idle connections to a backend server.
  void CloseIdle(ServerId server) { idle_connections_.erase(server); }
  [[nodiscard]] std::uint64_t opened() const { return opened_; }
  /// Number of idle connections to all backend servers.
  [[nodiscard]] std::size_t idle_count() const;

 private:
  asio::io_context& io_;
  absl::flat_hash_map<ServerId, std::vector<Connection>> idle_connections_;
  std::uint64_t opened_ = 0;
};

/// True if the peer has not closed the connection and there is no unread input.
bool IsIdle(asio::ip::tcp::socket& socket);
/// Returns the first bytes of the unread input, without reading them; empty if there is none.
std::string PeekInput(asio::ip::tcp::socket& socket);
/// True if the peer has closed or reset the connection.
bool IsClosedByPeer(asio::ip::tcp::socket& socket);

}  // namespace lagoonwind::gateway
