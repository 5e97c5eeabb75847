// Connections of callers that wait for a request, against a gateway process.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "caller.h"
#include "platform_world.h"

namespace lagoonwind {
namespace {

using std::chrono::milliseconds;
using testing::Caller;
using testing::PlatformWorld;

constexpr milliseconds kIdleTimeout{1500};
/// Longer than kIdleTimeout.
constexpr milliseconds kPause{2200};

/// Sends a request and reports whether it was answered.
bool IsServed(Caller& caller, const std::string& id) {
  return caller.Send("GET", "/look/1", id).status == 200;
}

/// Version in force at the gateway, by its metrics.
bool IsInForce(int version) {
  const std::string received =
      testing::ReceiveAll(PlatformWorld::MetricsAddress(1),
                          "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
  return received.find("configuration_version " + std::to_string(version)) != std::string::npos;
}

}  // namespace

TEST_CASE("a new configuration that raises the idle limit holds for connections that are idle") {
  PlatformWorld world;
  world.Configure(1, {.idle_timeout = kIdleTimeout});
  world.AddServer("d-1", "desk");
  world.StartGateway(1);
  Caller caller(PlatformWorld::CallerAddress(1));
  REQUIRE(IsServed(caller, "a1"));
  world.Configure(2, {.idle_timeout = 10 * kIdleTimeout});
  REQUIRE(PlatformWorld::Await([] { return IsInForce(2); }));
  std::this_thread::sleep_for(kPause);
  CHECK(!caller.IsClosed());
  CHECK(IsServed(caller, "a2"));
}

TEST_CASE("a connection that stays idle is closed") {
  PlatformWorld world;
  world.Configure(1, {.idle_timeout = kIdleTimeout});
  world.AddServer("d-1", "desk");
  world.StartGateway(1);
  Caller caller(PlatformWorld::CallerAddress(1));
  REQUIRE(IsServed(caller, "b1"));
  CHECK(PlatformWorld::Await([&] { return caller.IsClosed(); }));
}

TEST_CASE(
    "a request that arrived while its gateway was suspended beyond its idle limit is answered") {
  PlatformWorld world;
  world.Configure(1, {.idle_timeout = kIdleTimeout});
  world.AddServer("d-1", "desk");
  testing::Process& gateway = world.StartGateway(1);
  Caller caller(PlatformWorld::CallerAddress(1));
  REQUIRE(IsServed(caller, "c1"));
  gateway.Signal(SIGSTOP);
  Caller::Response response;
  std::jthread request([&] { response = caller.Send("GET", "/look/1", "c2"); });
  std::this_thread::sleep_for(kPause);
  gateway.Signal(SIGCONT);
  request.join();
  // Possibly refused, as the event loop has been late.
  CHECK(response.complete);
  CHECK((response.status == 200 || response.status == 503));
}

}  // namespace lagoonwind
