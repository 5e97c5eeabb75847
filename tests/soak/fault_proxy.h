#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "lagoonwind/http.h"

namespace lagoonwind::testing {

/// What a proxy does to the bytes that pass.
enum class LinkFault {
  kNone,
  /// Each piece is held for a while.
  kDelayed,
  /// Open connections are reset, and each new one at once.
  kReset,
  /// Bytes in one direction wait for the end of the fault, as on a link that loses all packets.
  kStallToServer,
  kStallToCaller,
  /// Bytes in both directions wait.
  kStallBoth,
};

/// A TCP proxy on loopback between a gateway and one backend server or the store. Lives longer than
/// the run of its `io_context`; SetFault is thread safe, the rest is for setting up.
class FaultProxy {
 public:
  /// \param target  `IP:PORT` to pass on to.
  FaultProxy(http::asio::io_context& io, const std::string& target);

  /// `IP:PORT` on which it listens.
  [[nodiscard]] std::string address() const;
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
