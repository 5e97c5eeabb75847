// A response with neither a length nor chunks ends with its connection, whether the backend server
// has sent all of it or not. The gateway must not tell its caller more than that.
#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "caller.h"
#include "platform_world.h"
#include "raw_backend.h"
#include "scripted_fixture.h"

namespace lagoonwind {
namespace {

namespace asio = http::asio;
using std::chrono::milliseconds;
using testing::Caller;
using testing::ChunkOf;
using testing::EventOf;
using testing::kApiKeyField;
using testing::kPromptFields;
using testing::PlatformWorld;
using testing::RawConnection;
using testing::ResponseHeadOf;
using testing::ScriptedFixture;

constexpr const char* kUnframed = "Content-Type: text/event-stream\r\nConnection: close";
constexpr const char* kChunked = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
constexpr const char* kLastChunk = "0\r\n\r\n";

/// The script that the backend server follows at each attempt of a request, in their order.
class Attempts {
 public:
  using Script = std::function<asio::awaitable<void>(RawConnection&, const std::string& id)>;
  explicit Attempts(std::vector<Script> scripts) : scripts_(std::move(scripts)) {}

  asio::awaitable<void> operator()(RawConnection& connection, std::string id) {
    const auto attempt = static_cast<std::size_t>((*count_)++);
    if (attempt < scripts_.size()) {
      co_await scripts_[attempt](connection, id);
    }
  }

 private:
  std::vector<Script> scripts_;
  std::shared_ptr<std::atomic<int>> count_ = std::make_shared<std::atomic<int>>(0);
};

/// Sends `text` after a head with the given framing, and closes the connection in order.
Attempts::Script Sends(std::string framing, std::string text) {
  return [framing = std::move(framing), text = std::move(text)](
             RawConnection& connection, const std::string& id) -> asio::awaitable<void> {
    std::string response = ResponseHeadOf(id, framing) + text;
    (void)co_await connection.Write(std::move(response));
  };
}

Caller::Response Stream(const std::string& target, const std::string& id) {
  return Caller(PlatformWorld::CallerAddress(1)).Send("POST", target, id, kPromptFields, "body");
}

}  // namespace

TEST_CASE("a stream without framing that ends after a whole event isn't framed as complete") {
  ScriptedFixture fixture("model", Attempts({Sends(kUnframed, EventOf(1) + EventOf(2)),
                                             Sends(kUnframed, EventOf(1) + EventOf(2))}));
  for (const char* target : {"/plan/1", "/chat/1"}) {
    CAPTURE(target);
    const auto response = Stream(target, "a1");
    CHECK(response.status == 200);
    CHECK(response.body == EventOf(1) + EventOf(2));
    CHECK_FALSE(response.framed);
  }
}

TEST_CASE("a plain response without framing gets no length from the gateway") {
  const auto responds = [](std::string status) -> Attempts::Script {
    return [status = std::move(status)](RawConnection& connection,
                                        const std::string& id) -> asio::awaitable<void> {
      std::string response = ResponseHeadOf(id, "Connection: close") + "half of an answer";
      response.replace(response.find("200 OK"), 6, status);
      (void)co_await connection.Write(std::move(response));
    };
  };
  ScriptedFixture fixture(
      "desk", Attempts({responds("200 OK"), responds("200 OK"), responds("500 Error")}));
  struct Expectation {
    std::string target;
    unsigned status = 0;
  };
  for (const Expectation& expected :
       {Expectation{"/look/1", 200}, Expectation{"/book/1", 200}, Expectation{"/book/1", 500}}) {
    CAPTURE(expected.target);
    const auto response = Caller(PlatformWorld::CallerAddress(1))
                              .Send("POST", expected.target, "b1", {kApiKeyField}, "body");
    CHECK(response.status == expected.status);
    CHECK(response.body == "half of an answer");
    CHECK_FALSE(response.framed);
  }
}

TEST_CASE("a response without framing that is reset is broken off for its caller") {
  const auto resets = [](RawConnection& connection,
                         const std::string& id) -> asio::awaitable<void> {
    std::string response = ResponseHeadOf(id, kUnframed) + EventOf(1);
    (void)co_await connection.Write(std::move(response));
    co_await connection.Wait(milliseconds(50));
    connection.Reset();
  };
  ScriptedFixture fixture("model", Attempts({resets, resets}));
  for (const char* target : {"/plan/1", "/chat/1"}) {
    CAPTURE(target);
    CHECK_FALSE(Stream(target, "c1").complete);
  }
}

TEST_CASE("a chunked stream that resumes without framing is not ended by the gateway") {
  ScriptedFixture fixture("model",
                          Attempts({Sends(kChunked, ChunkOf(EventOf(1))),
                                    Sends(kUnframed, EventOf(2)), Sends(kUnframed, EventOf(3))}),
                          3);
  const auto response = Stream("/plan/1", "d1");
  CHECK(response.status == 200);
  CHECK(response.body == EventOf(1) + EventOf(2) + EventOf(3));
  CHECK_FALSE(response.complete);
}

TEST_CASE("a chunked stream that resumed without framing ends where a last chunk ends it") {
  ScriptedFixture fixture("model",
                          Attempts({Sends(kChunked, ChunkOf(EventOf(1))),
                                    Sends(kUnframed, EventOf(2)), Sends(kChunked, kLastChunk)}),
                          3);
  const auto response = Stream("/plan/1", "e1");
  CHECK(response.body == EventOf(1) + EventOf(2));
  CHECK(response.framed);
  CHECK(response.complete);
}

TEST_CASE("a resumed stream is not complete if its connection ends before an event") {
  const std::vector<http::Field> resumed_fields = [] {
    auto fields = kPromptFields;
    fields.push_back({.name = "Last-Event-Id", .value = "1"});
    return fields;
  }();
  ScriptedFixture fixture("model", Attempts({Sends(kUnframed, "")}));
  const auto response =
      Caller(PlatformWorld::CallerAddress(1)).Send("POST", "/plan/1", "f1", resumed_fields, "body");
  CHECK_FALSE((response.status == 200 && response.complete));
}

TEST_CASE("a framed stream that ends inside an event is broken off, or resumed elsewhere") {
  const std::string half_event = EventOf(1) + "id: 2\ndata: ev";
  const std::string framing = "Content-Length: " + std::to_string(half_event.size());
  ScriptedFixture fixture(
      "model",
      Attempts({Sends(kChunked, ChunkOf(half_event) + kLastChunk), Sends(framing, half_event),
                Sends(framing, half_event), Sends(kChunked, ChunkOf(EventOf(2)) + kLastChunk)}),
      2);
  CHECK_FALSE(Stream("/chat/1", "g1").complete);
  CHECK_FALSE(Stream("/chat/1", "g2").complete);
  const auto resumed = Stream("/plan/1", "g3");
  CHECK(resumed.complete);
  CHECK(resumed.body == EventOf(1) + EventOf(2));
}

TEST_CASE("a response without framing is broken off if other connections to its engine break") {
  RawConnection* other = nullptr;
  ScriptedFixture fixture(
      "model", [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        const bool unframed = id == "j1";
        std::string response = ResponseHeadOf(id, unframed ? kUnframed : kChunked);
        response.append(unframed ? EventOf(1) + EventOf(2) : ChunkOf(EventOf(1)));
        (void)co_await connection.Write(std::move(response));
        if (!unframed) {
          other = &connection;
          (void)co_await connection.ReadRequest();
          co_return;
        }
        while (other == nullptr) {
          co_await connection.Wait(milliseconds(1));
        }
        co_await connection.Wait(milliseconds(20));
        other->Reset();
      });
  Caller::Response unframed;
  std::jthread first([&] { unframed = Stream("/chat/1", "j1"); });
  CHECK_FALSE(Stream("/chat/1", "j2").complete);
  first.join();
  CHECK_FALSE(unframed.complete);
}

TEST_CASE("the end of the gateway does not look like the end of a response without framing") {
  ScriptedFixture fixture("model",
                          [](RawConnection& connection, std::string id) -> asio::awaitable<void> {
                            std::string response = ResponseHeadOf(id, kUnframed) + EventOf(1);
                            (void)co_await connection.Write(std::move(response));
                            (void)co_await connection.ReadRequest();
                          });
  asio::io_context io;
  http::Tcp::socket socket(io);
  socket.connect(*http::ParseEndpoint(PlatformWorld::CallerAddress(1)));
  const std::string request = testing::RequestOf("POST", "/chat/1", "h1", kPromptFields, "body");
  asio::write(socket, asio::buffer(request));
  std::string received;
  asio::read_until(socket, asio::dynamic_buffer(received), EventOf(1));
  SUBCASE("when it is killed") { fixture.gateway->Kill(); }
  SUBCASE("when it stops in order while the response goes on") { fixture.gateway->Signal(SIGTERM); }
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(received), error);
  CHECK(error == asio::error::connection_reset);
}

TEST_CASE("logs and metrics tell responses without framing from complete ones") {
  ScriptedFixture fixture("model", Attempts({Sends(kUnframed, EventOf(1) + EventOf(2))}));
  CHECK(Stream("/chat/1", "i1").status == 200);
  CHECK(PlatformWorld::Await([&] { return fixture.LogContains("request_done"); }));
  CHECK(fixture.LogContains(R"("outcome":"answered_unframed")"));
  CHECK_FALSE(fixture.LogContains(R"("outcome":"answered",)"));
  const std::string metrics =
      Caller(PlatformWorld::MetricsAddress(1)).Send("GET", "/metrics", "i2").body;
  CHECK(metrics.find(R"(outcome="answered_unframed")") != std::string::npos);
  CHECK(metrics.find(R"(outcome="answered")") == std::string::npos);
}

}  // namespace lagoonwind
