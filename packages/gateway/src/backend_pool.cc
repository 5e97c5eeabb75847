#include "backend_pool.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <numeric>

#include "clock.h"
#include "lagoonwind/http.h"

namespace lagoonwind::gateway {
namespace {

using ErrorCode = boost::system::error_code;

/// Connect timeout: many round-trip times, but below the 1 s after which a lost SYN is
/// retransmitted.
constexpr milliseconds kConnectTimeout{350};
/// TCP_USER_TIMEOUT: a connection fails if sent data stays unacknowledged for this long.
constexpr milliseconds kUserTimeout{2000};
/// Fraction of the stated keep-alive time for which a connection is reused. The margin keeps a
/// request from reaching the backend server just as it closes the connection.
constexpr double kKeepAliveFraction = 0.7;
/// Reuse period of a connection if the backend server states no keep-alive time.
constexpr milliseconds kDefaultKeepAlive{250};

/// Largest read buffer that an idle connection keeps.
constexpr std::size_t kMaxIdleBufferBytes = 8UL << 10U;

enum class SocketState { kIdle, kReadable, kClosed };

SocketState ProbeSocket(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    return SocketState::kReadable;
  }
  const bool would_block = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_block ? SocketState::kIdle : SocketState::kClosed;
}

}  // namespace

bool IsIdle(asio::ip::tcp::socket& socket) { return ProbeSocket(socket) == SocketState::kIdle; }

std::string PeekInput(asio::ip::tcp::socket& socket) {
  constexpr std::size_t kPeekedBytes = 64;
  std::string bytes(kPeekedBytes, '\0');
  const ssize_t count =
      recv(socket.native_handle(), bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
  bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  return bytes;
}

bool IsClosedByPeer(asio::ip::tcp::socket& socket) {
  // POLLRDHUP reports a close even while data received before it is unread.
  pollfd state{.fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
  const bool hung_up = poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP)) != 0;
  return hung_up || ProbeSocket(socket) == SocketState::kClosed;
}

BackendPool::Connection BackendPool::Acquire(ServerId server) {
  const auto found = idle_connections_.find(server);
  if (found == idle_connections_.end()) {
    return nullptr;
  }
  const Time now = Now();
  while (!found->second.empty()) {
    Connection connection = std::move(found->second.back());
    found->second.pop_back();
    if (now < connection->usable_until && connection->buffer.size() == 0 &&
        IsIdle(connection->socket)) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<absl::StatusOr<BackendPool::Connection>> BackendPool::Open(std::string address) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  ++opened_;
  auto connection = std::make_shared<BackendConnection>(io_);
  asio::steady_timer timer(io_, kConnectTimeout);
  timer.async_wait([weak = std::weak_ptr(connection)](const ErrorCode& error) {
    const auto pending = weak.lock();
    if (!error && pending != nullptr && pending->connecting) {
      pending->connect_timed_out = true;
      ErrorCode ignored;
      pending->socket.close(ignored);
    }
  });
  ErrorCode error;
  co_await connection->socket.async_connect(*endpoint,
                                            asio::redirect_error(asio::use_awaitable, error));
  connection->connecting = false;
  if (connection->connect_timed_out) {
    co_return absl::DeadlineExceededError("connection attempt to the backend server timed out");
  }
  if (error == asio::error::connection_refused) {
    co_return absl::UnavailableError(error.message());
  }
  if (error) {
    co_return absl::InternalError(error.message());
  }
  ErrorCode ignored;
  connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int user_timeout_ms = static_cast<int>(kUserTimeout.count());
  setsockopt(connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
             sizeof(user_timeout_ms));
  co_return connection;
}

void BackendPool::Release(ServerId server, Connection connection, milliseconds keep_alive,
                          std::size_t max_idle) {
  const auto lifetime = keep_alive > milliseconds(0)
                            ? std::chrono::duration_cast<Duration>(keep_alive * kKeepAliveFraction)
                            : Duration{kDefaultKeepAlive};
  auto& idle = idle_connections_[server];
  connection->usable_until = Now() + lifetime;
  connection->reused = true;
  if (connection->buffer.capacity() > kMaxIdleBufferBytes) {
    connection->buffer.shrink_to_fit();
  }
  idle.push_back(std::move(connection));
  if (idle.size() > max_idle) {
    idle.erase(idle.begin());
  }
}

void BackendPool::CloseExpired(Time now) {
  for (auto it = idle_connections_.begin(); it != idle_connections_.end();) {
    std::erase_if(it->second,
                  [&](const Connection& connection) { return now >= connection->usable_until; });
    if (it->second.empty()) {
      idle_connections_.erase(it++);
    } else {
      ++it;
    }
  }
}

std::size_t BackendPool::idle_count() const {
  return std::accumulate(
      idle_connections_.begin(), idle_connections_.end(), std::size_t{0},
      [](std::size_t sum, const auto& item) { return sum + item.second.size(); });
}

}  // namespace lagoonwind::gateway
