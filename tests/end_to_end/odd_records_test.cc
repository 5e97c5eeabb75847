#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "caller.h"
#include "platform_world.h"

namespace lagoonwind {
namespace {

using nlohmann::json;
using testing::Caller;
using testing::PlatformWorld;

std::string Deep() {
  constexpr std::size_t kLevels = 120'000;
  return std::string(kLevels, '[') + std::string(kLevels, ']');
}

unsigned Look(int gateway, const std::string& id) {
  return Caller(PlatformWorld::CallerAddress(gateway)).Send("GET", "/look/1", id).status;
}

/// Name of the server that answers, or nothing.
std::string Answerer(PlatformWorld& world, int gateway, const std::string& id) {
  return Look(gateway, id) == 200 ? world.ReceivedRequests().back().server : std::string();
}

}  // namespace

TEST_CASE("a configuration that nests deeply does not end gateways") {
  PlatformWorld world;
  world.Configure(1);
  world.AddServer("d-1", "desk");
  testing::Process& gateway = world.StartGateway(1);
  for (const char* field : {"limits", "routes", "services", "tenants"}) {
    json configuration{{"version", 2}, {"routes", json::array()}, {"services", json::array()}};
    configuration[field] = "deep";
    std::string value = configuration.dump();
    value.replace(value.find(R"("deep")"), 6, R"({"a": )" + Deep() + "}");
    world.Put("keyed.op", "config", value);
  }
  // Shows that the records above have been read.
  world.AddServer("d-2", "desk");
  CHECK(PlatformWorld::Await([&] { return Answerer(world, 1, "a") == "d-2"; }));
  CHECK(Look(1, "b") == 200);
  CHECK(!gateway.HasExited());
  world.StartGateway(2, false);
  CHECK(PlatformWorld::Await([&] { return Look(1, "c") == 200; }));
}

}  // namespace lagoonwind
