#include "lagoonwind/backend.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <string>

namespace lagoonwind::backend {
namespace {

namespace asio = http::asio;

/// Counts the tokens of a response and discards its data.
class CountingSink final : public ResponseSink {
 public:
  void OnHead(const ResponseHead& /*head*/) override {}
  void OnData(std::string_view /*data*/, std::uint32_t tokens) override { tokens_ += tokens; }
  [[nodiscard]] bool cancelled() const override { return cancelled_; }

  void Cancel() { cancelled_ = true; }
  [[nodiscard]] std::uint32_t tokens() const { return tokens_; }

 private:
  bool cancelled_ = false;
  std::uint32_t tokens_ = 0;
};

/// Runs one call of an engine against a local HTTP server that responds with `handler`.
CallResult RunCall(const http::Handler& handler, const CallTimeouts& timeouts, CountingSink& sink) {
  asio::io_context io;
  http::Tcp::acceptor acceptor(io);
  REQUIRE(http::Listen(acceptor, *http::ParseEndpoint("127.0.0.1:0")).ok());
  const auto backend = MakeHttpBackend(BackendKind::kModelEngine,
                                       http::FormatEndpoint(acceptor.local_endpoint()), timeouts);
  CallResult result = CallResult::kNotRun;
  asio::co_spawn(io, http::Serve(acceptor, handler, 1000), asio::detached);
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        Call call{.method = "POST", .path = "/", .body = R"({"stream": true})"};
        result = co_await backend->Run(std::move(call), sink);
        io.stop();
      },
      asio::detached);
  io.run();
  return result;
}

/// Delays the response for longer than any timeout of these tests.
asio::awaitable<http::Response> NeverRespond(const http::Request& /*request*/) {
  asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::hours(1));
  co_await timer.async_wait(asio::use_awaitable);
  co_return http::Response{};
}

TEST_CASE("a call times out if its first token does not arrive in time") {
  CountingSink sink;
  const CallTimeouts timeouts{.first_token = std::chrono::milliseconds(1)};
  CHECK(RunCall(NeverRespond, timeouts, sink) == CallResult::kTimedOut);
}

TEST_CASE("a stalled stream times out, and the tokens received before are counted") {
  const http::Handler stall = [](const http::Request&) -> asio::awaitable<http::Response> {
    http::Response response{.status = 200, .content_type = "text/event-stream"};
    auto chunk_count = std::make_shared<int>(0);
    response.next_chunk = [chunk_count]() -> asio::awaitable<absl::StatusOr<std::string>> {
      if (++*chunk_count > 2) {
        const http::Request request;
        co_await NeverRespond(request);
      }
      co_return "data: token\n\n";
    };
    co_return response;
  };
  CountingSink sink;
  const CallTimeouts timeouts{.stall = std::chrono::milliseconds(1)};
  CHECK(RunCall(stall, timeouts, sink) == CallResult::kTimedOut);
  CHECK(sink.tokens() > 0);
}

TEST_CASE("a cancelled call ends although its backend server does not respond") {
  CountingSink sink;
  sink.Cancel();
  CHECK(RunCall(NeverRespond, {}, sink) == CallResult::kCancelled);
}

TEST_CASE("the token count of a response that is not streamed comes from its usage field") {
  const http::Handler complete_response =
      [](const http::Request&) -> asio::awaitable<http::Response> {
    co_return http::Response{.status = 200,
                             .content_type = "application/json",
                             .body = R"({"usage":{"completion_tokens": 123}})"};
  };
  CountingSink sink;
  CHECK(RunCall(complete_response, {}, sink) == CallResult::kComplete);
  CHECK(sink.tokens() == 123);
}

}  // namespace
}  // namespace lagoonwind::backend
