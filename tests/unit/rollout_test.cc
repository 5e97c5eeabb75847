// Guards against a roll-out decision at one gateway that sends to a version on trial without
// knowing how far the roll-out is, beyond its allowance or after a rollback, that completes before
// every live gateway has left the old servers, or that counts a report twice.
#include "lagoonwind/rollout.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <vector>

#include "rollout_statistics.h"

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Incarnation kSelf{1};
constexpr Incarnation kPeer{2};
constexpr RouteId kRoute{1};
constexpr RolloutLimits kLimits{
    .exposure_share = 0.1, .exposure_slack = 50, .rollback_time = seconds(5)};

Time At(int ms) { return Time{seconds(100)} + milliseconds(ms); }

RolloutOrder Order(Duration duration = seconds(30)) {
  return {.service = "s", .target = "v2", .duration = duration, .id = 7};
}

/// A gateway that saw the order being written, with one peer.
Rollout Started(Duration duration = seconds(30), RolloutLimits limits = kLimits) {
  Rollout rollout(Order(duration), limits, At(0), true);
  rollout.SetSelf(kSelf);
  rollout.SetMembers(std::vector{kSelf, kPeer}, At(0));
  rollout.SetServers(2, 2, At(0));
  return rollout;
}

RolloutReport PeerReport(RolloutState state, int ms) {
  return {.order_id = 7, .state = state, .elapsed = milliseconds(ms)};
}

/// Chooses versions for `count` requests and sends one attempt for each.
int SendToTarget(Rollout& rollout, int count, Time now) {
  int target = 0;
  for (int i = 0; i < count; ++i) {
    const RolloutVersion version = rollout.Choose(kRoute, 0, now);
    rollout.RecordSent(version, now);
    target += version == RolloutVersion::kTarget ? 1 : 0;
  }
  return target;
}

RolloutOutcome Outcome(bool failed, int ms = 10) {
  return {
      .route = kRoute, .failed = failed, .first_byte = milliseconds(ms), .total = milliseconds(ms)};
}

/// Runs a good version up to kSwitching; the peer reports the trial.
Rollout Switching() {
  Rollout rollout = Started();
  int ms = 0;
  while (rollout.state() == RolloutState::kTrial && ms < 30000) {
    ms += 100;
    for (int i = 0; i < 10; ++i) {
      const RolloutVersion version = rollout.Choose(kRoute, i / 10.0, At(ms));
      rollout.RecordSent(version, At(ms));
      rollout.RecordEnd(version, Outcome(false), At(ms));
    }
    rollout.MergePeerReport(kPeer, PeerReport(RolloutState::kTrial, ms), At(ms));
    rollout.Update(At(ms));
  }
  CHECK(rollout.state() == RolloutState::kSwitching);
  return rollout;
}

/// Continues a roll-out in kSwitching without requests, with a peer whose reports have the given
/// `left_old`.
/// \return When there was a conclusion, in ms; zero if there was none by the deadline.
int RunQuiet(Rollout& rollout, bool peer_left_old) {
  for (int ms = 24800; ms < 29900; ms += 100) {
    RolloutReport report = PeerReport(RolloutState::kSwitching, ms);
    report.left_old = peer_left_old;
    rollout.MergePeerReport(kPeer, report, At(ms));
    rollout.Update(At(ms));
    if (rollout.Conclusion(At(ms))) {
      return ms;
    }
  }
  return 0;
}

}  // namespace

TEST_CASE("a gateway that finds an order at its start sends nothing to the target until it knows") {
  Rollout rollout(Order(), kLimits, At(0), false);
  rollout.SetSelf(kSelf);
  rollout.SetMembers(std::vector{kPeer}, At(0));
  CHECK(rollout.state() == RolloutState::kUnknown);
  CHECK(SendToTarget(rollout, 1000, At(10)) == 0);
  CHECK(rollout.RetryVersion(At(10)) == RolloutVersion::kOld);
  rollout.MergePeerReport(kPeer, PeerReport(RolloutState::kUnknown, 20), At(20));
  CHECK(rollout.state() == RolloutState::kUnknown);
  rollout.MergePeerReport(kPeer, PeerReport(RolloutState::kTrial, 30), At(30));
  CHECK(rollout.state() == RolloutState::kTrial);
  // It has no part in the slack, which an earlier incarnation may have used.
  CHECK(rollout.TrialAllowance() <= 0.1 * 1000);
  CHECK(SendToTarget(rollout, 1000, At(40)) <= 0.1 * 2000);
}

TEST_CASE("the stored status ends the unknown state, that of another order does not") {
  Rollout rollout(Order(), kLimits, At(0), false);
  rollout.ApplyStatus({.order_id = 8, .state = RolloutState::kComplete}, At(10));
  CHECK(rollout.state() == RolloutState::kUnknown);
  rollout.ApplyStatus({.order_id = 7, .state = RolloutState::kReverted}, At(20));
  CHECK(rollout.state() == RolloutState::kReverted);
  CHECK(!rollout.Conclusion(At(30)));
  rollout.ApplyStatus({.order_id = 7, .state = RolloutState::kComplete}, At(40));
  CHECK(rollout.state() == RolloutState::kReverted);
}

TEST_CASE("a suspended or isolated gateway stops sending to the target") {
  Rollout suspended = Started();
  CHECK(SendToTarget(suspended, 10, At(10)) > 0);
  CHECK(SendToTarget(suspended, 100, At(5000)) == 0);
  CHECK(suspended.state() == RolloutState::kUnknown);
  // A report that waited in the socket's buffer says nothing about the present.
  suspended.MergePeerReport(kPeer, PeerReport(RolloutState::kTrial, 500), At(5010));
  CHECK(suspended.state() == RolloutState::kUnknown);
  suspended.MergePeerReport(kPeer, PeerReport(RolloutState::kTrial, 4900), At(5020));
  CHECK(suspended.state() == RolloutState::kTrial);

  Rollout isolated = Started();
  for (int ms = 100; ms <= 3000; ms += 100) {
    isolated.Update(At(ms));
  }
  CHECK(isolated.state() == RolloutState::kUnknown);
}

TEST_CASE("the trial stays within the allowance, other attempts at the target included") {
  Rollout rollout = Started();
  for (int i = 0; i < 60; ++i) {
    rollout.RecordSent(RolloutVersion::kTarget, At(10));
  }
  CHECK(SendToTarget(rollout, 500, At(20)) == 0);
  Rollout other = Started();
  const int sent = SendToTarget(other, 1000, At(20));
  CHECK(sent > 0);
  CHECK(sent <= 0.1 * 1000 + 25);
  CHECK(other.RetryVersion(At(30)) == RolloutVersion::kOld);
}

TEST_CASE("a choice that is cancelled does not use the allowance") {
  Rollout rollout = Started();
  for (int i = 0; i < 500; ++i) {
    if (rollout.Choose(kRoute, 0, At(10)) == RolloutVersion::kTarget) {
      rollout.CancelChoice(At(10));
    }
  }
  CHECK(rollout.Choose(kRoute, 0, At(20)) == RolloutVersion::kTarget);
}

TEST_CASE("reports that are repeated or reordered count once") {
  Rollout rollout = Started();
  RolloutReport report = PeerReport(RolloutState::kTrial, 200);
  report.requests = 50;
  report.routes = {{.route = kRoute, .versions = {}}};
  report.routes[0].versions[1] = {.responses = 20, .failures = 2};
  RolloutReport older = PeerReport(RolloutState::kTrial, 100);
  older.requests = 10;
  rollout.MergePeerReport(kPeer, report, At(200));
  rollout.MergePeerReport(kPeer, report, At(210));
  rollout.MergePeerReport(kPeer, older, At(220));
  rollout.Update(At(230));
  CHECK(rollout.Evidence(At(230)).requests == 50);
  CHECK(rollout.Evidence(At(230)).failures[1] == 2);
  // Counters of a gateway that was killed stay.
  rollout.SetMembers({}, At(240));
  rollout.MergePeerReport(Incarnation{3}, report, At(250));
  rollout.Update(At(260));
  CHECK(rollout.Evidence(At(260)).requests == 100);
}

TEST_CASE("a rollback is followed at once and proposed until it is stored") {
  Rollout rollout = Started();
  rollout.MergePeerReport(kPeer, PeerReport(RolloutState::kReverted, 100), At(100));
  CHECK(SendToTarget(rollout, 100, At(110)) == 0);
  const auto conclusion = rollout.Conclusion(At(110));
  REQUIRE(conclusion);
  CHECK(conclusion->state == RolloutState::kReverted);
  rollout.ApplyStatus({.order_id = 7, .state = RolloutState::kReverted}, At(120));
  CHECK(!rollout.Conclusion(At(130)));
  // The store was restored from an older copy.
  rollout.ApplyStatus({.order_id = 7, .state = RolloutState::kTrial}, At(140));
  CHECK(rollout.Conclusion(At(150)));
}

TEST_CASE("failures that several gateways saw are judged in total") {
  Rollout rollout = Started();
  RolloutReport report = PeerReport(RolloutState::kTrial, 100);
  report.routes = {{.route = kRoute, .versions = {}}};
  report.routes[0].versions[0] = {.responses = 500};
  report.routes[0].versions[1] = {.responses = 10, .failures = 4};
  rollout.MergePeerReport(kPeer, report, At(100));
  rollout.Update(At(110));
  CHECK(rollout.state() == RolloutState::kTrial);
  rollout.MergePeerReport(Incarnation{3}, report, At(120));
  rollout.Update(At(130));
  CHECK(rollout.state() == RolloutState::kReverted);
}

TEST_CASE("completion waits for every live gateway to leave the old servers") {
  Rollout waiting = Switching();
  CHECK(RunQuiet(waiting, false) == 0);
  Rollout busy = Switching();
  busy.RecordSent(RolloutVersion::kOld, At(24750));
  CHECK(RunQuiet(busy, true) == 0);
  Rollout missing = Switching();
  missing.SetMembers(std::vector{kPeer, Incarnation{3}}, At(24750));
  CHECK(RunQuiet(missing, true) == 0);
  Rollout done = Switching();
  const int ms = RunQuiet(done, true);
  CHECK(ms > 0);
  CHECK(done.Conclusion(At(ms))->state == RolloutState::kComplete);
  // Completion takes effect only when it is stored.
  CHECK(done.state() == RolloutState::kSwitching);
  done.ApplyStatus({.order_id = 7, .state = RolloutState::kComplete}, At(ms + 10));
  CHECK(done.state() == RolloutState::kComplete);
}

TEST_CASE("a version without servers gets nothing and is reverted at the deadline") {
  Rollout rollout = Started(seconds(4));
  rollout.SetServers(2, 0, At(10));
  CHECK(SendToTarget(rollout, 100, At(20)) == 0);
  for (int ms = 100; ms <= 4000; ms += 100) {
    rollout.MergePeerReport(kPeer, PeerReport(RolloutState::kTrial, ms), At(ms));
    rollout.Update(At(ms));
  }
  CHECK(rollout.state() == RolloutState::kReverted);
}

TEST_CASE("a service that runs only the target completes at once") {
  Rollout rollout(Order(), kLimits, At(0), true);
  rollout.SetSelf(kSelf);
  rollout.SetMembers(std::vector{kSelf}, At(0));
  rollout.SetServers(0, 2, At(0));
  int ms = 0;
  while (!rollout.Conclusion(At(ms)) && ms < 5000) {
    ms += 100;
    rollout.Update(At(ms));
  }
  CHECK(ms <= 1000);
  CHECK(rollout.Conclusion(At(ms))->state == RolloutState::kComplete);
}

TEST_CASE("odd limits, durations and reports have a defined outcome") {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double odd : {nan, -1.0, -std::numeric_limits<double>::infinity()}) {
    Rollout rollout = Started(
        seconds(30), {.exposure_share = odd, .exposure_slack = odd, .rollback_time = Duration(-5)});
    CHECK(SendToTarget(rollout, 1000, At(10)) == 0);
  }
  for (const Duration odd : {Duration::zero(), Duration::min()}) {
    Rollout rollout = Started(odd);
    rollout.Update(At(10));
    CHECK(rollout.state() == RolloutState::kReverted);
  }
  Rollout endless = Started(Duration::max(), {.exposure_share = 5, .exposure_slack = 1e300});
  endless.Update(At(10));
  CHECK(endless.state() == RolloutState::kTrial);
  RolloutReport odd = PeerReport(RolloutState::kReverted, 0);
  odd.elapsed = Duration::min();
  endless.MergePeerReport(kPeer, odd, At(20));
  odd.elapsed = Duration::max();
  endless.MergePeerReport(kPeer, odd, At(30));
  CHECK(endless.state() == RolloutState::kTrial);
  endless.RecordEnd(RolloutVersion::kTarget,
                    {.route = kRoute, .first_byte = Duration(-7), .total = Duration::max()},
                    At(40));
  CHECK(endless.LocalReport(At(50)).outstanding[1] == 0);
  endless.RecordEnd(RolloutVersion::kOld, {.route = kRoute, .total = Duration::max()}, At(60));
  endless.Update(At(70));
  CHECK(endless.LocalReport(At(70)).longest_old < std::chrono::hours(25));
}

TEST_CASE("the report stays bounded with many routes and seconds") {
  Rollout rollout = Started();
  for (int i = 0; i < 300; ++i) {
    rollout.RecordEnd(RolloutVersion::kOld, {.route = RouteId{static_cast<std::uint64_t>(i) + 1}},
                      At(i * 100));
  }
  const RolloutReport report = rollout.LocalReport(At(30000));
  CHECK(report.routes.size() == kRolloutMaxRoutes);
  CHECK(report.seconds.size() == kRolloutSeconds);
}

TEST_CASE("the binomial tail is exact to a thousandth") {
  CHECK(BinomialUpperTail(1, 2, 0.5) == 1);  // At the mean.
  CHECK(BinomialUpperTail(2, 2, 0.5) == doctest::Approx(0.25).epsilon(0.001));
  CHECK(BinomialUpperTail(3, 10, 0.1) == doctest::Approx(0.0702).epsilon(0.001));
  CHECK(BinomialUpperTail(3, 2, 0.5) == 0);
  CHECK(BinomialUpperTail(0, 0, 0.5) == 1);
}

}  // namespace lagoonwind::policy
