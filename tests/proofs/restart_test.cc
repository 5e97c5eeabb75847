#include <doctest/doctest.h>

#include <random>

#include "spread_fleet.h"

namespace lagoonwind::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

std::string Rules(std::uint64_t number) {
  return "zone z" + std::to_string(number % 3) + " out # asked by: change " +
         std::to_string(number) + "\n";
}

/// \return True if all processes have the configuration within 19 s.
bool Converges(SpreadFleet& fleet, std::int64_t offset) {
  return fleet.RunUntil([&] { return fleet.AllHaveConfiguration(offset); }, minutes(2)) <
         seconds(19);
}

TEST_CASE("restarted processes get the rules from peers while the log is down") {
  SpreadFleet fleet({});
  REQUIRE(Converges(fleet, 0));
  const auto offset = fleet.Apply(Rules(1));
  REQUIRE(Converges(fleet, offset));
  fleet.log().down = true;
  for (int i = 0; i < fleet.size(); ++i) {
    fleet.Restart(i);
    CHECK(fleet.stats(i).configuration_offset == -1);
    CHECK(fleet.RunUntil([&] { return fleet.AllHaveConfiguration(offset); }, minutes(1)) <
          seconds(2));
  }
}

TEST_CASE("a fleet that restarts completely while the log is down waits for the log") {
  SpreadFleet fleet({});
  REQUIRE(Converges(fleet, 0));
  fleet.log().down = true;
  for (int i = 0; i < fleet.size(); ++i) {
    fleet.Restart(i);
  }
  fleet.Run(minutes(5));
  CHECK(fleet.AllHaveConfiguration(-1));
  fleet.log().down = false;
  CHECK(Converges(fleet, 0));
}

TEST_CASE(
    "log readers that crash or lose the log are replaced, and new rules take effect within 19 s") {
  for (const bool kill : {true, false}) {
    SpreadFleet fleet({.entries = 10, .agents = 20, .links = 8});
    REQUIRE(Converges(fleet, 0));
    fleet.Run(seconds(40));
    int lost_readers = 0;
    for (int i = 0; i < fleet.size(); ++i) {
      if (fleet.stats(i).is_log_reader) {
        kill ? fleet.Kill(i) : fleet.CutFromLog(i, true);
        ++lost_readers;
      }
    }
    CHECK(lost_readers == 3);
    CHECK(Converges(fleet, fleet.Apply(Rules(1))));
  }
}

TEST_CASE("snapshots preserve the rules when the log drops records, and a new fleet finds them") {
  SpreadFleet fleet({});
  REQUIRE(Converges(fleet, 0));
  const auto offset = fleet.Apply(Rules(1));
  for (int i = 0; i < 12; ++i) {
    fleet.Run(minutes(15));
    // Keeps the last three records, about half an hour.
    const auto kept = static_cast<std::int64_t>(fleet.log().records.size()) - 3;
    fleet.log().first = std::max(fleet.log().first, kept);
  }
  CHECK(fleet.log().first > offset);
  CHECK(fleet.log().appends < 40);
  for (int i = 0; i < fleet.size(); ++i) {
    fleet.Kill(i);
  }
  for (int i = 0; i < fleet.size(); ++i) {
    fleet.Restart(i);
  }
  CHECK(Converges(fleet, offset));
}

TEST_CASE("a new fleet reads only the newest records, and the whole stream without a snapshot") {
  for (const bool snapshots : {true, false}) {
    SpreadFleet fleet({});
    REQUIRE(Converges(fleet, 0));
    for (int i = 0; i < 30; ++i) {
      fleet.log().records.insert(fleet.log().records.end(), 10, "refused");
      fleet.log().down = !snapshots;
      fleet.Run(seconds(5));
    }
    fleet.log().down = false;
    for (int i = 0; i < fleet.size(); ++i) {
      fleet.Kill(i);
    }
    fleet.log().records_read = 0;
    for (int i = 0; i < fleet.size(); ++i) {
      fleet.Restart(i);
    }
    CHECK(Converges(fleet, 0));
    CHECK((fleet.log().records_read < 9UL * 33UL) == snapshots);
  }
}

TEST_CASE(
    "no process returns to older rules under random faults, and the recovered fleet has the last") {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 random(seed);
    SpreadFleet fleet({.entries = 4, .agents = 8, .links = 5});
    std::int64_t offset = 0;
    for (int round = 0; round < 60; ++round) {
      const int i = static_cast<int>(random() % 12);
      const bool fault = random() % 2 == 0;
      switch (random() % 7) {
        case 0:
          fleet.Kill(i);
          break;
        case 1:
          fleet.Restart(i);
          break;
        case 2:
          fleet.Freeze(i, fault);
          break;
        case 3:
          fleet.CutFromLog(i, fault);
          break;
        case 4:
          fleet.CutFromLinks(i, fault);
          break;
        case 5:
          fleet.CutZone(i % 3, fault);
          break;
        default:
          fleet.log().down = fault;
          offset = fleet.Apply(Rules(random()));
      }
      fleet.Run(std::chrono::milliseconds(random() % 4000));
    }
    fleet.log().down = false;
    for (int i = 0; i < fleet.size(); ++i) {
      fleet.Freeze(i, false);
      fleet.CutFromLinks(i, false);
      fleet.CutFromLog(i, false);
      fleet.CutZone(i % 3, false);
      if (!fleet.alive(i)) {
        fleet.Restart(i);
      }
    }
    CHECK(Converges(fleet, offset));
    CHECK_FALSE(fleet.regressed());
  }
}

}  // namespace
}  // namespace lagoonwind::testing
