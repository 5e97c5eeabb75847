#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "backend_pool.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// An answer of the gateway's own.
struct LocalResponse {
  unsigned status = 0;
  std::string_view reason;
  std::string_view request_id;
  /// Time after which the caller may come again; none if there is no use in that.
  std::optional<Duration> retry_after;
};

/// Writes answers to a caller's connection. Not thread safe.
class CallerWriter {
 public:
  /// \param socket  Must outlive it.
  explicit CallerWriter(asio::ip::tcp::socket& socket) : socket_(socket) {}

  /// Whether the connection is closed after the present answer.
  void CloseAfterResponse() { close_after_response_ = true; }
  [[nodiscard]] bool close_after_response() const { return close_after_response_; }
  /// True if the caller has closed its connection.
  [[nodiscard]] bool caller_disconnected() const { return IsClosedByPeer(socket_); }
  /// True once a byte of the present answer was written.
  [[nodiscard]] bool response_begun() const { return response_begun_; }
  /// The next answer begins.
  void ResetForNextResponse() { response_begun_ = false; }

  /// Writes an answer of the gateway's own. False if the connection broke.
  asio::awaitable<bool> WriteLocalResponse(LocalResponse response);
  /// Writes a backend server's whole answer.
  asio::awaitable<bool> WriteResponse(const ResponseHead& head, std::string_view body);
  /// Begins a backend server's answer whose body follows in parts.
  /// \param length  Length of the body if it is known.
  void BeginResponse(const ResponseHead& head, std::optional<std::uint64_t> length);
  /// Writes a part of the body.
  asio::awaitable<bool> WriteBodyChunk(std::string_view chunk);
  /// Ends the body.
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
