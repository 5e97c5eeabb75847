#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "backend_pool.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// An answer of the gateway's own.
struct OwnAnswer {
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
  void CloseAfterwards() { close_ = true; }
  [[nodiscard]] bool closes() const { return close_; }
  /// True if the caller has closed its connection.
  [[nodiscard]] bool caller_closed() const { return IsClosed(socket_); }
  /// True once a byte of the present answer was written.
  [[nodiscard]] bool begun() const { return begun_; }
  /// The next answer begins.
  void Reset() { begun_ = false; }

  /// Writes an answer of the gateway's own. False if the connection broke.
  asio::awaitable<bool> WriteOwn(OwnAnswer answer);
  /// Writes a backend server's whole answer.
  asio::awaitable<bool> WriteWhole(const ResponseHead& head, std::string_view body);
  /// Begins a backend server's answer whose body follows in parts.
  /// \param length  Length of the body if it is known.
  void Begin(const ResponseHead& head, std::optional<std::uint64_t> length);
  /// Writes a part of the body.
  asio::awaitable<bool> WritePart(std::string_view part);
  /// Ends the body.
  asio::awaitable<bool> End();

 private:
  void AppendHead(const ResponseHead& head);
  asio::awaitable<bool> Flush();

  asio::ip::tcp::socket& socket_;
  std::string out_;
  bool chunked_ = false;
  bool close_ = false;
  bool begun_ = false;
};

}  // namespace lagoonwind::gateway
