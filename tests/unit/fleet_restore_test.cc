// The state of a fleet whose store comes back from a copy.
#include <doctest/doctest.h>

#include <chrono>

#include "fleet_fixture.h"

namespace lagoonwind::gateway {

using std::chrono::seconds;
using testing::At;
using testing::FleetFixture;

namespace {

/// Reads an empty page of changes from the store.
void ReadStore(FleetState& fleet, Topic topic, Time now) {
  RecordPage page{.next_offset = fleet.offset(topic)};
  page.generation = fleet.position(topic).generation;
  CHECK(fleet.Apply(topic, page, false, "store", now));
}

/// Reads from the store twice, so that the second call began at `now`, and expires records.
void ReadAndExpire(FleetState& fleet, Topic topic, Time now) {
  ReadStore(fleet, topic, now);
  ReadStore(fleet, topic, now);
  fleet.ExpireHeldRecords(now);
}

}  // namespace

TEST_CASE("a restored store takes back neither a configuration nor an evacuation") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  const RecordPage copy{
      .records = {{.key = "config", .value = "5"}}, .next_offset = 10, .generation = 2};
  fixture.offset = 20;
  fixture.Put(Topic::kServers, "i-1", "11", At(0));
  fixture.Put(Topic::kOperator, "config", "5", At(0));
  fixture.Put(Topic::kOperator, "config", "7", At(0));
  fixture.Put(Topic::kOperator, "z", "{}", At(0));
  // Changes of a new generation do not continue what was read before.
  CHECK(!fleet.Apply(Topic::kOperator, {.next_offset = 50, .generation = 2}, false, "test", At(1)));
  CHECK(fleet.Apply(Topic::kOperator, copy, true, "test", At(1)));
  CHECK(fleet.position(Topic::kOperator) == StorePosition{.generation = 2, .offset = 10});
  CHECK(fleet.configuration()->version == 7);
  CHECK(fleet.records(Topic::kOperator).at("config") == "7");
  CHECK(fixture.eligible_count() == 0);
  CHECK(fleet.HeldEvacuations(At(1)).contains("z"));
  // Records of the earlier generation come too late.
  CHECK(!fleet.Apply(Topic::kOperator, {.records = {{.key = "z"}}, .next_offset = 60}, true, "test",
                     At(2)));
  CHECK(fixture.eligible_count() == 0);
  CHECK(fleet.Apply(Topic::kOperator,
                    {.records = {{.key = "z"}}, .next_offset = 11, .generation = 2}, false, "test",
                    At(3)));
  CHECK(fixture.eligible_count() == 1);
}

TEST_CASE("an evacuation that a restored store still lacks after a minute ends") {
  FleetFixture fixture;
  fixture.Put(Topic::kServers, "i-1", "11", At(0));
  fixture.Put(Topic::kOperator, "z", "{}", At(0));
  fixture.fleet.Apply(Topic::kOperator, {.generation = 1}, true, "test", At(1000));
  ReadAndExpire(fixture.fleet, Topic::kOperator, At(60900));
  CHECK(fixture.eligible_count() == 0);
  ReadAndExpire(fixture.fleet, Topic::kOperator, At(61000));
  CHECK(fixture.eligible_count() == 1);
}

TEST_CASE("an evacuation that a second restore lacks too is held for a minute again") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  fixture.Put(Topic::kOperator, "z", "{}", At(0));
  fleet.Apply(Topic::kOperator, {.generation = 1}, true, "store", At(1000));
  fleet.Apply(Topic::kOperator, {.generation = 1}, true, "store", At(31000));
  CHECK(fleet.HeldEvacuations(At(31000)).at("z") == seconds(30));
  fleet.Apply(Topic::kOperator, {.generation = 2}, true, "store", At(51000));
  CHECK(fleet.HeldEvacuations(At(51000)).at("z") == seconds(60));
}

TEST_CASE("a restored store brings back no server that left, unless it goes on listing it") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  const RecordPage copy{.records = {{.key = "i-1", .value = "11"},
                                    {.key = "i-2", .value = "11"},
                                    {.key = "i-3", .value = "13"}},
                        .next_offset = 10,
                        .generation = 1};
  fixture.offset = 20;
  for (const char* key : {"i-1", "i-2", "i-3"}) {
    fixture.Put(Topic::kServers, key, "12d", At(-9000));
  }
  fixture.Delete("i-1", At(0));
  fixture.Delete("i-3", At(0));
  fleet.Apply(Topic::kServers, copy, true, "test", At(1000));
  // The record of i-3 is newer than the last one seen; i-2 is draining.
  REQUIRE(fixture.eligible_count() == 1);
  CHECK(fleet.EligibleServers("s")[0]->server.name == "i-3");
  CHECK(!fleet.records(Topic::kServers).contains("i-1"));
  ReadAndExpire(fleet, Topic::kServers, At(20900));
  CHECK(fixture.eligible_count() == 1);
  ReadAndExpire(fleet, Topic::kServers, At(21000));
  CHECK(fixture.eligible_count() == 2);
}

TEST_CASE("a server that left stays away if a peer's copy of the restored store came first") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  fixture.offset = 20;
  fixture.Put(Topic::kServers, "i-1", "11", At(-9000));
  fixture.Delete("i-1", At(0));
  fleet.Apply(Topic::kServers, {.next_offset = 10, .generation = 2}, true, "peer", At(1000));
  const RecordPage copy{
      .records = {{.key = "i-1", .value = "11"}}, .next_offset = 10, .generation = 2};
  CHECK(fleet.Apply(Topic::kServers, copy, true, "store", At(1100)));
  CHECK(fixture.eligible_count() == 0);
  // Another list of the same history is no reason to wait longer.
  CHECK(fleet.Apply(Topic::kServers, copy, true, "store", At(20000)));
  CHECK(fixture.eligible_count() == 0);
  ReadAndExpire(fleet, Topic::kServers, At(21100));
  CHECK(fixture.eligible_count() == 1);
}

TEST_CASE("a departed server that a restored store no longer lists isn't used") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  fixture.offset = 20;
  for (const char* key : {"i-1", "i-2", "i-3"}) {
    fixture.Put(Topic::kServers, key, "11", At(-9000));
    fixture.Delete(key, At(0));
  }
  const Record kept{.key = "i-3", .value = "11"};
  RecordPage copy{.records = {{.key = "i-1", .value = "11"}, {.key = "i-2", .value = "11"}, kept},
                  .next_offset = 10,
                  .generation = 1};
  fleet.Apply(Topic::kServers, copy, true, "store", At(1000));
  fleet.Apply(Topic::kServers, {.records = {{.key = "i-1"}}, .next_offset = 11, .generation = 1},
              false, "store", At(2000));
  // A peer doesn't list what it doubts.
  fleet.Apply(Topic::kServers, {.next_offset = 12, .generation = 1}, true, "peer", At(3000));
  copy = {.records = {kept}, .next_offset = 13, .generation = 1};
  fleet.Apply(Topic::kServers, copy, true, "store", At(4000));
  ReadAndExpire(fleet, Topic::kServers, At(21000));
  REQUIRE(fixture.eligible_count() == 1);
  CHECK(fleet.EligibleServers("s")[0]->server.name == "i-3");
}

TEST_CASE("what a restored store lacks or lists isn't decided while the store is away") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  fixture.offset = 20;
  fixture.Put(Topic::kServers, "i-1", "11", At(-9000));
  fixture.Put(Topic::kServers, "i-2", "11", At(-9000));
  fixture.Delete("i-2", At(0));
  fixture.Put(Topic::kOperator, "z", "{}", At(0));
  const RecordPage copy{.records = {{.key = "i-1", .value = "11"}, {.key = "i-2", .value = "11"}},
                        .next_offset = 10,
                        .generation = 1};
  fleet.Apply(Topic::kServers, copy, true, "store", At(1000));
  fleet.Apply(Topic::kOperator, {.generation = 1}, true, "store", At(1000));
  fleet.StoreFailed();
  fleet.ExpireHeldRecords(At(90000));
  CHECK(fleet.Find(HandleOf<testing::ServerId>("i-21")) == nullptr);
  CHECK(fleet.HeldEvacuations(At(90000)).at("z") == seconds(0));
  fleet.StoreRecovered(At(100000));
  ReadAndExpire(fleet, Topic::kServers, At(119900));
  CHECK(fleet.Find(HandleOf<testing::ServerId>("i-21")) == nullptr);
  ReadAndExpire(fleet, Topic::kServers, At(120000));
  CHECK(fleet.Find(HandleOf<testing::ServerId>("i-21")) != nullptr);
  ReadAndExpire(fleet, Topic::kOperator, At(159900));
  CHECK(fixture.eligible_count() == 0);
  ReadAndExpire(fleet, Topic::kOperator, At(160000));
  CHECK(fixture.eligible_count() == 2);
}

TEST_CASE("a gateway that was frozen reads the store before it ends a hold") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  fixture.Put(Topic::kServers, "i-1", "11", At(0));
  fixture.Put(Topic::kOperator, "z", "{}", At(0));
  fleet.Apply(Topic::kOperator, {.generation = 1}, true, "store", At(1000));
  ReadAndExpire(fleet, Topic::kOperator, At(2000));
  fleet.ExpireHeldRecords(At(70000));
  CHECK(fixture.eligible_count() == 0);
  // The response may have been sent before the freeze.
  ReadStore(fleet, Topic::kOperator, At(70000));
  fleet.ExpireHeldRecords(At(70000));
  CHECK(fixture.eligible_count() == 0);
  ReadStore(fleet, Topic::kServers, At(70100));
  ReadStore(fleet, Topic::kServers, At(70100));
  fleet.ExpireHeldRecords(At(70100));
  CHECK(fixture.eligible_count() == 0);
  ReadStore(fleet, Topic::kOperator, At(70200));
  fleet.ExpireHeldRecords(At(70200));
  CHECK(fixture.eligible_count() == 1);
}

TEST_CASE("a server that a restored store lacks has time to register again") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  fixture.Put(Topic::kServers, "i-1", "11", At(-9000));
  fixture.Put(Topic::kServers, "i-2", "11", At(-9000));
  fleet.PeerReachedStore(seconds(60), 0, At(900));
  fleet.Apply(Topic::kServers, {.generation = 1}, true, "test", At(1000));
  // A peer that has not noticed the restore proves nothing.
  fleet.PeerReachedStore(seconds(60), 0, At(1100));
  fleet.RemoveMissingServers(At(3100));
  CHECK(fixture.eligible_count() == 2);
  fleet.Apply(Topic::kServers,
              {.records = {{.key = "i-1", .value = "12"}}, .next_offset = 1, .generation = 1},
              false, "test", At(3100));
  fleet.RemoveMissingServers(At(3300));
  REQUIRE(fixture.eligible_count() == 1);
  CHECK(fleet.EligibleServers("s")[0]->server.name == "i-1");
}

TEST_CASE("evacuations that a peer holds are taken over, but not after they have ended") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  fixture.Put(Topic::kServers, "i-1", "11", At(0));
  fleet.Apply(Topic::kOperator, {.next_offset = 5, .generation = 2}, true, "test", At(0));
  CHECK(fleet.MissesEvacuations(2, 99));
  CHECK(!fleet.MissesEvacuations(1, 99));
  const RecordPage held{.records = {{.key = "z", .value = "{}"}}, .generation = 2};
  fleet.HoldEvacuations(held, {{"z", seconds(30)}}, "peer", At(1));
  CHECK(fixture.eligible_count() == 0);
  CHECK(!fleet.MissesEvacuations(2, fleet.held_digest()));
  fleet.Apply(Topic::kOperator, {.records = {{.key = "z"}}, .next_offset = 6, .generation = 2},
              false, "test", At(2));
  CHECK(fixture.eligible_count() == 1);
  fleet.HoldEvacuations(held, {{"z", seconds(30)}}, "peer", At(3));
  CHECK(fixture.eligible_count() == 1);
}

}  // namespace lagoonwind::gateway
