// The end of an evacuation, after the store was restored more than once.
#include <doctest/doctest.h>

#include <chrono>

#include "fleet_fixture.h"

namespace lagoonwind::gateway {

using std::chrono::seconds;
using testing::At;
using testing::FleetFixture;

TEST_CASE("an evacuation that was taken back isn't taken over after a second restore") {
  FleetFixture fixture;
  FleetState& fleet = fixture.fleet;
  fixture.Put(Topic::kServers, "i-1", "11", At(0));
  fixture.Put(Topic::kOperator, "z", "{}", At(0));
  fleet.Apply(Topic::kOperator, {.next_offset = 5, .generation = 2}, true, "store", At(1000));
  fleet.Apply(Topic::kOperator, {.records = {{.key = "z"}}, .next_offset = 6, .generation = 2},
              false, "store", At(2000));
  fleet.Apply(Topic::kOperator, {.next_offset = 5, .generation = 3}, true, "store", At(3000));
  const RecordPage held{.records = {{.key = "z", .value = "{}"}}, .generation = 3};
  fleet.HoldEvacuations(held, {{"z", seconds(30)}}, "peer", At(4000));
  CHECK(fixture.eligible_count() == 1);
}

}  // namespace lagoonwind::gateway
