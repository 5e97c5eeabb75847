#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>

#include "lagoonwind/backend.h"
#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"
#include "lagoonwind/response_check.h"

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
constexpr std::string_view kEventStream = "text/event-stream";

asio::redirect_error_t<asio::use_awaitable_t<>> Redirect(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

bool RequestsStreaming(std::string_view body) {
  const json request = json::parse(body, nullptr, false);
  const auto found = request.is_object() ? request.find("stream") : request.end();
  return found != request.end() && found->is_boolean() && found->get<bool>();
}

std::string ToString(beast::string_view view) { return {view.data(), view.size()}; }

/// Counts the generated tokens of a response that arrives in chunks, and detects its end.
class TokenCounter {
 public:
  virtual ~TokenCounter() = default;
  /// \param data  Next bytes of the body.
  /// \return Number of tokens completed by these bytes.
  virtual std::uint32_t Count(std::string_view data) = 0;
  /// True if the data itself shows that the response is complete.
  [[nodiscard]] virtual bool at_end() const { return false; }
};

/// Used for plain services, whose responses have no tokens.
class NullTokenCounter final : public TokenCounter {
 public:
  std::uint32_t Count(std::string_view /*data*/) override { return 0; }
};

/// Counts server-sent events. Each carries one token, except for the last, which only marks the end
/// of the stream.
class EventTokenCounter final : public TokenCounter {
 public:
  std::uint32_t Count(std::string_view data) override {
    std::uint32_t events = 0;
    for (const char c : data) {
      events += (c == '\n' && last_ == '\n') ? 1 : 0;
      last_ = c;
    }
    const bool done = data.find(kDoneEvent) != std::string_view::npos;
    tail_.append(data);
    tail_.erase(0, tail_.size() - std::min(tail_.size(), kMaxTailBytes));
    return done && events > 0 ? events - 1 : events;
  }
  [[nodiscard]] bool at_end() const override {
    const std::string_view tail = tail_;
    return std::ranges::any_of(kSeparators, [&](std::string_view separator) {
      return tail.ends_with(separator) &&
             tail.substr(0, tail.size() - separator.size()).ends_with(kDoneEvent);
    });
  }

 private:
  static constexpr std::string_view kDoneEvent = "data: [DONE]";
  static constexpr std::array<std::string_view, 3> kSeparators{"\n\n", "\r\n\r\n", "\r\r"};
  static constexpr std::size_t kMaxTailBytes = kDoneEvent.size() + kSeparators[1].size();
  char last_ = '\0';
  std::string tail_;
};

/// Reads the number of tokens from the usage field near the end of a response that is not streamed.
class UsageTokenCounter final : public TokenCounter {
 public:
  std::uint32_t Count(std::string_view data) override {
    tail_ += data;
    const auto found = tail_.rfind(kField);
    std::uint32_t tokens = 0;
    if (found != std::string::npos) {
      const char* const begin = tail_.data() + found + kField.size();
      const char* const end = tail_.data() + tail_.size();
      const char* const digit = std::find_if(begin, end, [](char c) { return c != ' '; });
      std::from_chars(digit, end, tokens);
    }
    if (tail_.size() > kTailBytes) {
      tail_.erase(0, tail_.size() - kTailBytes);
    }
    // A number that is split between two chunks is first read too small; the next chunk adds the
    // rest.
    const std::uint32_t added = tokens > counted_ ? tokens - counted_ : 0;
    counted_ += added;
    return added;
  }

 private:
  static constexpr std::string_view kField = "\"completion_tokens\":";
  static constexpr std::size_t kTailBytes = 1024;
  std::string tail_;
  std::uint32_t counted_ = 0;
};

std::unique_ptr<TokenCounter> MakeTokenCounter(BackendKind kind, std::string_view content_type) {
  if (kind == BackendKind::kPlainService) {
    return std::make_unique<NullTokenCounter>();
  }
  if (content_type.starts_with(kEventStream)) {
    return std::make_unique<EventTokenCounter>();
  }
  return std::make_unique<UsageTokenCounter>();
}

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

/// Aborts a call that is cancelled or receives no data in time. Runs on the executor of the call,
/// which must not run its handlers concurrently.
class Watchdog : public std::enable_shared_from_this<Watchdog> {
 public:
  Watchdog(const asio::any_io_executor& executor, beast::tcp_stream& stream,
           const ResponseSink& sink)
      : timer_(executor), stream_(&stream), sink_(&sink) {}

  /// Starts monitoring. The first data must arrive within `timeout`.
  void Start(Duration timeout) {
    ExtendDeadline(timeout);
    asio::co_spawn(timer_.get_executor(), Watch(shared_from_this()), asio::detached);
  }
  /// Call when data arrived. The next data must arrive within `timeout`.
  void ExtendDeadline(Duration timeout) { deadline_ = Clock::now() + timeout; }
  /// Ends monitoring. The stream and the sink are not accessed afterwards.
  void Stop() {
    stream_ = nullptr;
    timer_.cancel();
  }
  [[nodiscard]] bool timed_out() const { return timed_out_; }

 private:
  using Clock = std::chrono::steady_clock;

  static asio::awaitable<void> Watch(std::shared_ptr<Watchdog> self) {
    while (self->stream_ != nullptr) {
      self->timer_.expires_after(limits::kCancelPollInterval);
      ErrorCode ignored;
      co_await self->timer_.async_wait(Redirect(ignored));
      self->Check();
    }
  }

  void Check() {
    if (stream_ == nullptr) {
      return;
    }
    timed_out_ = Clock::now() >= deadline_;
    if (timed_out_ || sink_->cancelled()) {
      stream_->close();
      stream_ = nullptr;
    }
  }

  asio::steady_timer timer_;
  beast::tcp_stream* stream_;
  const ResponseSink* sink_;
  Clock::time_point deadline_;
  bool timed_out_ = false;
};

class HttpBackend final : public Backend {
 public:
  HttpBackend(BackendKind kind, std::string address, const CallTimeouts& timeouts)
      : kind_(kind), address_(std::move(address)), timeouts_(timeouts) {}

  asio::awaitable<CallResult> Run(Call call, ResponseSink& sink) override {
    const auto endpoint = http::ParseEndpoint(address_);
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    ErrorCode error;
    stream.expires_after(limits::kConnectTimeout);
    co_await stream.async_connect(*endpoint, Redirect(error));
    if (error) {
      co_return CallResult::kConnectFailed;
    }
    stream.expires_never();
    const auto watchdog = std::make_shared<Watchdog>(stream.get_executor(), stream, sink);
    const bool is_streaming = kind_ == BackendKind::kModelEngine && RequestsStreaming(call.body);
    watchdog->Start(is_streaming ? timeouts_.first_token : timeouts_.response_start);
    const CallResult result = co_await Exchange(std::move(call), stream, *watchdog, sink);
    watchdog->Stop();
    if (result != CallResult::kUnknown) {
      co_return result;
    }
    if (watchdog->timed_out()) {
      co_return CallResult::kTimedOut;
    }
    co_return sink.cancelled() ? CallResult::kCancelled : CallResult::kUnknown;
  }

  asio::awaitable<absl::StatusOr<Health>> CheckHealth() override {
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
      return absl::UnavailableError(
          absl::StrCat("the health check returned status ", response.status));
    }
    try {
      const json body = json::parse(response.body);
      return Health{.incarnation = StableHash(body.at("instance").get<std::string>()),
                    .targets = body.at("targets"),
                    .running = body.at("running")};
    } catch (const json::exception& error) {
      return absl::DataLossError(error.what());
    }
  }

  asio::awaitable<CallResult> Exchange(Call call, beast::tcp_stream& stream, Watchdog& watchdog,
                                       ResponseSink& sink) {
    const bool at_most_once = call.at_most_once;
    auto request = ToBeast(std::move(call), address_);
    ErrorCode error;
    co_await beast::http::async_write(stream, request, Redirect(error));
    if (error) {
      co_return CallResult::kUnknown;
    }
    beast::flat_buffer buffer;
    Parser parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await beast::http::async_read_header(stream, buffer, parser, Redirect(error));
    if (error || !http::CheckSingleHead(parser.get()).ok()) {
      co_return CallResult::kUnknown;
    }
    const unsigned status = parser.get().result_int();
    if (status == kTooManyRequests || status == kServiceUnavailable) {
      co_return at_most_once&& status == kServiceUnavailable ? CallResult::kUnknown
                                                             : CallResult::kNotRun;
    }
    sink.OnHead(
        ResponseHead{.status = status,
                     .content_type = ToString(parser.get()[beast::http::field::content_type])});
    co_return co_await ReadBody(stream, buffer, parser, watchdog, sink);
  }

  asio::awaitable<CallResult> ReadBody(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                       Parser& parser, Watchdog& watchdog, ResponseSink& sink) {
    const auto counter =
        MakeTokenCounter(kind_, ToString(parser.get()[beast::http::field::content_type]));
    std::string data(kReadBufferBytes, '\0');
    http::BodyScanner scanner;
    ErrorCode error;
    while (!parser.is_done()) {
      parser.get().body().data = data.data();
      parser.get().body().size = data.size();
      co_await beast::http::async_read_some(stream, buffer, parser, Redirect(error));
      if (error && error != beast::http::error::need_buffer) {
        co_return CallResult::kUnknown;
      }
      const std::string_view chunk(data.data(), data.size() - parser.get().body().size);
      if (!chunk.empty()) {
        watchdog.ExtendDeadline(timeouts_.stall);
        scanner.Append(chunk);
        sink.OnData(chunk, counter->Count(chunk));
      }
      if (sink.cancelled()) {
        co_return CallResult::kCancelled;
      }
    }
    const auto surplus = buffer.data();
    const bool has_length = !parser.chunked() && !parser.need_eof();
    if (has_length &&
        scanner.IsFilledUp({static_cast<const char*>(surplus.data()), surplus.size()})) {
      co_return CallResult::kUnknown;
    }
    const bool is_complete = !parser.need_eof() || counter->at_end();
    co_return is_complete ? CallResult::kComplete : CallResult::kUnframed;
  }

  BackendKind kind_;
  std::string address_;
  CallTimeouts timeouts_;
};

}  // namespace

std::unique_ptr<Backend> MakeHttpBackend(BackendKind kind, std::string address,
                                         const CallTimeouts& timeouts) {
  return std::make_unique<HttpBackend>(kind, std::move(address), timeouts);
}

}  // namespace lagoonwind::backend
