#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "caller.h"
#include "platform_world.h"

namespace lagoonwind {
namespace {

using std::chrono::milliseconds;
using testing::Caller;
using testing::kApiKeyField;
using testing::kPromptFields;
using testing::PlatformWorld;
using testing::ServerMode;

/// Time from SIGTERM until a gateway stops.
constexpr milliseconds kStopTime{3500};

/// A store, engines, a plain backend server, and one gateway.
struct DrainFixture {
  explicit DrainFixture(const testing::ConfigurationOptions& options = {}) {
    world.Configure(1, options);
    for (const char* name : {"m-1", "m-2", "m-3", "m-4", "m-5", "m-6"}) {
      world.AddServer(name, "model");
    }
    world.AddServer("d-1", "desk");
    gateway = &world.StartGateway(1);
  }

  /// Sends SIGTERM and waits until the gateway closes idle connections, which it does once the load
  /// balancer is expected to have noticed the drain.
  void StopUntilBalancerHasNoticed() const {
    Caller idle(PlatformWorld::CallerAddress(1));
    gateway->Signal(SIGTERM);
    REQUIRE(PlatformWorld::Await([&] { return idle.IsClosed(); }));
  }

  PlatformWorld world;
  testing::Process* gateway = nullptr;
};

void PauseFor(milliseconds time) {
  http::asio::io_context io;
  http::asio::steady_timer(io, time).wait();
}

/// Sends a request for a stream. \return All bytes until the gateway closes the connection.
std::string SendAndReadAll(int number) {
  http::asio::io_context io;
  http::Tcp::socket socket(io);
  socket.connect(*http::ParseEndpoint(PlatformWorld::CallerAddress(1)));
  const std::string request = "POST /chat/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: s" +
                              std::to_string(number) +
                              "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer key1\r\n"
                              "X-Token-Usage: 300,20\r\nX-Prompt-Prefix: a" +
                              std::to_string(number) + ":200,bb:100\r\nContent-Length: 0\r\n\r\n";
  http::asio::write(socket, http::asio::buffer(request));
  std::string bytes;
  boost::system::error_code error;
  http::asio::read(socket, http::asio::dynamic_buffer(bytes), error);
  return bytes;
}

}  // namespace

TEST_CASE("no stream that a draining gateway takes late is cut when the gateway stops") {
  DrainFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("POST", "/plan/1", "a1", kPromptFields, "body").status == 200);
  // Far more than the gateway expects from the last response.
  fixture.world.SetProcessingTime(milliseconds(500));
  fixture.StopUntilBalancerHasNoticed();
  Caller late(PlatformWorld::CallerAddress(1));
  const auto response = late.Send("POST", "/plan/1", "a2", kPromptFields, "body");
  CHECK(response.complete);
  CHECK(response.status == 503);
  CHECK(!http::FindField(response.fields, "Retry-After").empty());
  CHECK(http::FindField(response.fields, "Connection") == "close");
  CHECK(fixture.gateway->Wait() == 0);
  for (const auto& received : fixture.world.ReceivedRequests()) {
    CHECK(http::FindField(received.request.fields, "X-Attempt-Id") != "a2");
  }
}

TEST_CASE("a draining gateway serves requests whose deadline passes before it stops") {
  DrainFixture fixture;
  fixture.StopUntilBalancerHasNoticed();
  Caller late(PlatformWorld::CallerAddress(1));
  const std::string request =
      "GET /look/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: b1\r\nX-Deadline-Ms: 200\r\n\r\n";
  CHECK(late.SendRaw(request).status == 200);
  CHECK(fixture.gateway->Wait() == 0);
}

TEST_CASE("requests without a response are answered before the gateway stops") {
  DrainFixture fixture({.route_timeout = milliseconds(20000)});
  for (const char* name : {"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "d-1"}) {
    fixture.world.SetMode(name, ServerMode::kHang);
  }
  const auto send = [](const std::string& target, const std::string& id) {
    return std::async(std::launch::async, [target, id] {
      Caller caller(PlatformWorld::CallerAddress(1));
      return caller.SendRaw("POST " + target + " HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: " + id +
                            "\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer key1\r\n"
                            "X-Token-Usage: 300,20\r\nX-Prompt-Prefix: aa:200,bb:100\r\n"
                            "Content-Length: 4\r\n\r\nbody");
    });
  };
  // Their deadlines pass after the stop.
  auto stream = send("/chat/1", "c1");
  auto booking = send("/book/1", "c2");
  REQUIRE(PlatformWorld::Await([&] { return fixture.world.ReceivedRequests().size() == 2; }));
  fixture.gateway->Signal(SIGTERM);
  for (auto* pending : {&stream, &booking}) {
    const auto response = pending->get();
    CHECK(response.complete);
    // They may have run.
    CHECK(response.status == 502);
  }
  CHECK(fixture.gateway->Wait() == 0);
}

TEST_CASE("a request that was not executed is not sent again late in a drain") {
  DrainFixture fixture;
  fixture.world.AddServer("d-2", "desk");
  fixture.world.SetMode("d-1", ServerMode::kNotRun);
  fixture.world.SetMode("d-2", ServerMode::kNotRun);
  // Longer than the load balancer needs to notice the drain.
  fixture.world.SetProcessingTime(milliseconds(2600));
  auto booking = std::async(std::launch::async, [] {
    Caller caller(PlatformWorld::CallerAddress(1));
    return caller.Send("POST", "/book/1", "d1", {kApiKeyField}, "body");
  });
  REQUIRE(PlatformWorld::Await([&] { return fixture.world.ReceivedRequests().size() == 1; }));
  fixture.gateway->Signal(SIGTERM);
  const auto response = booking.get();
  CHECK(response.complete);
  CHECK(response.status == 503);
  CHECK(fixture.world.ReceivedRequests().size() == 1);
  CHECK(fixture.gateway->Wait() == 0);
}

TEST_CASE("requests without a response are answered although the gateway was held up meanwhile") {
  DrainFixture fixture;
  fixture.world.SetMode("d-1", ServerMode::kHang);
  auto booking = std::async(std::launch::async, [] {
    Caller caller(PlatformWorld::CallerAddress(1));
    return caller.Send("POST", "/book/1", "e1", {kApiKeyField}, "body");
  });
  REQUIRE(PlatformWorld::Await([&] { return fixture.world.ReceivedRequests().size() == 1; }));
  fixture.StopUntilBalancerHasNoticed();
  fixture.gateway->Signal(SIGSTOP);
  PauseFor(milliseconds(1050));
  fixture.gateway->Signal(SIGCONT);
  const auto response = booking.get();
  CHECK(response.complete);
  CHECK(response.status == 502);
  CHECK(fixture.gateway->Wait() == 0);
}

TEST_CASE("a gateway that is suspended when it is told to stop keeps to its grace period") {
  DrainFixture fixture;
  constexpr milliseconds kSuspension{1200};
  fixture.gateway->Signal(SIGSTOP);
  fixture.gateway->Signal(SIGTERM);
  PauseFor(kSuspension);
  fixture.gateway->Signal(SIGCONT);
  CHECK(fixture.gateway->Wait() == 0);
  std::ifstream log(fixture.world.LogPath(1));
  for (std::string line; std::getline(log, line);) {
    const auto event = nlohmann::json::parse(line);
    if (event.value("event", "") == "draining") {
      CHECK(event["stop_in_ms"] <= (kStopTime - kSuspension).count());
      return;
    }
  }
  FAIL("the log has no event `draining`");
}

TEST_CASE("a stream that begins as the gateway stops gets no second response") {
  DrainFixture fixture;
  // The first events arrive while the gateway is suspended, together with its answer deadline.
  fixture.world.SetProcessingTime(milliseconds(2700));
  constexpr int kStreams = 30;
  constexpr int kMinRunning = 10;
  std::vector<std::future<std::string>> streams;
  streams.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [i] { return SendAndReadAll(i); }));
  }
  REQUIRE(
      PlatformWorld::Await([&] { return fixture.world.ReceivedRequests().size() >= kMinRunning; }));
  fixture.StopUntilBalancerHasNoticed();
  fixture.gateway->Signal(SIGSTOP);
  PauseFor(milliseconds(650));
  fixture.gateway->Signal(SIGCONT);
  for (auto& stream : streams) {
    const std::string bytes = stream.get();
    CHECK(bytes.starts_with("HTTP/1.1 "));
    CHECK(bytes.find("HTTP/1.1 ", 1) == std::string::npos);
  }
  CHECK(fixture.gateway->Wait() == 0);
}

}  // namespace lagoonwind
