#include "soak_callers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
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
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};
/// Longer than the routes' timeout of 4 s, so that only a lost response times out here.
constexpr milliseconds kResponseTimeout{6000};
constexpr milliseconds kDisconnectDelay{15};
constexpr int kMaxPauseMs = 20;
/// On average, one out of this many pauses between requests is long, so that stops find idle
/// connections.
constexpr std::uint64_t kPausesPerLongPause = 20;
constexpr int kMaxLongPauseMs = 1500;
constexpr std::array<int, 8> kDeadlinesMs{200, 500, 1000, 2000, 4000, 4000, 8000, 15000};
/// On average, callers disconnect during one out of this many requests.
constexpr std::uint64_t kRequestsPerDisconnect = 25;
/// Callers close a connection after at most this many requests.
constexpr std::uint64_t kMaxRequestsPerConnection = 60;
/// Of the idempotent requests, one out of this many goes to a route that only one version of the
/// configuration has.
constexpr std::uint64_t kLooksPerVersionRoute = 4;

asio::awaitable<void> Sleep(milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string SerializeRequest(const CallRecord& call) {
  std::string text = absl::StrCat(call.kind == CallKind::kLook ? "GET " : "POST ", call.target,
                                  " HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: ", call.id,
                                  "\r\nX-Deadline-Ms: ", call.deadline.count(),
                                  "\r\nAuthorization: Bearer key1\r\n");
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

SoakCallers::SoakCallers(const SoakCallersOptions& options, const StopSignals& stop_signals,
                         const ConfigurationHistory& configurations)
    : options_(options), stop_signals_(stop_signals), configurations_(configurations) {
  for (int caller_index = 0; caller_index < options_.callers; ++caller_index) {
    asio::co_spawn(io_, RunCaller(caller_index), asio::detached);
  }
  thread_ = std::jthread([this] { io_.run(); });
}

SoakCallers::~SoakCallers() { stopping_ = true; }

std::vector<CallRecord> SoakCallers::Stop() {
  stopping_ = true;
  thread_.join();
  return std::move(calls_);
}

CallRecord SoakCallers::MakeCall(int caller_index, int gateway, Random& random) {
  constexpr std::array<const char*, 4> kPrefixes{"/plan/", "/chat/", "/book/", "/look/"};
  const auto kind = static_cast<std::size_t>(random() % kPrefixes.size());
  CallRecord call{.id = absl::StrCat(absl::Hex(options_.seed * 0x10000000 + ++last_id_)),
                  .kind = static_cast<CallKind>(kind),
                  .target = absl::StrCat(kPrefixes.at(kind), caller_index, "?n=", last_id_),
                  .gateway = gateway,
                  .deadline = milliseconds(kDeadlinesMs.at(random() % kDeadlinesMs.size()))};
  if (call.kind != CallKind::kLook) {
    call.body = absl::StrCat("body of ", call.id, std::string(random() % 2000, '.'));
  } else if (last_id_ % kLooksPerVersionRoute == 0) {
    // Half of these ask for the newest version's route, the others for the one before.
    const std::uint64_t age = last_id_ / kLooksPerVersionRoute % 2;
    call.version = std::max(configurations_.newest() - static_cast<int>(age), 1);
    call.target = absl::StrCat(VersionPrefix(call.version), caller_index, "?n=", last_id_);
  }
  return call;
}

asio::awaitable<bool> SoakCallers::SendAndReceive(beast::tcp_stream& stream,
                                                  beast::flat_buffer& buffer, bool disconnects,
                                                  CallRecord& call) {
  ErrorCode error;
  const std::string text = SerializeRequest(call);
  stream.expires_after(kResponseTimeout);
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    call.reset = true;
    co_return false;
  }
  if (disconnects) {
    co_await Sleep(kDisconnectDelay);
    co_return false;
  }
  beast::http::response_parser<beast::http::string_body> parser;
  co_await beast::http::async_read(stream, buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
  const auto& message = parser.get();
  if (parser.is_header_done()) {
    call.status = message.result_int();
    call.echoed_id = std::string(message["X-Attempt-Id"]);
    call.server_seal = std::string(message["X-Server-Seal"]);
    call.response_body = message.body();
    call.framed = !parser.need_eof();
  }
  call.reset = error == asio::error::connection_reset;
  call.complete = !error && parser.is_done();
  call.has_surplus = call.complete && buffer.size() > 0;
  co_return call.complete&& parser.keep_alive() && !call.has_surplus;
}

asio::awaitable<void> SoakCallers::RunConnection(int caller_index, int gateway, Random& random) {
  beast::tcp_stream stream(io_);
  ErrorCode error;
  stream.expires_after(kConnectTimeout);
  const auto endpoint = *http::ParseEndpoint(PlatformWorld::CallerAddress(gateway));
  co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return;
  }
  beast::flat_buffer buffer;
  const std::uint64_t max_requests = 1 + random() % kMaxRequestsPerConnection;
  for (std::uint64_t sent = 0; sent < max_requests && !stopping_; ++sent) {
    CallRecord call = MakeCall(caller_index, gateway, random);
    call.disconnected = random() % kRequestsPerDisconnect == 0;
    const bool disconnects = call.disconnected;
    call.sent = Clock::now();
    const bool reusable = co_await SendAndReceive(stream, buffer, disconnects, call);
    call.ended = Clock::now();
    calls_.push_back(std::move(call));
    if (!reusable) {
      co_return;
    }
    const bool is_long = random() % kPausesPerLongPause == 0;
    co_await Sleep(milliseconds(random() % (is_long ? kMaxLongPauseMs : kMaxPauseMs)));
  }
}

int SoakCallers::PickGateway(int caller_index, Random& random) const {
  const std::vector<int> draining = stop_signals_.Draining();
  if (caller_index % 2 == 1 && !draining.empty()) {
    return draining.at(random() % draining.size());
  }
  return 1 + static_cast<int>(random() % static_cast<std::uint64_t>(options_.gateways));
}

asio::awaitable<void> SoakCallers::RunCaller(int caller_index) {
  Random random(options_.seed * 1000 + static_cast<std::uint64_t>(caller_index));
  while (!stopping_) {
    co_await RunConnection(caller_index, PickGateway(caller_index, random), random);
    co_await Sleep(milliseconds(random() % kMaxPauseMs));
  }
}

}  // namespace lagoonwind::testing
