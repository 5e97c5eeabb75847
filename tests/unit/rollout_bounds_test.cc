// Roll-outs at low traffic and during slow seconds, where little evidence tells good from bad.
#include "rollout_fleet.h"

namespace lagoonwind::policy {

TEST_CASE("good versions complete at low traffic and beside an old version that fails sometimes") {
  Setup quiet{.gateways = 3, .requests_per_second = 4};
  const Tally quiet_tally = RunSeeds(quiet, 50);
  Print("good, low traffic", quiet, quiet_tally);
  CHECK(quiet_tally.complete == quiet_tally.runs);
  CHECK(quiet_tally.left_running == 0);

  Setup failing{.gateways = 3, .requests_per_second = 60, .old_failure_rate = 0.02};
  failing.target = [](const Moment&) { return Behaviour{.failure_rate = 0.02}; };
  const Tally failing_tally = RunSeeds(failing, 50);
  Print("good, both fail 2%", failing, failing_tally);
  CHECK(failing_tally.complete == failing_tally.runs);
}

TEST_CASE("a slow second of the whole fleet counts against neither version") {
  for (const int from : {3, 12, 16, 17, 19}) {
    Setup setup{.gateways = 3, .requests_per_second = 300};
    setup.slow_from = seconds(from);
    setup.slow_to = seconds(from + 1);
    const Tally tally = RunSeeds(setup, 40);
    Print("good, slow second at " + std::to_string(from) + " s", setup, tally);
    CHECK(tally.complete == tally.runs);
  }
}

TEST_CASE("bad versions are reverted at low traffic, within the budget") {
  for (const BadVersion& bad : kBadVersions) {
    Setup setup{.gateways = 3, .requests_per_second = 60};
    setup.target = bad.version;
    const Tally tally = RunSeeds(setup, 40);
    Print(bad.name, setup, tally);
    CHECK(tally.late_rollback == 0);
    CHECK(tally.reverted == tally.runs);
    CHECK(tally.over_budget == 0);
  }
}

}  // namespace lagoonwind::policy
