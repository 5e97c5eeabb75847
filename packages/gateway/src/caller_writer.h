#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "backend_pool.h"
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
  void ResetForNextResponse() { response_begun_ = false; }

  /// Writes a response of the gateway itself.
  /// \return False if the connection broke.
  asio::awaitable<bool> WriteLocalResponse(LocalResponse response);
  /// Writes a backend server's response whose body is complete.
  /// \return False if the connection broke.
  asio::awaitable<bool> WriteResponse(const ResponseHead& head, std::string_view body);
  /// Starts a backend server's response whose body follows in chunks. Written with the first chunk.
  /// \param length  Length of the body; if absent, the chunked transfer coding is used.
  void BeginResponse(const ResponseHead& head, std::optional<std::uint64_t> length);
  /// Writes a part of the body.
  /// \return False if the connection broke.
  asio::awaitable<bool> WriteBodyChunk(std::string_view chunk);
  /// Completes the response.
  /// \return False if the connection broke.
  asio::awaitable<bool> EndResponse();

 private:
  void AppendHead(const ResponseHead& head);
  asio::awaitable<bool> Flush();

  asio::ip::tcp::socket& socket_;
  std::string out_;
  bool chunked_ = false;
  bool close_after_response_ = false;
  bool response_begun_ = false;
};

}  // namespace lagoonwind::gateway
