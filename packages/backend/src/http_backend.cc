#include <absl/strings/str_cat.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "lagoonwind/backend.h"
#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::backend {
namespace {

namespace asio = http::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;
using nlohmann::json;
using Parser = beast::http::response_parser<beast::http::buffer_body>;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kOk = 200;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;
constexpr std::size_t kReadBufferBytes = 16U << 10U;

asio::redirect_error_t<asio::use_awaitable_t<>> Redirect(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

std::string Text(beast::string_view view) { return {view.data(), view.size()}; }

/// Counts server-sent events in a stream that arrives in pieces.
class EventCounter {
 public:
  std::uint32_t Count(std::string_view data) {
    std::uint32_t events = 0;
    for (const char c : data) {
      events += (c == '\n' && last_ == '\n') ? 1 : 0;
      last_ = c;
    }
    return events;
  }

 private:
  char last_ = '\0';
};

beast::http::request<beast::http::string_body> ToBeast(Call&& call, const std::string& host) {
  beast::http::request<beast::http::string_body> out;
  out.version(kHttp11);
  out.method_string(call.method);
  out.target(call.path);
  out.set(beast::http::field::host, host);
  if (!call.content_type.empty()) {
    out.set(beast::http::field::content_type, call.content_type);
  }
  out.set("X-Request-Id", call.request_id);
  out.set("X-Customer", call.customer);
  if (!call.idempotency_key.empty()) {
    out.set("Idempotency-Key", call.idempotency_key);
  }
  out.keep_alive(false);
  out.body() = std::move(call.body);
  out.prepare_payload();
  return out;
}

class HttpBackend final : public Backend {
 public:
  HttpBackend(BackendKind kind, std::string address) : kind_(kind), address_(std::move(address)) {}

  asio::awaitable<CallResult> Run(Call call, AnswerSink& sink) override {
    const auto endpoint = http::ParseEndpoint(address_);
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    ErrorCode error;
    stream.expires_after(limits::kConnectTimeout);
    co_await stream.async_connect(*endpoint, Redirect(error));
    if (error) {
      co_return CallResult::kNotRun;
    }
    auto request = ToBeast(std::move(call), address_);
    co_await beast::http::async_write(stream, request, Redirect(error));
    if (error) {
      co_return CallResult::kUnknown;
    }
    stream.expires_never();
    co_return co_await ReadAnswer(stream, sink);
  }

  asio::awaitable<absl::StatusOr<Health>> Observe() override {
    http::Request request{.target = "/health"};
    const auto response =
        co_await http::Fetch(address_, std::move(request), limits::kPlatformTimeout);
    if (!response.ok()) {
      co_return response.status();
    }
    co_return ParseHealth(*response);
  }

 private:
  static absl::StatusOr<Health> ParseHealth(const http::Response& response) {
    if (response.status != kOk) {
      return absl::UnavailableError(absl::StrCat("status ", response.status));
    }
    try {
      const json body = json::parse(response.body);
      return Health{.instance = StableHash(body.at("instance").get<std::string>()),
                    .targets = body.at("targets"),
                    .running = body.at("running")};
    } catch (const json::exception& error) {
      return absl::DataLossError(error.what());
    }
  }

  asio::awaitable<CallResult> ReadAnswer(beast::tcp_stream& stream, AnswerSink& sink) {
    beast::flat_buffer buffer;
    Parser parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    ErrorCode error;
    co_await beast::http::async_read_header(stream, buffer, parser, Redirect(error));
    if (error) {
      co_return CallResult::kUnknown;
    }
    const unsigned status = parser.get().result_int();
    if (status == kTooManyRequests || status == kServiceUnavailable) {
      co_return CallResult::kNotRun;
    }
    sink.OnHead(AnswerHead{.status = status,
                           .content_type = Text(parser.get()[beast::http::field::content_type])});
    co_return co_await ReadBody(stream, buffer, parser, sink);
  }

  asio::awaitable<CallResult> ReadBody(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                       Parser& parser, AnswerSink& sink) {
    EventCounter counter;
    std::string data(kReadBufferBytes, '\0');
    while (!parser.is_done()) {
      parser.get().body().data = data.data();
      parser.get().body().size = data.size();
      ErrorCode error;
      co_await beast::http::async_read_some(stream, buffer, parser, Redirect(error));
      if (error && error != beast::http::error::need_buffer) {
        co_return CallResult::kUnknown;
      }
      const std::string_view read(data.data(), data.size() - parser.get().body().size);
      if (!read.empty()) {
        sink.OnData(read, kind_ == BackendKind::kModelEngine ? counter.Count(read) : 0);
      }
      if (sink.cancelled()) {
        co_return CallResult::kCancelled;
      }
    }
    co_return CallResult::kComplete;
  }

  BackendKind kind_;
  std::string address_;
};

}  // namespace

std::unique_ptr<Backend> MakeHttpBackend(BackendKind kind, std::string address) {
  return std::make_unique<HttpBackend>(kind, std::move(address));
}

}  // namespace lagoonwind::backend
