#include <doctest/doctest.h>

#include <random>
#include <set>

#include "fault_world.h"
#include "outcome_state.h"

namespace lagoonwind::policy {
namespace {

/// What truly happened to a request, kept the naive way.
struct Truth {
  bool maybe_ran = false;
  bool began = false;
  bool complete = false;
};

/// Events about one request in any order, current and stale, from the right agent and others.
Event Draw(std::mt19937& random, MemberId agent, AttemptId attempt) {
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

class Driver {
 public:
  Driver(std::uint32_t seed, bool repeatable) : random_(seed) {
    const auto target = HandleOf<TargetId>("bookings");
    StepWith(ConfigurationAccepted{
        .configuration = testing::TestRules("service bookings once window 1h # asked by: b\n")});
    StepWith(LinkUp{.member = {.id = agent_, .role = Role::kAgent, .zone = {1}}});
    StepWith(
        AgentReportReceived{.agent = agent_, .report = {.targets = {target}, .free_slots = 9}});
    StepWith(RequestArrived{
        .id = id_, .traits = {.customer = {1}, .target = target, .repeatable = repeatable}});
  }

  void Play() {
    for (std::uint32_t left = random_() % 16; left > 0 && !outcome_; --left) {
      const bool stale = random_() % 4 == 0;
      const AttemptId attempt{.request = id_, .attempt = stale ? attempt_ - 1 : attempt_};
      const MemberId agent = random_() % 8 == 0 ? MemberId{99} : agent_;
      const Event event = Draw(random_, agent, attempt);
      Note(event, attempt, agent);
      StepWith(event);
      if (!linked_) {
        linked_ = true;
        StepWith(LinkUp{.member = {.id = agent_, .role = Role::kAgent, .zone = {1}}});
        StepWith(AgentReportReceived{
            .agent = agent_,
            .report = {.targets = {HandleOf<TargetId>("bookings")}, .free_slots = 9}});
      }
    }
    now_ += std::chrono::hours(1);
    StepWith(LinkDown{.member = agent_});
    truth_.maybe_ran = truth_.maybe_ran || out_;
    StepWith(DrainRequested{});
  }

  void Check() const {
    REQUIRE(outcome_.has_value());
    CHECK(finishes_ == 1);
    if (*outcome_ == Outcome::kComplete) {
      CHECK(truth_.complete);
    }
    if (*outcome_ == Outcome::kNotRun) {
      CHECK(!truth_.maybe_ran);
      CHECK(!truth_.began);
    }
  }

  [[nodiscard]] std::optional<Outcome> outcome() const { return outcome_; }

 private:
  void Note(const Event& event, AttemptId attempt, MemberId agent) {
    const bool current = out_ && attempt.attempt == attempt_ && agent == agent_;
    if (std::holds_alternative<CallerResponseStarted>(event)) {
      truth_.began = true;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event); ended != nullptr && current) {
      truth_.complete = truth_.complete || ended->result == AttemptResult::kComplete;
      truth_.maybe_ran = truth_.maybe_ran || ended->result == AttemptResult::kUnknown;
      out_ = false;
    } else if (std::holds_alternative<LinkDown>(event) && agent == agent_) {
      linked_ = false;
      truth_.maybe_ran = truth_.maybe_ran || out_;
      out_ = false;
    } else if (std::holds_alternative<AttemptQueued>(event) && current && !started_) {
      out_ = false;
    } else if (std::holds_alternative<AttemptStarted>(event) && current) {
      started_ = true;
    }
  }

  void StepWith(const Event& event) {
    for (const auto& action : policy_->Step(now_, std::vector<Event>{event})) {
      if (const auto* offer = std::get_if<SendOffer>(&action)) {
        attempt_ = offer->attempt.attempt;
        out_ = true;
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
  bool out_ = false;
  bool started_ = false;
  bool linked_ = true;
  int finishes_ = 0;
  std::optional<Outcome> outcome_;
  Truth truth_;
};

TEST_CASE("whatever agents say in whatever order, each request gets one outcome, and a true one") {
  std::set<Outcome> seen;
  for (std::uint32_t seed = 1; seed <= 4000; ++seed) {
    INFO("seed " << seed);
    Driver driver(seed, seed % 2 == 0);
    driver.Play();
    driver.Check();
    seen.insert(*driver.outcome());
  }
  CHECK(seen.size() == 3);
}

TEST_CASE("the moves of a request are those of docs/OUTCOMES.md") {
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
