#pragma once

#include <atomic>
#include <boost/asio/strand.hpp>
#include <deque>
#include <memory>
#include <string>

#include "lagoonwind/http.h"
#include "lagoonwind/wire.h"
#include "link_traffic.h"

namespace lagoonwind::runtime {

class Link;

/// Callbacks of links. Called from the strand of each link, so several links call it concurrently.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  virtual void OnLinkMessage(Link& link, wire::Message message) = 0;
  /// Returns the heartbeat to send now.
  virtual wire::Message MakeHeartbeat() = 0;
  /// Traffic counters of all links; must outlive them.
  virtual LinkTraffic& traffic() = 0;
};

/// A connection to another daemon. Must be owned by a shared_ptr; all coroutines run on its strand.
class Link : public std::enable_shared_from_this<Link> {
 public:
  /// \param socket  Connected socket whose executor is a strand that only this link uses.
  Link(http::Tcp::socket socket, LinkHandler& handler);

  /// Exchanges hello messages and proves knowledge of the shared key in both directions.
  /// \return The peer's hello; failed precondition if its protocol version differs, permission
  ///         denied if it does not know the key.
  http::asio::awaitable<absl::StatusOr<wire::gen::Hello>> Handshake(wire::gen::Hello own_hello,
                                                                    std::string key);
  /// Reads messages until the link breaks or nothing has been received for the link timeout.
  http::asio::awaitable<void> Run();
  /// Queues a message, to be sent after all earlier ones. Thread safe.
  void Send(const wire::Message& message);
  /// Returns true if all queued messages have been passed to the operating system. Thread safe.
  [[nodiscard]] bool flushed() const { return unsent_frames_ == 0; }
  /// Shuts down the sending direction; the peer closes the link once it has read everything. Thread
  /// safe.
  void Shutdown();
  /// Closes the link at once, dropping messages that are still queued. Thread safe.
  void Close();

  [[nodiscard]] MemberId peer() const { return peer_; }

 private:
  http::asio::awaitable<absl::StatusOr<wire::Message>> ReadMessage();
  http::asio::awaitable<absl::Status> WriteMessage(wire::Message message);
  http::asio::awaitable<void> WriteOutbox();
  http::asio::awaitable<void> RunHeartbeat();

  http::Tcp::socket socket_;
  LinkHandler& handler_;
  MemberId peer_;
  bool open_ = true;
  bool writing_ = false;
  std::deque<std::string> outbox_;
  std::atomic<std::size_t> unsent_frames_{0};
  std::chrono::steady_clock::time_point last_received_;
};

}  // namespace lagoonwind::runtime
