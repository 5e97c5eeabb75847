#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "lagoonwind/http.h"

namespace lagoonwind::testing {

/// Fault that a proxy injects into its connections.
enum class LinkFault {
  kNone,
  /// Every read is forwarded with added latency.
  kDelayed,
  /// Open connections are reset, and new ones immediately after they are accepted.
  kReset,
  /// Bytes in one direction are held back until the fault ends, as on a link that loses all
  /// packets.
  kStallToServer,
  kStallToCaller,
  /// Bytes in both directions are held back until the fault ends.
  kStallBoth,
};

/// A TCP proxy on loopback between the gateways and one backend server or the store. It must
/// outlive the running of its `io_context`. SetFault is thread safe; the constructor must be
/// called before the `io_context` runs.
class FaultProxy {
 public:
  /// Listens on a free port and forwards each connection.
  /// \param target  `IP:PORT` to connect to.
  FaultProxy(http::asio::io_context& io, const std::string& target);

  /// `IP:PORT` on which the proxy listens.
  [[nodiscard]] std::string address() const;
  /// Replaces the current fault; LinkFault::kNone ends it.
  void SetFault(LinkFault fault);

 private:
  struct Connection {
    explicit Connection(http::asio::io_context& io) : caller(io), server(io) {}
    void Reset();
    http::Tcp::socket caller;
    http::Tcp::socket server;
  };

  http::asio::awaitable<void> AcceptConnections();
  http::asio::awaitable<void> ConnectToServer(std::shared_ptr<Connection> connection);
  http::asio::awaitable<void> Forward(std::shared_ptr<Connection> connection, bool to_server);
  http::asio::awaitable<void> ApplyFault(bool to_server);
  void ResetAll();

  http::asio::io_context& io_;
  http::Tcp::endpoint target_;
  http::Tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::atomic<LinkFault> fault_ = LinkFault::kNone;
};

}  // namespace lagoonwind::testing
