#include "backend_call.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <utility>

namespace lagoonwind::gateway {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/// Responses to other requests that are discarded before the connection is abandoned.
constexpr int kMaxMismatchedResponses = 2;
/// Largest accepted response head, in bytes.
constexpr std::uint32_t kMaxResponseHeadBytes = 32U << 10U;
/// Response bodies are forwarded regardless of size. Boost 1.74 treats an absent limit as zero for
/// bodies that end with the connection, so a very large limit is set instead.
constexpr std::uint64_t kNoBodyLimit = 1ULL << 62U;
/// Largest number of body bytes per read.
constexpr std::size_t kReadBufferBytes = 16UL << 10U;
/// Largest body of a response to another request that is read so that the connection can be used.
constexpr std::size_t kMaxDiscardedBytes = 256UL << 10U;
/// Time in which the rest of a second response arrives whose beginning has filled up a body.
constexpr std::chrono::milliseconds kSurplusTime{50};
constexpr std::chrono::milliseconds kSurplusPollTime{5};
/// Statuses that HTTP defines, by class.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

absl::Status ToStatus(const ErrorCode& error) {
  const bool malformed =
      error.category() == http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream && error != http::error::partial_message;
  return malformed ? absl::DataLossError(error.message()) : absl::AbortedError(error.message());
}

}  // namespace

void BackendCall::StartWrite(std::string head, std::shared_ptr<const std::string> body) {
  connection_->request_head = std::move(head);
  connection_->request_body = std::move(body);
  connection_->written = false;
  previous_request_id_ = std::exchange(connection_->request_id, request_id_);
  const std::array buffers{asio::buffer(std::as_const(connection_->request_head)),
                           asio::buffer(*connection_->request_body)};
  asio::async_write(connection_->socket, buffers,
                    [connection = connection_](const ErrorCode& error, std::size_t /*bytes*/) {
                      // A write error also surfaces when the response is read, so it is not
                      // reported here.
                      connection->written = !error;
                      connection->request_body.reset();
                    });
}

asio::awaitable<absl::Status> BackendCall::ReadNextHead() {
  parser_.emplace();
  parser_->header_limit(kMaxResponseHeadBytes);
  parser_->body_limit(kNoBodyLimit);
  // Reads no further than to the end of the head.
  parser_->eager(false);
  while (!parser_->is_header_done()) {
    ErrorCode error;
    co_await http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return ToStatus(error);
    }
    if (absl::Status held = CheckMemory(); !held.ok()) {
      co_return held;
    }
  }
  const unsigned status = head().result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    co_return RecordFault(
        absl::DataLossError(absl::StrCat("the status ", status, " is out of range")));
  }
  auto info = DecodeHead();
  if (!info.ok()) {
    co_return RecordFault(info.status());
  }
  response_info_ = *std::move(info);
  co_return absl::OkStatus();
}

absl::StatusOr<ResponseInfo> BackendCall::DecodeHead() const {
  const absl::Status single = lagoonwind::http::CheckSingleHead(head());
  if (!single.ok()) {
    return single;
  }
  return codec_.DecodeResponse(head());
}

asio::awaitable<absl::Status> BackendCall::ReadHead() {
  for (int mismatched = 0; mismatched <= kMaxMismatchedResponses; ++mismatched) {
    absl::Status read = co_await ReadNextHead();
    if (!read.ok()) {
      co_return read;
    }
    const bool interim = head().result_int() / 100 == 1;
    if (!interim &&
        (response_info_.request_id.empty() || response_info_.request_id == request_id_)) {
      // Without a request id the response may be a late copy of an earlier one; only failures on a
      // connection without earlier requests are accepted.
      const bool success = head().result_int() / 100 == 2;
      if (response_info_.request_id.empty() && (success || connection_->reused)) {
        co_return RecordFault(absl::DataLossError("response without the request id"));
      }
      co_return absl::OkStatus();
    }
    absl::Status discarded = co_await DiscardBody();
    if (!discarded.ok()) {
      co_return discarded;
    }
  }
  co_return RecordFault(absl::DataLossError("too many responses to other requests"));
}

absl::Status BackendCall::RecordFault(absl::Status error) {
  is_faulty_ = is_faulty_ || absl::IsDataLoss(error);
  return error;
}

absl::Status BackendCall::CheckMemory() const {
  const std::size_t bytes = connection_->buffer.capacity() + held_body_bytes_;
  return may_hold_(bytes) ? absl::OkStatus()
                          : absl::ResourceExhaustedError(
                                absl::StrCat("the response holds ", bytes,
                                             " bytes, and all responses more than their limit"));
}

asio::awaitable<absl::Status> BackendCall::DiscardBody() {
  std::size_t discarded = 0;
  auto chunk = std::make_unique<std::array<char, kReadBufferBytes>>();
  for (;;) {
    const auto count = co_await ReadBodyChunk(*chunk);
    if (!count.ok()) {
      co_return count.status();
    }
    if (*count == 0) {
      co_return absl::OkStatus();
    }
    discarded += *count;
    if (discarded > kMaxDiscardedBytes) {
      co_return absl::ResourceExhaustedError(
          absl::StrCat("a response to another request exceeds ", kMaxDiscardedBytes, " bytes"));
    }
  }
}

asio::awaitable<absl::StatusOr<std::size_t>> BackendCall::ReadBodyChunk(std::span<char> chunk) {
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    ErrorCode error;
    if (connection_->buffer.size() == 0) {
      // Waits for readability first: saves a read call that would find no data between two events.
      co_await connection_->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                              asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return ToStatus(error);
      }
    }
    co_await http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      co_return ToStatus(error);
    }
    if (absl::Status held = CheckMemory(); !held.ok()) {
      co_return held;
    }
    if (const std::size_t count = chunk.size() - body.size; count > 0) {
      co_return count;
    }
  }
  if (parser_->chunked()) {
    // The parser adds trailers to the fields of the head.
    absl::Status single = DecodeHead().status();
    if (!single.ok()) {
      co_return RecordFault(std::move(single));
    }
  }
  if (parser_->need_eof() && !connection_->written) {
    // A backend server that ends the connection with unread input resets it. The write may take
    // the error, after which the read sees an end in order.
    co_return absl::AbortedError("the connection ended before the request was written");
  }
  co_return std::size_t{0};
}

asio::awaitable<absl::StatusOr<std::string>> BackendCall::ReadBody(std::size_t max_bytes) {
  std::string body;
  lagoonwind::http::BodyScanner scanner;
  auto chunk = std::make_unique<std::array<char, kReadBufferBytes>>();
  for (;;) {
    const auto count = co_await ReadBodyChunk(*chunk);
    if (!count.ok()) {
      co_return count.status();
    }
    if (*count == 0) {
      absl::Status single = co_await CheckBody(body, scanner);
      if (!single.ok()) {
        co_return RecordFault(std::move(single));
      }
      co_return body;
    }
    if (body.size() + *count > max_bytes) {
      co_return absl::ResourceExhaustedError(
          absl::StrCat("the response body exceeds ", max_bytes, " bytes"));
    }
    body.append(chunk->data(), *count);
    scanner.Append({chunk->data(), *count});
    held_body_bytes_ = body.capacity();
  }
}

asio::awaitable<absl::Status> BackendCall::CheckBody(std::string_view body,
                                                     const lagoonwind::http::BodyScanner& scanner) {
  if (parser_->need_eof()) {
    // Nothing but the ids that can be expected on this connection tells another response from a
    // body that quotes one.
    const auto ids = lagoonwind::http::FindFieldInHeads(body, codec_.request_id_field());
    const bool is_joined = std::ranges::any_of(ids, [this](std::string_view id) {
      return !id.empty() && (id == request_id_ || id == previous_request_id_);
    });
    co_return is_joined ? absl::DataLossError("the body without framing holds another response")
                        : absl::OkStatus();
  }
  if (parser_->chunked() || !scanner.MayHoldStatusLine()) {
    co_return absl::OkStatus();
  }
  std::string surplus = Surplus();
  asio::steady_timer timer(connection_->socket.get_executor());
  for (auto waited = kSurplusPollTime;
       surplus.empty() && waited <= kSurplusTime && scanner.SeemsToHoldStatusLine() &&
       !IsClosedByPeer(connection_->socket);
       waited += kSurplusPollTime) {
    timer.expires_after(kSurplusPollTime);
    co_await timer.async_wait(asio::use_awaitable);
    surplus = Surplus();
  }
  co_return scanner.IsFilledUp(surplus)
      ? absl::DataLossError("a second response begins in the body and goes on behind it")
      : absl::OkStatus();
}

std::string BackendCall::Surplus() const {
  const auto buffered = connection_->buffer.data();
  if (buffered.size() > 0) {
    return {static_cast<const char*>(buffered.data()), buffered.size()};
  }
  return PeekInput(connection_->socket);
}

BodyFraming BackendCall::framing() const {
  if (parser_->need_eof()) {
    return {.kind = BodyFraming::Kind::kUntilClose};
  }
  if (parser_->chunked()) {
    return {.kind = BodyFraming::Kind::kChunked};
  }
  // Responses whose status excludes a body have no length either.
  const auto length = parser_->content_length();
  return {.kind = BodyFraming::Kind::kLength, .length = length ? *length : 0};
}

bool BackendCall::reusable() const {
  return connection_->written && !is_faulty_ && parser_.has_value() && parser_->is_done() &&
         parser_->keep_alive() && connection_->buffer.size() == 0;
}

}  // namespace lagoonwind::gateway
