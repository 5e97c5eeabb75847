// Which records of backend servers are evidence that a server has just started or recovered.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fleet_fixture.h"

namespace lagoonwind::gateway {

using testing::At;
using testing::FleetFixture;

namespace {

/// A fleet state that has read two running servers, with the causes of slow starts since.
struct Started : FleetFixture {
  Started() {
    fleet.SetServerStartedCallback(
        [this](const BackendServer& server, std::string_view reason, Time /*now*/) {
          starts.push_back(server.name + ": " + std::string(reason));
        });
    const RecordPage page{.records = {{.key = "a", .value = "11"}, {.key = "b", .value = "11"}},
                          .next_offset = 5};
    fleet.Apply(Topic::kServers, page, true, kStoreSource, At(0));
    offset = 5;
  }

  std::vector<std::string> starts;
};

}  // namespace

// Guards against a gateway that has just started treating all servers as just started.
TEST_CASE("servers of the first complete page and their later records are no starts") {
  Started fixture;
  fixture.Put(Topic::kServers, "a", "12", At(1000));
  CHECK(fixture.starts.empty());
}

// Guards against a server that starts or restarts getting all of its work at once.
TEST_CASE("a new server and one with another start time have started") {
  Started fixture;
  fixture.Put(Topic::kServers, "c", "11", At(1000));
  fixture.Put(Topic::kServers, "a", "21", At(2000));
  CHECK(fixture.starts == std::vector<std::string>{"c: new", "a: new"});
}

// Guards against a returning zone being flooded.
TEST_CASE("servers of a zone that is taken back begin slowly") {
  Started fixture;
  fixture.Put(Topic::kOperator, "z", "{}", At(1000));
  CHECK(fixture.starts.empty());
  fixture.fleet.Apply(Topic::kOperator, {.records = {{.key = "z"}}, .next_offset = 50}, false,
                      "test", At(5000));
  CHECK(fixture.starts.size() == 2);
}

// Guards against flooding a server whose host refuses connections, as it may be restarting.
TEST_CASE("a server assumed to restart begins slowly") {
  Started fixture;
  fixture.fleet.AssumeRestarted(HandleOf<ServerId>("b1"), At(1000));
  CHECK(fixture.starts == std::vector<std::string>{"b: connection refused"});
}

}  // namespace lagoonwind::gateway
