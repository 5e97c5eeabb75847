#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "backend_pool.h"
#include "body_framing.h"
#include "lagoonwind/gateway.h"
#include "lagoonwind/response_check.h"

namespace lagoonwind::gateway {

/// One attempt: writes a request to a backend server and reads the response. Not thread safe.
class BackendCall {
 public:
  /// \param codec       Must outlive this object.
  /// \param request_id  Id that the response must carry.
  /// \param may_hold    Called with the number of bytes that the call holds as it receives more.
  ///                    Returns false if they are too many; then the call fails.
  BackendCall(const HeaderCodec& codec, BackendPool::Connection connection, std::string request_id,
              std::function<bool(std::size_t)> may_hold)
      : codec_(codec),
        connection_(std::move(connection)),
        request_id_(std::move(request_id)),
        may_hold_(std::move(may_hold)) {}

  /// Starts writing the request. The response may arrive before the write completes.
  /// \param body  Not null; shared until it is written.
  void StartWrite(std::string head, std::shared_ptr<const std::string> body);
  /// Reads the response head. Responses to other requests that arrive before it are discarded.
  /// \return Aborted if the connection broke; DataLoss if the response is malformed or not for this
  /// request; ResourceExhausted if the call holds too many bytes.
  asio::awaitable<absl::Status> ReadHead();
  /// Reads the next bytes of the body into `chunk`.
  /// \return Number of bytes read; 0 at the end of the body. Errors as for ReadHead().
  asio::awaitable<absl::StatusOr<std::size_t>> ReadBodyChunk(std::span<char> chunk);
  /// Reads the rest of the body.
  /// \return ResourceExhausted if it exceeds `max_bytes`; DataLoss if it holds a part of another
  /// response. Other errors as for ReadHead().
  asio::awaitable<absl::StatusOr<std::string>> ReadBody(std::size_t max_bytes);

  [[nodiscard]] const ResponseHead& head() const { return parser_->get().base(); }
  [[nodiscard]] const ResponseInfo& response_info() const { return response_info_; }
  /// How the response shows where its body ends.
  [[nodiscard]] BodyFraming framing() const;
  /// True if the connection can carry another request.
  [[nodiscard]] bool reusable() const;
  [[nodiscard]] const BackendPool::Connection& connection() const { return connection_; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  asio::awaitable<absl::Status> ReadNextHead();
  /// \return DataLoss if the head is not that of one response.
  [[nodiscard]] absl::StatusOr<ResponseInfo> DecodeHead() const;
  /// Marks the connection as faulty if the error is DataLoss. \return The error.
  absl::Status RecordFault(absl::Status error);
  /// Checks that a whole body comes from one response.
  asio::awaitable<absl::Status> CheckBody(std::string_view body,
                                          const lagoonwind::http::BodyScanner& scanner);
  /// First bytes that follow the response on the connection and have been received; may be empty.
  [[nodiscard]] std::string Surplus() const;
  /// Reads and drops the body of a response to another request.
  asio::awaitable<absl::Status> DiscardBody();
  /// Checks the number of bytes that the call holds.
  [[nodiscard]] absl::Status CheckMemory() const;

  const HeaderCodec& codec_;
  BackendPool::Connection connection_;
  std::string request_id_;
  /// Id of the request that the connection carried before; empty if there was none.
  std::string previous_request_id_;
  std::optional<Parser> parser_;
  ResponseInfo response_info_;
  /// True if the connection had a response that is malformed or that may consist of several, so
  /// that the next one could be misread.
  bool is_faulty_ = false;
  std::function<bool(std::size_t)> may_hold_;
  /// Memory of the part of the body that ReadBody() has read.
  std::size_t held_body_bytes_ = 0;
};

}  // namespace lagoonwind::gateway
