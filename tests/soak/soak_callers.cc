#include "soak_callers.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};
/// Beyond the deadline that requests carry, so that only a lost answer runs into it.
constexpr milliseconds kAnswerTimeout{6000};
constexpr milliseconds kLeaveAfter{15};
constexpr int kMaxPauseMs = 20;
/// One of so many requests is left by its caller while it runs.
constexpr std::uint64_t kLeaveEvery = 25;
/// A connection is closed by its caller after at most so many requests.
constexpr std::uint64_t kMaxRequests = 60;

asio::awaitable<void> Pause(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string TextOf(const Call& call) {
  std::string text = absl::StrCat(call.kind == CallKind::kLook ? "GET " : "POST ", call.target,
                                  " HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: ", call.id,
                                  "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key1\r\n");
  if (call.kind == CallKind::kPlan || call.kind == CallKind::kChat) {
    absl::StrAppend(&text, "X-Model: m\r\nX-Token-Usage: 300,20\r\nX-Prompt-Prefix: aa:200,",
                    call.id, ":100\r\n");
  }
  if (call.kind != CallKind::kLook) {
    absl::StrAppend(&text, "Content-Length: ", call.body.size(), "\r\n");
  }
  return absl::StrCat(text, "\r\n", call.body);
}

}  // namespace

SoakCallers::SoakCallers(const SoakCallersInit& init) : init_(init) {
  for (int number = 0; number < init_.callers; ++number) {
    asio::co_spawn(io_, Run(number), asio::detached);
  }
  thread_ = std::jthread([this] { io_.run(); });
}

SoakCallers::~SoakCallers() { stopping_ = true; }

std::vector<Call> SoakCallers::Stop() {
  stopping_ = true;
  thread_.join();
  return std::move(calls_);
}

Call SoakCallers::NewCall(int number, int gateway, Random& random) {
  constexpr std::array<const char*, 4> kPrefixes{"/plan/", "/chat/", "/book/", "/look/"};
  const auto kind = static_cast<std::size_t>(random() % kPrefixes.size());
  Call call{.id = absl::StrCat(absl::Hex(init_.seed * 0x10000000 + ++last_id_)),
            .kind = static_cast<CallKind>(kind),
            .target = absl::StrCat(kPrefixes.at(kind), number, "?n=", last_id_),
            .gateway = gateway};
  if (call.kind != CallKind::kLook) {
    call.body = absl::StrCat("body of ", call.id, std::string(random() % 2000, '.'));
  }
  return call;
}

asio::awaitable<bool> SoakCallers::Exchange(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                            bool leaves, Call& call) {
  ErrorCode error;
  const std::string text = TextOf(call);
  stream.expires_after(kAnswerTimeout);
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  if (leaves) {
    co_await Pause(kLeaveAfter);
    co_return false;
  }
  beast::http::response_parser<beast::http::string_body> parser;
  co_await beast::http::async_read(stream, buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
  const auto& message = parser.get();
  if (parser.is_header_done()) {
    call.status = message.result_int();
    call.echoed_id = std::string(message["X-Attempt-Id"]);
    call.seal = std::string(message["X-Server-Seal"]);
    call.answer = message.body();
  }
  call.whole = !error && parser.is_done();
  call.surplus = call.whole && buffer.size() > 0;
  co_return call.whole&& parser.keep_alive() && !call.surplus;
}

asio::awaitable<void> SoakCallers::UseConnection(int number, int gateway, Random& random) {
  beast::tcp_stream stream(io_);
  ErrorCode error;
  stream.expires_after(kConnectTimeout);
  const auto endpoint = *http::ParseEndpoint(PlatformWorld::CallerAddress(gateway));
  co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return;
  }
  beast::flat_buffer buffer;
  const std::uint64_t most = 1 + random() % kMaxRequests;
  for (std::uint64_t sent = 0; sent < most && !stopping_; ++sent) {
    Call call = NewCall(number, gateway, random);
    call.left = random() % kLeaveEvery == 0;
    const bool leaves = call.left;
    const bool goes_on = co_await Exchange(stream, buffer, leaves, call);
    calls_.push_back(std::move(call));
    if (!goes_on) {
      co_return;
    }
    co_await Pause(milliseconds(random() % kMaxPauseMs));
  }
}

asio::awaitable<void> SoakCallers::Run(int number) {
  Random random(init_.seed * 1000 + static_cast<std::uint64_t>(number));
  while (!stopping_) {
    const int gateway = 1 + static_cast<int>(random() % static_cast<std::uint64_t>(init_.gateways));
    co_await UseConnection(number, gateway, random);
    co_await Pause(milliseconds(random() % kMaxPauseMs));
  }
}

}  // namespace lagoonwind::testing
