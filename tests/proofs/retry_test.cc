#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "fleet_bench.h"
#include "lagoonwind/policy.h"
#include "retry_budget.h"

namespace lagoonwind::policy {
namespace {

const MemberId kAgent = HandleOf<MemberId>("agent");
const TargetId kCrest = HandleOf<TargetId>("crest");
constexpr RequestId kRequest{.entry = {1}, .number = 1};

/// An entry with one request and an agent that always has a free slot.
class Entry {
 public:
  Entry() {
    const Member agent{.id = kAgent, .name = "agent", .role = Role::kAgent};
    Step({LinkUp{.member = agent},
          AgentReportReceived{.agent = kAgent, .report = {.targets = {kCrest}, .free_slots = 1}},
          RequestArrived{.id = kRequest, .traits = {.target = kCrest}}});
  }

  /// Ends the current attempt and waits until the request is offered again or finishes.
  void End(AttemptResult result, Reason reason) {
    REQUIRE(attempt_.attempt > 0);
    const AttemptId ended = std::exchange(attempt_, AttemptId{});
    Step({AttemptEnded{.agent = kAgent, .attempt = ended, .result = result, .reason = reason}});
    for (int i = 0; i < kMaxSteps && attempt_.attempt == 0 && !finish_; ++i) {
      Step(
          {AgentReportReceived{.agent = kAgent, .report = {.targets = {kCrest}, .free_slots = 1}}});
    }
  }

  [[nodiscard]] const std::optional<FinishRequest>& finish() const { return finish_; }

 private:
  static constexpr int kMaxSteps = 1000;

  void Step(const std::vector<Event>& events) {
    now_ += std::chrono::milliseconds(10);
    for (const auto& action : policy_->Step(now_, events)) {
      if (const auto* offer = std::get_if<SendOffer>(&action)) {
        attempt_ = offer->attempt;
      } else if (const auto* finish = std::get_if<FinishRequest>(&action)) {
        finish_ = *finish;
      }
    }
  }

  Time now_;
  std::unique_ptr<Policy> policy_ = MakePolicy({.role = Role::kEntry, .name = "entry"});
  AttemptId attempt_;
  std::optional<FinishRequest> finish_;
};

TEST_CASE("a request whose attempts may have run gets at most three attempts") {
  Entry entry;
  for (std::uint32_t i = 1; i < limits::kMaxAttempts; ++i) {
    entry.End(AttemptResult::kUnknown, Reason::kBackendFailed);
    REQUIRE(!entry.finish());
  }
  entry.End(AttemptResult::kUnknown, Reason::kBackendFailed);
  REQUIRE(entry.finish());
  CHECK(entry.finish()->outcome == Outcome::kUnknown);
}

TEST_CASE("attempts refused for drain, zone or capacity do not count toward the maximum") {
  for (const Reason reason : {Reason::kDraining, Reason::kZoneOut, Reason::kNoRoom}) {
    Entry entry;
    for (int i = 0; i < 20; ++i) {
      entry.End(AttemptResult::kNotRun, reason);
      REQUIRE(!entry.finish());
    }
    entry.End(AttemptResult::kComplete, Reason::kNone);
    CHECK(entry.finish()->outcome == Outcome::kComplete);
  }
}

TEST_CASE("a quarantined request finishes at once as not run") {
  Entry entry;
  entry.End(AttemptResult::kNotRun, Reason::kQuarantined);
  REQUIRE(entry.finish());
  CHECK(entry.finish()->outcome == Outcome::kNotRun);
  CHECK(entry.finish()->reason == Reason::kQuarantined);
}

TEST_CASE("the retry budget allows its capacity and then a fraction of the arriving requests") {
  RetryBudget budget(0.5);
  int allowed = 0;
  while (budget.TryTake()) {
    ++allowed;
  }
  CHECK(allowed == static_cast<int>(limits::kRetryBudgetCapacity));
  budget.RequestArrived();
  CHECK(!budget.TryTake());
  budget.RequestArrived();
  CHECK(budget.TryTake());
  CHECK(!budget.TryTake());
}

TEST_CASE("backoff delays are spread from zero to a bound that doubles up to its maximum") {
  for (const std::uint32_t attempts : {1U, 2U, 5U, 100U}) {
    Backoff backoff(7);
    Backoff same(7);
    const Duration doubled = limits::kRetryBaseDelay * (1U << std::min(attempts - 1, 10U));
    const Duration bound = std::min<Duration>(doubled, limits::kRetryMaxDelay);
    std::vector<Duration> delays(1000);
    std::ranges::generate(delays, [&] { return backoff.Next(attempts); });
    CHECK(
        std::ranges::all_of(delays, [&](Duration delay) { return delay == same.Next(attempts); }));
    CHECK(*std::ranges::max_element(delays) <= bound);
    CHECK(*std::ranges::max_element(delays) > bound * 9 / 10);
    CHECK(*std::ranges::min_element(delays) < bound / 10);
  }
}

/// A brownout of 20 s in which 60% of executions fail; the fleet's capacity is 160 requests per
/// second.
bench::FleetResult Brownout(double requests_per_second, double retry_ratio) {
  return bench::RunFleetBench({.requests_per_second = requests_per_second,
                               .caller_timeout = std::chrono::seconds(5),
                               .failure_ratio = 0.6,
                               .brownout_start = std::chrono::seconds(20),
                               .brownout_end = std::chrono::seconds(40),
                               .retry_ratio = retry_ratio});
}

constexpr double kNoBudget = 1000;

TEST_CASE("in a brownout with spare capacity the retry budget denies no retry") {
  const bench::FleetResult result = Brownout(40, limits::kRetryBudgetRatio);
  CHECK(result.retries_denied == 0);
  CHECK(result.complete == Brownout(40, kNoBudget).complete);
  CHECK(result.false_not_run == 0);
}

TEST_CASE(
    "in a brownout near capacity the retry budget shortens response times at equal throughput") {
  const bench::FleetResult bounded = Brownout(130, limits::kRetryBudgetRatio);
  const bench::FleetResult unbounded = Brownout(130, kNoBudget);
  CHECK(bounded.retries_denied > 0);
  CHECK(bounded.mean_seconds < unbounded.mean_seconds * 3 / 4);
  CHECK(bounded.abandoned < unbounded.abandoned / 2);
  CHECK(bounded.complete * 100 > unbounded.complete * 97);
}

}  // namespace
}  // namespace lagoonwind::policy
