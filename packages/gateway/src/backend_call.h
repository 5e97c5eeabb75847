#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <span>
#include <string>

#include "backend_pool.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// One send of a request to a backend server, and its answer. Not thread safe.
class BackendCall {
 public:
  /// \param codec       Must outlive it.
  /// \param request_id  Id that the answer must bear.
  BackendCall(const HeaderCodec& codec, BackendPool::Connection connection, std::string request_id)
      : codec_(codec), connection_(std::move(connection)), request_id_(std::move(request_id)) {}

  /// Starts to write the request. An answer may come before it is written whole.
  void StartWrite(std::string request);
  /// Reads the head of the answer. Answers to other requests that arrive before it are dropped.
  /// \return Aborted if the connection broke; DataLoss if the bytes are no answer.
  asio::awaitable<absl::Status> ReadHead();
  /// Reads the next part of the body.
  /// \return Number of bytes; 0 at the end of the whole body. Errors as ReadHead().
  asio::awaitable<absl::StatusOr<std::size_t>> ReadBodyChunk(std::span<char> chunk);
  /// Reads the rest of a body of at most `most` bytes.
  asio::awaitable<absl::StatusOr<std::string>> ReadBody(std::size_t max_bytes);

  [[nodiscard]] const ResponseHead& head() const { return parser_->get().base(); }
  [[nodiscard]] const ResponseInfo& response_info() const { return response_info_; }
  /// Length of the body if the answer states it.
  [[nodiscard]] std::optional<std::uint64_t> content_length() const;
  /// True if the connection can serve another request.
  [[nodiscard]] bool reusable() const;
  [[nodiscard]] const BackendPool::Connection& connection() const { return connection_; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  asio::awaitable<absl::Status> ReadNextHead();

  const HeaderCodec& codec_;
  BackendPool::Connection connection_;
  std::string request_id_;
  std::optional<Parser> parser_;
  ResponseInfo response_info_;
};

}  // namespace lagoonwind::gateway
