#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "backend_pool.h"
#include "body_framing.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// Response that the gateway itself generates.
struct LocalResponse {
  unsigned status = 0;
  std::string_view reason;
  std::string_view request_id;
  /// Value of Retry-After; absent if a retry would not help.
  std::optional<Duration> retry_after;
};

/// Writes responses to a caller's connection. Not thread safe.
class CallerWriter {
 public:
  /// \param socket  Must outlive this object.
  explicit CallerWriter(asio::ip::tcp::socket& socket) : socket_(socket) {}

  /// Closes the connection after the current response.
  void CloseAfterResponse() { close_after_response_ = true; }
  [[nodiscard]] bool close_after_response() const { return close_after_response_; }
  /// True if the caller has closed or reset its connection.
  [[nodiscard]] bool caller_disconnected() const { return IsClosedByPeer(socket_); }
  /// True once any byte of the current response was written.
  [[nodiscard]] bool response_begun() const { return response_begun_; }
  /// Prepares for the next response on the connection.
  void ResetForNextResponse() {
    response_begun_ = false;
    framing_ = BodyFraming::Kind::kNone;
  }

  /// Writes a response of the gateway itself.
  /// \return False if the connection broke.
  asio::awaitable<bool> WriteLocalResponse(LocalResponse response);
  /// Writes a backend server's response.
  /// \param body  All that the backend server has sent; whole unless `framing` is kUntilClose.
  /// \return False if the connection broke.
  asio::awaitable<bool> WriteResponse(const ResponseHead& head, BodyFraming framing,
                                      std::string_view body);
  /// Starts a backend server's response whose body follows. Written with the first part of it.
  /// \param framing  How the response shows its end. With kUntilClose, the connection closes after
  ///                 the response, and closing it before EndResponse() resets it.
  void BeginResponse(const ResponseHead& head, BodyFraming framing);
  /// True if the current response has a length or chunks, which state that it is whole when it
  /// ends.
  [[nodiscard]] bool framed() const { return framing_ != BodyFraming::Kind::kUntilClose; }
  /// Writes a part of the body.
  /// \return False if the connection broke.
  asio::awaitable<bool> WriteBodyChunk(std::string_view chunk);
  /// Completes the response. Must not be called if it is framed and may not be whole.
  /// \return False if the connection broke.
  asio::awaitable<bool> EndResponse();

 private:
  void AppendHead(const ResponseHead& head, BodyFraming framing);
  asio::awaitable<bool> Flush();

  asio::ip::tcp::socket& socket_;
  std::string out_;
  BodyFraming::Kind framing_ = BodyFraming::Kind::kNone;
  bool close_after_response_ = false;
  bool response_begun_ = false;
};

}  // namespace lagoonwind::gateway
