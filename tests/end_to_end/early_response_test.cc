// Guards against a backend server that begins an unframed response before it has read the request,
// and then ends the connection. The write of the request takes the reset's error, after which the
// read sees an ordinary end: the part of the body reached the caller as a complete response.
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "caller.h"
#include "platform_world.h"
#include "raw_backend.h"
#include "scripted_fixture.h"

namespace lagoonwind {
namespace {

namespace asio = http::asio;
using std::chrono::milliseconds;
using testing::Caller;
using testing::EventOf;
using testing::kPromptFields;
using testing::PlatformWorld;
using testing::Process;
using testing::ResponseHeadOf;
using testing::ResponseOf;

/// Larger than the socket buffers between the gateway and the backend server.
constexpr std::size_t kUploadBytes = 16UL << 20U;
constexpr std::size_t kReceiveBufferBytes = 16UL << 10U;
constexpr int kRepetitions = 2;
/// Number of times that a request is sent until it reaches the backend server: a gateway on a busy
/// machine may refuse it.
constexpr int kTries = 20;
constexpr milliseconds kPause{50};

/// How the backend server ends the connection.
enum class End { kReset, kFin, kFinThenReset };

struct Behaviour {
  End end = End::kReset;
  /// True if it reads the whole request first.
  bool after_upload = false;
  /// True if it first responds to a request in full, on the same connection.
  bool kept_alive = false;
  /// Time until it ends the connection.
  milliseconds pause = kPause;
  std::string part = "part of the body";
  std::string type = "text/plain";
};

/// A backend server that doesn't read requests before it responds.
class EarlyBackend {
 public:
  explicit EarlyBackend(Behaviour behaviour)
      : behaviour_(std::move(behaviour)), acceptor_(io_, asio::ip::tcp::v4()) {
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind(*http::ParseEndpoint("127.0.0.1:0"));
    acceptor_.listen();
    asio::co_spawn(io_, Accept(), asio::detached);
    thread_ = std::jthread([this] { io_.run(); });
  }
  ~EarlyBackend() {
    io_.stop();
    thread_.join();
  }
  EarlyBackend(const EarlyBackend&) = delete;
  EarlyBackend& operator=(const EarlyBackend&) = delete;

  [[nodiscard]] std::string address() const {
    return http::FormatEndpoint(acceptor_.local_endpoint());
  }
  /// Responses that were begun.
  [[nodiscard]] int begun() const { return begun_; }

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      http::Tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(http::Tcp::socket socket) {
    boost::system::error_code error;
    std::string buffer;
    if (behaviour_.kept_alive && !served_.exchange(true)) {
      const std::string first = co_await ReadHead(socket, buffer, error);
      const std::string response = ResponseOf(first, EventOf(1));
      co_await asio::async_write(socket, asio::buffer(response),
                                 asio::redirect_error(asio::use_awaitable, error));
      buffer.clear();
    }
    const std::string id = co_await ReadHead(socket, buffer, error);
    if (id.empty()) {
      co_return;
    }
    if (behaviour_.after_upload) {
      std::array<char, 65536> chunk{};
      std::size_t read = buffer.size();
      while (!error && read < kUploadBytes) {
        read += co_await socket.async_read_some(asio::buffer(chunk),
                                                asio::redirect_error(asio::use_awaitable, error));
      }
    }
    const std::string response = ResponseHeadOf(id, absl::StrCat("Content-Type: ", behaviour_.type,
                                                                 "\r\nConnection: close")) +
                                 behaviour_.part;
    co_await asio::async_write(socket, asio::buffer(response),
                               asio::redirect_error(asio::use_awaitable, error));
    ++begun_;
    asio::steady_timer timer(io_, behaviour_.pause);
    co_await timer.async_wait(asio::use_awaitable);
    if (behaviour_.end != End::kReset) {
      socket.shutdown(asio::socket_base::shutdown_send, error);
      timer.expires_after(kPause);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (behaviour_.end != End::kFin) {
      http::SetResetOnClose(socket, true);
    }
    socket.close(error);
  }

  /// Reads the head of a request without its body. \return Its id; empty if there is none.
  static asio::awaitable<std::string> ReadHead(http::Tcp::socket& socket, std::string& buffer,
                                               boost::system::error_code& error) {
    const std::size_t size =
        co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, error));
    const std::string_view field = "X-Attempt-Id: ";
    const std::size_t at = error ? std::string::npos : buffer.substr(0, size).find(field);
    if (at == std::string::npos) {
      co_return std::string();
    }
    const std::string rest = buffer.substr(at + field.size(), size);
    buffer.erase(0, size);
    co_return rest.substr(0, rest.find('\r'));
  }

  Behaviour behaviour_;
  http::asio::io_context io_;
  http::Tcp::acceptor acceptor_;
  std::atomic<int> begun_ = 0;
  std::atomic<bool> served_ = false;
  std::jthread thread_;
};

struct Fixture {
  Fixture(const Behaviour& behaviour, const std::string& service) : backend(behaviour) {
    world.SetMemory(1024);
    world.Configure(1, {.max_body_bytes = 2 * kUploadBytes});
    world.Register({.name = "raw-1", .service = service, .address = backend.address()});
    gateway = &world.StartGateway(1);
  }

  EarlyBackend backend;
  PlatformWorld world;
  Process* gateway = nullptr;
};

/// True if the caller can take the response for a complete success.
bool IsCompleteSuccess(const Caller::Response& response) {
  return response.status / 100 == 2 && response.complete;
}

Caller::Response Upload(const std::string& target, std::size_t bytes = kUploadBytes) {
  return Caller(PlatformWorld::CallerAddress(1))
      .Send("POST", target, "e1", kPromptFields, std::string(bytes, 'x'));
}

void CheckRoutes(const Behaviour& behaviour) {
  struct Target {
    const char* service;
    const char* path;
  };
  for (const Target& target : {Target{"desk", "/book/1"}, Target{"desk", "/look/1"},
                               Target{"model", "/chat/1"}, Target{"model", "/plan/1"}}) {
    CAPTURE(std::string(target.path));
    Behaviour own = behaviour;
    if (std::string_view(target.service) == "model") {
      own.type = "text/event-stream";
      own.part = EventOf(1) + EventOf(2);
    }
    for (int i = 0; i < kRepetitions; ++i) {
      const Fixture fixture(own, target.service);
      if (own.kept_alive) {
        REQUIRE(PlatformWorld::Await([&] { return IsCompleteSuccess(Upload(target.path, 0)); }));
      }
      for (int tries = 0; tries < kTries && fixture.backend.begun() == 0; ++tries) {
        CHECK(!IsCompleteSuccess(Upload(target.path)));
      }
      CHECK(fixture.backend.begun() > 0);
      CHECK(!fixture.gateway->HasExited());
    }
  }
}

}  // namespace

TEST_CASE("a reset during the upload ends no response") { CheckRoutes({}); }

TEST_CASE("a reset during the upload right after the response ends no response") {
  CheckRoutes({.pause = milliseconds(0)});
}

TEST_CASE("a reset after the upload ends no response") { CheckRoutes({.after_upload = true}); }

TEST_CASE("a reset during the upload on a kept-alive connection ends no response") {
  CheckRoutes({.kept_alive = true});
}

TEST_CASE("a close while part of the upload is unread ends no response") {
  CheckRoutes({.end = End::kFin});
}

TEST_CASE("a half-close and a reset while part of the upload is unread end no response") {
  CheckRoutes({.end = End::kFinThenReset});
}

TEST_CASE("a reset during the upload while the gateway stops ends no response") {
  for (const char* path : {"/book/1", "/look/1"}) {
    CAPTURE(path);
    const Fixture fixture({.pause = milliseconds(500)}, "desk");
    const std::jthread stop([&] {
      (void)PlatformWorld::Await([&] { return fixture.backend.begun() > 0; });
      fixture.gateway->Signal(SIGTERM);
    });
    for (int tries = 0; tries < kTries && fixture.backend.begun() == 0; ++tries) {
      CHECK(!IsCompleteSuccess(Upload(path)));
    }
    CHECK(fixture.backend.begun() > 0);
  }
}

}  // namespace lagoonwind
