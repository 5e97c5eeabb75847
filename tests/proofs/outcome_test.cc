#include <doctest/doctest.h>

#include <random>
#include <set>

#include "fault_world.h"
#include "outcome_state.h"

namespace lagoonwind::policy {
namespace {

/// What actually happened to a request, tracked independently of the policy.
struct GroundTruth {
  bool may_have_run = false;
  bool response_started = false;
  bool complete = false;
};

/// Draws an event for an attempt or its request.
Event DrawEvent(std::mt19937& random, MemberId agent, AttemptId attempt) {
  switch (random() % 8) {
    case 0:
      return AttemptQueued{.agent = agent, .attempt = attempt};
    case 1:
    case 2:
      return AttemptStarted{.agent = agent, .attempt = attempt};
    case 3:
      return CallerResponseStarted{.id = attempt.request};
    case 4:
      return LinkDown{.member = agent};
    default:
      return AttemptEnded{.agent = agent,
                          .attempt = attempt,
                          .result = static_cast<AttemptResult>(random() % 3),
                          .reason = Reason::kBackendFailed};
  }
}

class RandomOutcomeDriver {
 public:
  RandomOutcomeDriver(std::uint32_t seed, bool repeatable) : random_(seed) {
    const auto target = HandleOf<TargetId>("bookings");
    Step(ConfigurationAccepted{
        .configuration = testing::TestRules("service bookings once window 1h # asked by: b\n")});
    Step(LinkUp{.member = {.id = agent_, .role = Role::kAgent, .zone = {1}}});
    Step(AgentReportReceived{.agent = agent_, .report = {.targets = {target}, .free_slots = 9}});
    Step(RequestArrived{.id = id_,
                        .traits = {.customer = {1}, .target = target, .repeatable = repeatable}});
  }

  void RunRandomEvents() {
    for (std::uint32_t events_left = random_() % 16; events_left > 0 && !outcome_; --events_left) {
      const bool stale = random_() % 4 == 0;
      const AttemptId attempt{.request = id_, .attempt = stale ? attempt_ - 1 : attempt_};
      const MemberId agent = random_() % 8 == 0 ? MemberId{99} : agent_;
      const Event event = DrawEvent(random_, agent, attempt);
      UpdateGroundTruth(event, attempt, agent);
      Step(event);
      if (!linked_) {
        linked_ = true;
        Step(LinkUp{.member = {.id = agent_, .role = Role::kAgent, .zone = {1}}});
        Step(AgentReportReceived{
            .agent = agent_,
            .report = {.targets = {HandleOf<TargetId>("bookings")}, .free_slots = 9}});
      }
    }
    now_ += std::chrono::hours(1);
    Step(LinkDown{.member = agent_});
    ground_truth_.may_have_run = ground_truth_.may_have_run || offered_;
    Step(DrainRequested{});
  }

  void Check() const {
    REQUIRE(outcome_.has_value());
    CHECK(finishes_ == 1);
    if (*outcome_ == Outcome::kComplete) {
      CHECK(ground_truth_.complete);
    }
    if (*outcome_ == Outcome::kNotRun) {
      CHECK(!ground_truth_.may_have_run);
      CHECK(!ground_truth_.response_started);
    }
  }

  [[nodiscard]] std::optional<Outcome> outcome() const { return outcome_; }

 private:
  void UpdateGroundTruth(const Event& event, AttemptId attempt, MemberId agent) {
    const bool current = offered_ && attempt.attempt == attempt_ && agent == agent_;
    if (std::holds_alternative<CallerResponseStarted>(event)) {
      ground_truth_.response_started = true;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event); ended != nullptr && current) {
      ground_truth_.complete = ground_truth_.complete || ended->result == AttemptResult::kComplete;
      ground_truth_.may_have_run =
          ground_truth_.may_have_run || ended->result == AttemptResult::kUnknown;
      offered_ = false;
    } else if (std::holds_alternative<LinkDown>(event) && agent == agent_) {
      linked_ = false;
      ground_truth_.may_have_run = ground_truth_.may_have_run || offered_;
      offered_ = false;
    } else if (std::holds_alternative<AttemptQueued>(event) && current && !started_) {
      offered_ = false;
    } else if (std::holds_alternative<AttemptStarted>(event) && current) {
      started_ = true;
    }
  }

  void Step(const Event& event) {
    for (const auto& action : policy_->Step(now_, std::vector<Event>{event})) {
      if (const auto* offer = std::get_if<SendOffer>(&action)) {
        attempt_ = offer->attempt.attempt;
        offered_ = true;
        started_ = false;
      } else if (const auto* finish = std::get_if<FinishRequest>(&action)) {
        ++finishes_;
        outcome_ = finish->outcome;
      }
    }
  }

  std::mt19937 random_;
  std::unique_ptr<Policy> policy_ = MakePolicy({.role = Role::kEntry, .name = "entry"});
  Time now_;
  MemberId agent_{7};
  RequestId id_{.entry = {1}, .number = 1};
  std::uint32_t attempt_ = 0;
  bool offered_ = false;
  bool started_ = false;
  bool linked_ = true;
  int finishes_ = 0;
  std::optional<Outcome> outcome_;
  GroundTruth ground_truth_;
};

TEST_CASE(
    "each request gets exactly one correct outcome for any messages from agents in any order") {
  std::set<Outcome> seen;
  for (std::uint32_t seed = 1; seed <= 4000; ++seed) {
    INFO("seed " << seed);
    RandomOutcomeDriver driver(seed, seed % 2 == 0);
    driver.RunRandomEvents();
    driver.Check();
    seen.insert(*driver.outcome());
  }
  CHECK(seen.size() == 3);
}

TEST_CASE("the transitions of a request are those of docs/OUTCOMES.md") {
  using enum RequestPhase;
  CHECK(IsValidTransition(kWaiting, kOffered));
  CHECK(IsValidTransition(kOffered, kRunning));
  CHECK(IsValidTransition(kOffered, kWaiting));
  CHECK(IsValidTransition(kRunning, kWaiting));
  CHECK(!IsValidTransition(kWaiting, kRunning));
  CHECK(!IsValidTransition(kRunning, kOffered));
  CHECK(IsValidOutcome({.phase = kWaiting}, Outcome::kNotRun));
  CHECK(!IsValidOutcome({.phase = kWaiting}, Outcome::kComplete));
  CHECK(!IsValidOutcome({.phase = kRunning, .may_have_run = true}, Outcome::kNotRun));
  CHECK(!IsValidOutcome({.phase = kRunning, .response_started = true}, Outcome::kNotRun));
  CHECK(IsValidOutcome({.phase = kRunning}, Outcome::kComplete));
}

}  // namespace
}  // namespace lagoonwind::policy
