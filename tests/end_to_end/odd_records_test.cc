#include <doctest/doctest.h>

#include <array>
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

/// Records that name no server to use.
std::array<std::string, 9> OddServers() {
  constexpr const char* kStart = R"({"backend": "desk", "zone": "z1", "state": "ready", )";
  constexpr const char* kRest = R"("cold_left_ms": 0, "addr": "127.0.0.1:9", )";
  return {Deep(),
          kStart + std::string(R"("unknown": )") + Deep() + "}",
          kStart + std::string(kRest) + R"("slots": 1e300, "seq": 1, "born": 1})",
          kStart + std::string(kRest) + R"("slots": 8, "seq": 1e300, "born": 1})",
          kStart + std::string(kRest) + R"("slots": 8, "seq": 9, "born": 9007199254740993})",
          kStart + std::string(R"("cold_left_ms": 1e300, "addr": "127.0.0.1:9", "slots": 8, )") +
              R"("seq": 1, "born": 1})",
          kStart + std::string(R"("addr": "127.0.0.1:70000", "slots": 8, "seq": 1, "born": 1, )") +
              R"("cold_left_ms": 0})",
          kStart + std::string(R"("addr": "127.0.0.1:0", "slots": 8, "seq": 1, "born": 1, )") +
              R"("cold_left_ms": 0})",
          std::string("\xff\xfe\0{", 4)};
}

void PutOddRecords(PlatformWorld& world) {
  int number = 0;
  for (const std::string& value : OddServers()) {
    world.Put("keyed.servers", "odd-" + std::to_string(number++), value);
  }
  world.Put("keyed.servers", "odd\r\n\x01", "{}");
  world.Put("keyed.servers", "", OddServers()[2]);
  world.Put("keyed.op", "odd", Deep());
  world.Put("keyed.op", "evacuate/", Deep());
  world.Put("keyed.quarantine", "00000000000000aa", Deep());
  world.Put("keyed.quarantine", "odd", R"({"last_crash_unix_ms": 1e300})");
  world.Put("keyed.quarantine", "00000000000000ab",
            R"({"last_crash_unix_ms": 18446744073709551615, "trials": 18446744073709551615})");
  world.Put("keyed.status", "odd", Deep());
  world.Put("keyed.status", std::string("127.0.0.1\0", 10), "");
}

unsigned Look(int gateway, const std::string& id) {
  return Caller(PlatformWorld::CallerAddress(gateway)).Send("GET", "/look/1", id).status;
}

/// Name of the server that answers, or nothing.
std::string Answerer(PlatformWorld& world, int gateway, const std::string& id) {
  return Look(gateway, id) == 200 ? world.ReceivedRequests().back().server : std::string();
}

}  // namespace

TEST_CASE("odd records neither end a gateway nor hide the records after them") {
  PlatformWorld world;
  world.Configure(1);
  world.AddServer("d-1", "desk");
  testing::Process& gateway = world.StartGateway(1);
  PutOddRecords(world);
  for (int i = 0; i < 20; ++i) {
    CHECK(Look(1, "a" + std::to_string(i)) == 200);
  }
  const std::string address = world.OpenServer("d-2");
  world.Delete("keyed.servers", "d-1");
  world.Register({.name = "d-2", .service = "desk", .address = address});
  CHECK(PlatformWorld::Await([&] { return Answerer(world, 1, "b") == "d-2"; }));
  CHECK(!gateway.HasExited());
}

TEST_CASE("a gateway that starts beside odd records becomes ready and serves") {
  PlatformWorld world;
  PutOddRecords(world);
  world.Configure(1);
  world.AddServer("d-1", "desk");
  testing::Process& gateway = world.StartGateway(1);
  CHECK(PlatformWorld::Readiness(1) == 200);
  for (int i = 0; i < 20; ++i) {
    CHECK(Look(1, "a" + std::to_string(i)) == 200);
  }
  for (const auto& received : world.ReceivedRequests()) {
    CHECK(received.server == "d-1");
  }
  CHECK(!gateway.HasExited());
}

TEST_CASE("an odd record in place of a good one does not end the server's use") {
  PlatformWorld world;
  world.Configure(1);
  world.AddServer("d-1", "desk");
  testing::Process& gateway = world.StartGateway(1);
  for (const std::string& value : OddServers()) {
    world.Put("keyed.servers", "d-1", value);
  }
  // Shows that the records above have been read.
  world.AddServer("d-2", "desk");
  CHECK(PlatformWorld::Await([&] { return Answerer(world, 1, "a") == "d-2"; }));
  CHECK(PlatformWorld::Await([&] { return Answerer(world, 1, "b") == "d-1"; }));
  world.Delete("keyed.servers", "d-1");
  world.Delete("keyed.servers", "d-2");
  CHECK(PlatformWorld::Await([&] { return Look(1, "c") == 503; }));
  CHECK(!gateway.HasExited());
}

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

TEST_CASE("a gateway that is cut off from the store copies sound records from beside odd ones") {
  PlatformWorld world;
  world.Configure(1);
  world.AddServer("d-1", "desk");
  world.StartGateway(1);
  const std::string store = world.store_address();
  PutOddRecords(world);
  const std::string address = world.OpenServer("d-2");
  world.Delete("keyed.servers", "d-1");
  world.Register({.name = "d-2", .service = "desk", .address = address});
  CHECK(PlatformWorld::Await([&] { return Answerer(world, 1, "a") == "d-2"; }));
  world.SetStoreAddress("127.0.0.1:9");
  testing::Process& cut_off = world.StartGateway(2);
  CHECK(PlatformWorld::Readiness(2) == 200);
  CHECK(Answerer(world, 2, "b") == "d-2");
  CHECK(!cut_off.HasExited());
}

}  // namespace lagoonwind
