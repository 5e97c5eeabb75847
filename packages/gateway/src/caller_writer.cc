#include "caller_writer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <chrono>

#include "hop_by_hop_headers.h"
#include "lagoonwind/http.h"

namespace lagoonwind::gateway {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kCrlf = "\r\n";
constexpr std::string_view kConnectionClose = "Connection: close\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ToStdView(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

asio::awaitable<bool> CallerWriter::Flush() {
  response_begun_ = true;
  boost::system::error_code error;
  co_await asio::async_write(socket_, asio::buffer(out_),
                             asio::redirect_error(asio::use_awaitable, error));
  out_.clear();
  co_return !error;
}

asio::awaitable<bool> CallerWriter::WriteLocalResponse(LocalResponse response) {
  const std::string body = absl::StrCat(std::string(response.reason), "\n");
  const auto phrase = http::obsolete_reason(static_cast<http::status>(response.status));
  out_ = absl::StrFormat("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n",
                         response.status, std::string(ToStdView(phrase)), body.size());
  if (response.retry_after.has_value()) {
    const double seconds = std::chrono::duration<double>(*response.retry_after).count();
    absl::StrAppendFormat(&out_, "Retry-After: %.2f\r\n", seconds);
  }
  if (!response.request_id.empty()) {
    absl::StrAppend(&out_, "Lagoonwind-Request-Id: ", std::string(response.request_id), "\r\n");
  }
  out_.append(close_after_response_ ? kConnectionClose : "").append(kCrlf).append(body);
  co_return co_await Flush();
}

void CallerWriter::AppendHead(const ResponseHead& head, BodyFraming framing) {
  framing_ = framing.kind;
  if (!framed()) {
    // A reset is the only way to break off a body that ends with its connection. Set from the
    // beginning, so that an unexpected end of the process resets the connection, too.
    lagoonwind::http::SetResetOnClose(socket_, true);
    CloseAfterResponse();
  }
  absl::StrAppendFormat(&out_, "HTTP/1.1 %d %s\r\n", head.result_int(),
                        std::string(ToStdView(head.reason())));
  for (const auto& field : head) {
    if (!IsHopByHopHeader(ToStdView(field.name_string()))) {
      out_.append(ToStdView(field.name_string()))
          .append(": ")
          .append(ToStdView(field.value()))
          .append(kCrlf);
    }
  }
  out_.append(close_after_response_ ? kConnectionClose : "");
  if (framing.kind == BodyFraming::Kind::kChunked) {
    out_.append("Transfer-Encoding: chunked\r\n");
  } else if (framed()) {
    absl::StrAppendFormat(&out_, "Content-Length: %d\r\n", framing.length);
  }
  out_.append(kCrlf);
}

asio::awaitable<bool> CallerWriter::WriteResponse(const ResponseHead& head, BodyFraming framing,
                                                  std::string_view body) {
  if (framing.kind != BodyFraming::Kind::kUntilClose) {
    framing = {.kind = BodyFraming::Kind::kLength, .length = body.size()};
  }
  AppendHead(head, framing);
  out_.append(body);
  co_return co_await EndResponse();
}

void CallerWriter::BeginResponse(const ResponseHead& head, BodyFraming framing) {
  AppendHead(head, framing);
}

asio::awaitable<bool> CallerWriter::WriteBodyChunk(std::string_view chunk) {
  if (chunk.empty()) {
    co_return true;
  }
  const bool chunked = framing_ == BodyFraming::Kind::kChunked;
  if (chunked) {
    absl::StrAppendFormat(&out_, "%x\r\n", chunk.size());
  }
  out_.append(chunk).append(chunked ? kCrlf : "");
  co_return co_await Flush();
}

asio::awaitable<bool> CallerWriter::EndResponse() {
  out_.append(framing_ == BodyFraming::Kind::kChunked ? kLastChunk : "");
  if (!out_.empty()) {
    const bool written = co_await Flush();
    if (!written) {
      co_return false;
    }
  }
  if (!framed()) {
    lagoonwind::http::SetResetOnClose(socket_, false);
  }
  co_return true;
}

}  // namespace lagoonwind::gateway
