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

/// Receives what happens on links. Called from the link's strand; several links call at a time.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  virtual void OnLinkMessage(Link& link, wire::Message message) = 0;
  /// The heartbeat to send now.
  virtual wire::Message MakeHeartbeat() = 0;
  /// Counts of all links; outlives them.
  virtual LinkTraffic& traffic() = 0;
};

/// One connection to another daemon. Hold it as a shared_ptr; all coroutines run on its strand.
class Link : public std::enable_shared_from_this<Link> {
 public:
  /// \param socket  Connected, with a strand of its own as executor.
  Link(http::Tcp::socket socket, LinkHandler& handler);

  /// Exchanges hellos and proves the shared key in both directions.
  /// \return The other side's hello; permission denied if it doesn't know the key.
  http::asio::awaitable<absl::StatusOr<wire::gen::Hello>> Handshake(wire::gen::Hello own_hello,
                                                                    std::string key);
  /// Reads messages until the link breaks or is silent too long.
  http::asio::awaitable<void> Run();
  /// Sends a message after all before it. Thread safe.
  void Send(const wire::Message& message);
  /// True if everything sent so far was handed to the operating system. Thread safe.
  [[nodiscard]] bool flushed() const { return unsent_frames_ == 0; }
  /// Ends the sending direction; the peer closes the link once it has read all. Thread safe.
  void Shutdown();
  /// Breaks the link off. Thread safe.
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
