// Gateways whose store comes back from a copy that lacks the last records.
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "caller.h"
#include "platform_world.h"

namespace lagoonwind {
namespace {

using testing::Caller;
using testing::PlatformWorld;
using testing::Registration;

constexpr unsigned kOk = 200;
constexpr const char* kOperatorTopic = "keyed.op";
constexpr const char* kServerTopic = "keyed.servers";
/// Longer than the time within which gateways notice that a backend server is missing.
constexpr std::chrono::seconds kSettlingTime{3};

/// A store and a backend server of each service. The copy of the store has configuration 1.
struct Fixture {
  Fixture() {
    world.Configure(1);
    world.AddServer("m-1", "model");
    world.AddServer("d-1", "desk");
    copy = world.CopyStore();
  }
  /// Status of a response to a request without side effects.
  unsigned StatusOf(const std::string& target, int gateway = 1) {
    return Caller(PlatformWorld::CallerAddress(gateway))
        .Send("GET", target, absl::StrCat("a", ++requests))
        .status;
  }
  bool AwaitStatus(const std::string& target, unsigned status, int gateway = 1) {
    return PlatformWorld::Await([&] { return StatusOf(target, gateway) == status; });
  }
  /// True if all requests until the time has passed get this status.
  bool KeepsStatus(const std::string& target, unsigned status, std::chrono::seconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      if (StatusOf(target) != status) {
        return false;
      }
    }
    return true;
  }
  /// Evacuates zones without backend servers.
  void EvacuateEmptyZones(int count) {
    for (int i = 0; i < count; ++i) {
      world.Put(kOperatorTopic, absl::StrCat("evacuate/empty-", i), "{}");
    }
  }
  /// Writes a configuration with the route /lost/ and waits until it is in force.
  void ConfigureLostRoute() {
    EvacuateEmptyZones(5);
    world.Configure(2, {.added_prefix = "/lost/"});
    REQUIRE(AwaitStatus("/lost/1", kOk));
  }
  /// Opens and registers a backend server of service `desk`.
  Registration AddDesk(const std::string& name) {
    Registration registration{.name = name, .service = "desk", .address = world.OpenServer(name)};
    world.Register(registration);
    return registration;
  }
  /// True if one of the last `count` requests reached the backend server.
  bool WasUsed(const std::string& name, std::ptrdiff_t count) {
    const auto received = world.ReceivedRequests();
    const auto first = received.end() - std::min(count, std::ssize(received));
    return std::any_of(first, received.end(),
                       [&](const auto& request) { return request.server == name; });
  }

  PlatformWorld world;
  PlatformWorld::StoreCopy copy;
  int requests = 0;
};

}  // namespace

TEST_CASE("a configuration that the restored store acknowledges comes into force") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  fixture.ConfigureLostRoute();
  fixture.world.RestoreStore(fixture.copy);
  fixture.world.Configure(3, {.added_prefix = "/new/"});
  CHECK(fixture.AwaitStatus("/new/1", kOk));
}

TEST_CASE("a configuration that the restored store lacks stays in force") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  fixture.ConfigureLostRoute();
  fixture.world.RestoreStore(fixture.copy);
  CHECK(fixture.KeepsStatus("/lost/1", kOk, std::chrono::seconds(1)));
  // The operator writes it again, then another one.
  fixture.world.Configure(2, {.added_prefix = "/lost/"});
  fixture.world.Configure(3, {.added_prefix = "/new/"});
  CHECK(fixture.AwaitStatus("/new/1", kOk));
}

TEST_CASE("records before an offset that the restored store has given out again aren't missed") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  fixture.ConfigureLostRoute();
  fixture.world.SetStoreDown(true);
  fixture.world.RestoreStore(fixture.copy);
  fixture.world.Configure(3, {.added_prefix = "/new/"});
  fixture.EvacuateEmptyZones(8);
  fixture.world.SetStoreDown(false);
  CHECK(fixture.AwaitStatus("/new/1", kOk));
}

TEST_CASE("an evacuation that the restored store acknowledges takes effect") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  fixture.ConfigureLostRoute();
  fixture.world.RestoreStore(fixture.copy);
  fixture.world.Put(kOperatorTopic, "evacuate/z1", "{}");
  CHECK(PlatformWorld::Await([&] { return fixture.StatusOf("/look/1") != kOk; }));
}

TEST_CASE("an evacuation that the restored store lacks lasts until it is taken back") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  fixture.ConfigureLostRoute();
  fixture.world.Put(kOperatorTopic, "evacuate/z1", "{}");
  REQUIRE(PlatformWorld::Await([&] { return fixture.StatusOf("/look/1") != kOk; }));
  const unsigned refused = fixture.StatusOf("/look/1");
  fixture.world.RestoreStore(fixture.copy);
  CHECK(fixture.KeepsStatus("/look/1", refused, std::chrono::seconds(1)));
  fixture.world.Put(kOperatorTopic, "evacuate/z1", "{}");
  fixture.world.Delete(kOperatorTopic, "evacuate/z1");
  CHECK(fixture.AwaitStatus("/look/1", kOk));
}

TEST_CASE("a gateway that starts after the restore gets what the store lacks from its peers") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  fixture.ConfigureLostRoute();
  fixture.world.RestoreStore(fixture.copy);
  fixture.world.StartGateway(2);
  CHECK(fixture.AwaitStatus("/lost/1", kOk, 2));
  fixture.world.Put(kOperatorTopic, "evacuate/z1", "{}");
  CHECK(PlatformWorld::Await([&] { return fixture.StatusOf("/look/1", 2) != kOk; }));
}

TEST_CASE("a gateway that starts after the restore learns of evacuations that the store lacks") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  fixture.world.Put(kOperatorTopic, "evacuate/z1", "{}");
  REQUIRE(PlatformWorld::Await([&] { return fixture.StatusOf("/look/1") != kOk; }));
  fixture.world.RestoreStore(fixture.copy);
  fixture.world.StartGateway(2);
  CHECK(PlatformWorld::Await([&] { return fixture.StatusOf("/look/1", 2) != kOk; }));
}

TEST_CASE("a gateway that is cut off follows the restored store through its peers") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  fixture.world.SetStoreAddress("127.0.0.1:1");
  fixture.world.StartGateway(2);
  fixture.ConfigureLostRoute();
  REQUIRE(fixture.AwaitStatus("/lost/1", kOk, 2));
  fixture.world.RestoreStore(fixture.copy);
  fixture.world.Configure(3, {.added_prefix = "/new/"});
  CHECK(fixture.AwaitStatus("/new/1", kOk, 2));
}

TEST_CASE("a backend server that has left isn't used again because the store was restored") {
  Fixture fixture;
  Registration leaving = fixture.AddDesk("d-2");
  fixture.copy = fixture.world.CopyStore();
  fixture.world.StartGateway(1);
  REQUIRE(PlatformWorld::Await([&] {
    (void)fixture.StatusOf("/look/1");
    return fixture.WasUsed("d-2", 1);
  }));
  ++leaving.sequence;
  leaving.state = "draining";
  fixture.world.Register(leaving);
  fixture.world.Delete(kServerTopic, "d-2");
  REQUIRE(fixture.KeepsStatus("/look/1", kOk, kSettlingTime));
  fixture.world.RestoreStore(fixture.copy);
  const int before = fixture.requests;
  CHECK(fixture.KeepsStatus("/look/1", kOk, kSettlingTime));
  CHECK(!fixture.WasUsed("d-2", fixture.requests - before));
}

TEST_CASE("a backend server that registers after the restore is used") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  for (int i = 0; i < 5; ++i) {
    Registration registration = fixture.AddDesk(absl::StrCat("x-", i));
    fixture.world.Delete(kServerTopic, registration.name);
  }
  (void)fixture.AddDesk("d-2");
  REQUIRE(PlatformWorld::Await([&] {
    (void)fixture.StatusOf("/look/1");
    return fixture.WasUsed("d-2", 1);
  }));
  fixture.world.RestoreStore(fixture.copy);
  (void)fixture.AddDesk("d-3");
  CHECK(PlatformWorld::Await([&] {
    (void)fixture.StatusOf("/look/1");
    return fixture.WasUsed("d-3", 1);
  }));
}

TEST_CASE("a backend server that the restored store lacks is used until it registers again") {
  Fixture fixture;
  fixture.world.Delete(kServerTopic, "d-1");
  fixture.copy = fixture.world.CopyStore();
  Registration registration = fixture.AddDesk("d-2");
  fixture.world.StartGateway(1);
  REQUIRE(fixture.AwaitStatus("/look/1", kOk));
  fixture.world.RestoreStore(fixture.copy);
  CHECK(fixture.KeepsStatus("/look/1", kOk, std::chrono::seconds(1)));
  ++registration.sequence;
  fixture.world.Register(registration);
  CHECK(fixture.KeepsStatus("/look/1", kOk, kSettlingTime));
}

TEST_CASE("a gateway registers again if the restored store lacks its registration") {
  Fixture fixture;
  fixture.world.StartGateway(1);
  const auto is_registered = [&] {
    return std::ranges::any_of(fixture.world.CopyStore(), [](const auto& record) {
      return record.topic == "keyed.status" &&
             PlatformWorld::PeerAddress(1).starts_with(record.key);
    });
  };
  REQUIRE(PlatformWorld::Await(is_registered));
  fixture.world.RestoreStore(fixture.copy);
  CHECK(PlatformWorld::Await(is_registered));
}

TEST_CASE("a store that doesn't state its generation is followed after it went back") {
  Fixture fixture;
  fixture.world.HideStoreEra();
  fixture.world.StartGateway(1);
  fixture.ConfigureLostRoute();
  fixture.world.RestoreStore(fixture.copy);
  CHECK(fixture.KeepsStatus("/lost/1", kOk, std::chrono::seconds(1)));
  fixture.world.Configure(3, {.added_prefix = "/new/"});
  CHECK(fixture.AwaitStatus("/new/1", kOk));
}

}  // namespace lagoonwind
