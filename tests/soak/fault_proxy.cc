#include "fault_proxy.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds kAddedLatency{80};
/// Interval between checks whether a fault has ended.
constexpr std::chrono::milliseconds kFaultPollInterval{5};
constexpr std::size_t kBufferBytes = 16384;

}  // namespace

FaultProxy::FaultProxy(asio::io_context& io, const std::string& target)
    : io_(io), target_(*http::ParseEndpoint(target)), acceptor_(io) {
  (void)http::Listen(acceptor_, *http::ParseEndpoint("127.0.0.1:0"));
  asio::co_spawn(io_, AcceptConnections(), asio::detached);
}

std::string FaultProxy::address() const { return http::FormatEndpoint(acceptor_.local_endpoint()); }

void FaultProxy::SetFault(LinkFault fault) {
  fault_ = fault;
  if (fault == LinkFault::kReset) {
    asio::post(io_, [this] { ResetAll(); });
  }
}

void FaultProxy::Connection::Reset() {
  for (auto* socket : {&caller, &server}) {
    ErrorCode ignored;
    // With a linger time of 0, closing the socket sends a TCP reset.
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

void FaultProxy::ResetAll() {
  for (const auto& connection : connections_) {
    if (const auto open = connection.lock()) {
      open->Reset();
    }
  }
  connections_.clear();
}

asio::awaitable<void> FaultProxy::AcceptConnections() {
  for (;;) {
    auto connection = std::make_shared<Connection>(io_);
    ErrorCode error;
    co_await acceptor_.async_accept(connection->caller,
                                    asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      continue;
    }
    if (fault_ == LinkFault::kReset) {
      connection->Reset();
      continue;
    }
    std::erase_if(connections_, [](const auto& other) { return other.expired(); });
    connections_.push_back(connection);
    asio::co_spawn(io_, ConnectToServer(connection), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::ConnectToServer(std::shared_ptr<Connection> connection) {
  ErrorCode error;
  co_await connection->server.async_connect(target_,
                                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    connection->Reset();
    co_return;
  }
  asio::co_spawn(io_, Forward(connection, true), asio::detached);
  asio::co_spawn(io_, Forward(connection, false), asio::detached);
}

asio::awaitable<void> FaultProxy::ApplyFault(bool to_server) {
  asio::steady_timer timer(io_);
  if (fault_ == LinkFault::kDelayed) {
    timer.expires_after(kAddedLatency);
    co_await timer.async_wait(asio::use_awaitable);
  }
  const LinkFault stall = to_server ? LinkFault::kStallToServer : LinkFault::kStallToCaller;
  while (fault_ == stall || fault_ == LinkFault::kStallBoth) {
    timer.expires_after(kFaultPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> FaultProxy::Forward(std::shared_ptr<Connection> connection, bool to_server) {
  http::Tcp::socket& from = to_server ? connection->caller : connection->server;
  http::Tcp::socket& to = to_server ? connection->server : connection->caller;
  std::array<char, kBufferBytes> buffer{};
  for (;;) {
    ErrorCode error;
    const std::size_t size = co_await from.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    co_await ApplyFault(to_server);
    if (error == asio::error::eof) {
      to.shutdown(http::Tcp::socket::shutdown_send, error);
      co_return;
    }
    if (!error) {
      co_await asio::async_write(to, asio::buffer(buffer, size),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
      connection->Reset();
      co_return;
    }
  }
}

}  // namespace lagoonwind::testing
