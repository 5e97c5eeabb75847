// Guards against roll-outs that expose callers to a version on trial, lose requests, or change what
// is served where no roll-out was ordered.
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "caller.h"
#include "platform_world.h"

namespace lagoonwind {
namespace {

using nlohmann::json;
using testing::Caller;
using testing::PlatformWorld;

constexpr const char* kOrderKey = "op/rollout/desk";
constexpr const char* kOrder = R"({"backend": "desk", "target": "v2", "over_s": 20})";

void AddServer(PlatformWorld& world, const std::string& name, const std::string& version) {
  world.Register(
      {.name = name, .service = "desk", .address = world.OpenServer(name), .version = version});
}

unsigned Look(int gateway, const std::string& id) {
  return Caller(PlatformWorld::CallerAddress(gateway)).Send("GET", "/look/1", id).status;
}

/// Field of the status record of the service `desk`; empty without one.
std::string StatusField(const PlatformWorld& world, const char* field) {
  std::string value;
  for (const auto& record : world.CopyStore()) {
    if (record.topic == "keyed.status" && record.key == "status/rollout/desk") {
      value = json::parse(record.value).value(field, "");
    }
  }
  return value;
}

std::ptrdiff_t StatusRecords(const PlatformWorld& world) {
  return std::ranges::count_if(world.CopyStore(), [](const auto& record) {
    return record.topic == "keyed.status" && record.key == "status/rollout/desk";
  });
}

std::ptrdiff_t RequestsAt(const PlatformWorld& world, const std::string& server) {
  return std::ranges::count_if(world.ReceivedRequests(),
                               [&](const auto& received) { return received.server == server; });
}

/// Sends requests to two gateways until the status has this state or the order's deadline has
/// passed. Each must succeed. \return Their number.
int SendUntil(const PlatformWorld& world, const std::string& state) {
  int sent = 0;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(25);
  while (StatusField(world, "state") != state && std::chrono::steady_clock::now() < end) {
    CHECK(Look(1 + sent % 2, absl::StrCat("s", sent)) == 200);
    ++sent;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return sent;
}

}  // namespace

TEST_CASE("an order is confirmed as serving, once, and new servers receive no requests at first") {
  PlatformWorld world;
  world.EnableRollouts();
  world.Configure(1);
  AddServer(world, "old", "v1");
  world.StartGateway(1);
  world.StartGateway(2);
  world.Put("keyed.op", kOrderKey, kOrder);
  REQUIRE(PlatformWorld::Await([&] { return StatusField(world, "state") == "serving"; }));
  CHECK(StatusField(world, "target") == "v2");
  AddServer(world, "new", "v2");
  for (int i = 0; i < 40; ++i) {
    CHECK(Look(1 + i % 2, absl::StrCat("a", i)) == 200);
  }
  CHECK(RequestsAt(world, "new") <= 54);
  CHECK(RequestsAt(world, "old") + RequestsAt(world, "new") == 40);
  CHECK(StatusRecords(world) == 1);
}

TEST_CASE("a good version receives all requests, and complete is written once") {
  PlatformWorld world;
  world.EnableRollouts();
  world.Configure(1);
  AddServer(world, "old", "v1");
  world.StartGateway(1);
  world.StartGateway(2);
  AddServer(world, "new", "v2");
  world.Put("keyed.op", kOrderKey, kOrder);
  const int sent = SendUntil(world, "complete");
  REQUIRE(StatusField(world, "state") == "complete");
  CHECK(StatusRecords(world) == 2);
  world.SetMode("old", testing::ServerMode::kHang);
  for (int i = 0; i < 20; ++i) {
    CHECK(Look(1 + i % 2, absl::StrCat("after", i)) == 200);
  }
  CHECK(RequestsAt(world, "old") + RequestsAt(world, "new") == sent + 20);
}

TEST_CASE("a version whose responses all fail is reverted, and few requests reach it") {
  PlatformWorld world;
  world.EnableRollouts();
  world.Configure(1);
  AddServer(world, "old", "v1");
  world.StartGateway(1);
  world.StartGateway(2);
  AddServer(world, "new", "v2");
  world.SetMode("new", testing::ServerMode::kFail);
  world.Put("keyed.op", kOrderKey, kOrder);
  const int sent = SendUntil(world, "reverted");
  REQUIRE(StatusField(world, "state") == "reverted");
  CHECK(static_cast<double>(RequestsAt(world, "new")) <= 0.1 * sent + 50);
  const auto exposed = RequestsAt(world, "new");
  for (int i = 0; i < 20; ++i) {
    CHECK(Look(1 + i % 2, absl::StrCat("after", i)) == 200);
  }
  CHECK(RequestsAt(world, "new") == exposed);
}

TEST_CASE("without roll-outs in the settings an order changes nothing") {
  PlatformWorld world;
  world.Configure(1);
  AddServer(world, "new", "v2");
  AddServer(world, "old", "v1");
  world.Put("keyed.op", kOrderKey, kOrder);
  world.StartGateway(1);
  for (int i = 0; i < 40; ++i) {
    CHECK(Look(1, absl::StrCat("a", i)) == 200);
  }
  CHECK(RequestsAt(world, "new") > 0);
  CHECK(RequestsAt(world, "old") > 0);
  CHECK(StatusRecords(world) == 0);
}

}  // namespace lagoonwind
