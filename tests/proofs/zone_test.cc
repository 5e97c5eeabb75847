#include <doctest/doctest.h>

#include <algorithm>

#include "spread_fleet.h"

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::SpreadFleet;

constexpr int kZones = 3;
constexpr seconds kZoneOutTarget{3};
/// Link timeout plus a margin for heartbeats and steps.
constexpr milliseconds kCutOffBound{4500};
constexpr std::string_view kZoneInRules = "zone z0 in # asked by: test\n";
constexpr std::string_view kZoneOutRules = "zone z0 out # asked by: night shift, storm\n";

int CountRefusing(const SpreadFleet& fleet, int zone, Reason reason) {
  int count = 0;
  for (int i = 0; i < fleet.size(); ++i) {
    count +=
        fleet.zone(i) == zone && fleet.alive(i) && fleet.stats(i).refusal_reason == reason ? 1 : 0;
  }
  return count;
}

int CountAllRefusing(const SpreadFleet& fleet, Reason reason) {
  return CountRefusing(fleet, 0, reason) + CountRefusing(fleet, 1, reason) +
         CountRefusing(fleet, 2, reason);
}

/// \return A fleet of three zones with three processes each and the initial rules in force.
SpreadFleet ReadyFleet() {
  SpreadFleet fleet({});
  REQUIRE(fleet.RunUntil([&] { return fleet.AllHaveConfiguration(0); }, seconds(10)) < seconds(10));
  fleet.Run(seconds(5));
  return fleet;
}

template <class ActionType>
const ActionType* Find(const std::vector<Action>& actions) {
  const auto found = std::ranges::find_if(
      actions, [](const Action& action) { return std::holds_alternative<ActionType>(action); });
  return found == actions.end() ? nullptr : &std::get<ActionType>(*found);
}

TEST_CASE(
    "within three seconds of being taken out, a zone refuses new work and no other zone does") {
  SpreadFleet fleet = ReadyFleet();
  for (int round = 0; round < 20; ++round) {
    fleet.Run(milliseconds(370));
    fleet.Apply(std::string(kZoneOutRules));
    CHECK(fleet.RunUntil([&] { return CountRefusing(fleet, 0, Reason::kZoneOut) == 3; },
                         seconds(9)) < kZoneOutTarget);
    CHECK(CountAllRefusing(fleet, Reason::kNone) == 6);
    fleet.Apply(std::string(kZoneInRules));
    CHECK(fleet.RunUntil([&] { return CountAllRefusing(fleet, Reason::kNone) == 9; }, seconds(9)) <
          kZoneOutTarget);
  }
}

TEST_CASE("during an outage of only the log no process refuses work, and reads are few") {
  SpreadFleet fleet = ReadyFleet();
  fleet.log().down = true;
  const auto reads = fleet.log().reads;
  for (int i = 0; i < 60; ++i) {
    fleet.Run(seconds(10));
    CHECK(CountAllRefusing(fleet, Reason::kNone) == 9);
  }
  CHECK(fleet.log().reads - reads < 9U * 600U / 3U);
  fleet.log().down = false;
  const auto offset = fleet.Apply(std::string(kZoneOutRules));
  CHECK(fleet.RunUntil([&] { return fleet.AllHaveConfiguration(offset); }, minutes(1)) <
        seconds(19));
}

TEST_CASE("a zone that is cut off refuses new work, also after it was taken out and reconnected") {
  SpreadFleet fleet = ReadyFleet();
  fleet.CutZone(0, true);
  CHECK(fleet.RunUntil([&] { return CountRefusing(fleet, 0, Reason::kCutOff) == 3; }, seconds(30)) <
        kCutOffBound);
  const auto offset = fleet.Apply(std::string(kZoneOutRules));
  fleet.Run(minutes(2));
  CHECK(CountRefusing(fleet, 0, Reason::kNone) == 0);
  CHECK(CountAllRefusing(fleet, Reason::kNone) == 6);
  fleet.CutZone(0, false);
  bool opened = false;
  const auto healed = [&] {
    opened = opened || CountRefusing(fleet, 0, Reason::kNone) > 0;
    return fleet.AllHaveConfiguration(offset);
  };
  CHECK(fleet.RunUntil(healed, minutes(1)) < seconds(19));
  CHECK_FALSE(opened);
  CHECK(CountRefusing(fleet, 0, Reason::kZoneOut) == 3);
}

TEST_CASE("a process cut off from the log or from its links still receives new rules") {
  for (const bool from_log : {true, false}) {
    for (int i = 0; i < 9; ++i) {
      SpreadFleet fleet = ReadyFleet();
      if (from_log) {
        fleet.CutFromLog(i, true);
      } else {
        fleet.CutFromLinks(i, true);
      }
      fleet.Run(seconds(20));
      const auto offset = fleet.Apply(std::string(kZoneOutRules));
      CHECK(fleet.RunUntil([&] { return fleet.AllHaveConfiguration(offset); }, minutes(1)) <
            seconds(5));
    }
  }
}

TEST_CASE("a resumed process starts no work before it has received the rules it missed") {
  for (int i = 0; i < 9; i += kZones) {
    SpreadFleet fleet = ReadyFleet();
    fleet.Freeze(i, true);
    fleet.Run(seconds(2));
    fleet.Apply(std::string(kZoneOutRules));
    fleet.Run(seconds(20));
    fleet.Freeze(i, false);
    // The resumed process steps at once, before it has read the missed messages from its sockets.
    fleet.Run(milliseconds(10));
    bool opened = false;
    const auto caught_up = [&] {
      opened = opened || fleet.stats(i).refusal_reason == Reason::kNone;
      return fleet.stats(i).refusal_reason == Reason::kZoneOut;
    };
    CHECK(fleet.RunUntil(caught_up, seconds(10)) < seconds(10));
    CHECK_FALSE(opened);
  }
}

TEST_CASE(
    "with a zone out and an engine crash no request starts, and running ones are not cancelled") {
  auto agent = MakePolicy({.role = Role::kAgent, .name = "agent", .zone = "z0"});
  const auto rules = [](std::int64_t offset, std::string_view zone) {
    auto parsed = ParseRules(std::string(zone) + "model crest # asked by: c\n");
    parsed.configuration.offset = offset;
    return std::make_shared<const Configuration>(std::move(parsed.configuration));
  };
  const auto offer = [](std::uint64_t number) {
    return OfferReceived{.entry = HandleOf<MemberId>("entry"),
                         .attempt = {.request = {.entry = {1}, .number = number}, .attempt = 1},
                         .traits = {.target = HandleOf<TargetId>("crest")}};
  };
  const BackendObserved up{
      .reachable = true, .incarnation = 1, .targets = {HandleOf<TargetId>("crest")}};
  const Time start{seconds(1)};
  CHECK(Find<StartAttempt>(agent->Step(
      start, std::vector<Event>{ConfigurationAccepted{rules(0, kZoneInRules)}, up, offer(1)})));
  const auto out =
      agent->Step(start, std::vector<Event>{ConfigurationAccepted{rules(1, kZoneOutRules)},
                                            BackendObserved{}, offer(2)});
  REQUIRE(Find<RefuseAttempt>(out));
  CHECK(Find<RefuseAttempt>(out)->reason == Reason::kZoneOut);
  CHECK_FALSE(Find<CancelAttempt>(out));
  const BackendObserved restarted{.reachable = true, .incarnation = 2, .targets = up.targets};
  CHECK_FALSE(Find<StartAttempt>(agent->Step(start, std::vector<Event>{restarted, offer(3)})));
  // A late older version does not bring the zone back in.
  CHECK_FALSE(Find<StartAttempt>(agent->Step(
      start, std::vector<Event>{ConfigurationAccepted{rules(0, kZoneInRules)}, offer(4)})));
}

}  // namespace
}  // namespace lagoonwind::policy
