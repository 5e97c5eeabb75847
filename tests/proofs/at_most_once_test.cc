#include <doctest/doctest.h>

#include "fault_world.h"

namespace lagoonwind::testing {
namespace {

constexpr std::uint32_t kSchedules = 1000;

struct Totals {
  int requests = 0;
  int complete = 0;
  int not_run = 0;
  int refused_by_log = 0;
  int replayed_responses = 0;
};

/// Each idempotency key, and each request without one, is executed at most once.
void CheckExecutedOnce(const FaultWorld& world) {
  std::map<std::string, int> by_key;
  std::map<RequestId, int> by_request;
  for (const auto& execution : world.executions()) {
    const bool keyed = !execution.key.empty();
    const int times = keyed ? ++by_key[execution.key] : ++by_request[execution.request];
    CHECK(times == 1);
  }
}

void CheckResult(const FaultWorld& world, RequestId id, const RequestResult& result,
                 Totals& totals) {
  ++totals.requests;
  CHECK((result.outcome.has_value() || result.entry_died));
  CHECK(result.response_heads <= 1);
  const auto executed = std::ranges::find(world.executions(), id, &ServiceExecution::request);
  if (result.outcome == policy::Outcome::kNotRun) {
    ++totals.not_run;
    totals.refused_by_log += result.reason == policy::Reason::kLogUnavailable ? 1 : 0;
    CHECK(executed == world.executions().end());
  }
  if (result.outcome == policy::Outcome::kNotRun && result.reason == policy::Reason::kKeyConflict) {
    CHECK(std::ranges::none_of(world.executions(), [&](const ServiceExecution& execution) {
      return execution.key == result.key && execution.content == result.content &&
             execution.started <= result.finished_at;
    }));
  }
  if (result.outcome == policy::Outcome::kComplete) {
    ++totals.complete;
    totals.replayed_responses += executed == world.executions().end() ? 1 : 0;
    CHECK(std::ranges::any_of(world.executions(), [&](const ServiceExecution& execution) {
      return execution.key == result.key && execution.content == result.content &&
             execution.response == result.response &&
             (!execution.key.empty() || execution.request == id);
    }));
  }
}

/// After all faults, each key has been executed, and a call with it is complete or refused because
/// the key is running or was used with other content.
void CheckFinalCalls(const FaultWorld& world) {
  for (const RequestId id : world.final_calls()) {
    const RequestResult& result = world.results().at(id);
    const bool executed =
        std::ranges::count(world.executions(), result.key, &ServiceExecution::key) > 0;
    CHECK(executed);
    CHECK((result.outcome == policy::Outcome::kComplete ||
           result.reason == policy::Reason::kKeyRunning ||
           result.reason == policy::Reason::kKeyConflict));
  }
}

Totals Explore(FaultOptions options) {
  Totals totals;
  for (std::uint32_t seed = 1; seed <= kSchedules; ++seed) {
    options.seed = seed;
    FaultWorld world(options);
    world.Run();
    INFO("seed " << seed);
    CheckExecutedOnce(world);
    if (!options.kills && options.retain > 1) {
      CheckFinalCalls(world);
    }
    for (const auto& [id, result] : world.results()) {
      CheckResult(world, id, result, totals);
    }
  }
  MESSAGE(totals.requests << " requests, " << totals.complete << " complete, " << totals.not_run
                          << " not run, " << totals.refused_by_log
                          << " of them because the log was unavailable, "
                          << totals.replayed_responses << " responses replayed");
  return totals;
}

TEST_CASE("with all faults, no key is executed twice, and outcomes and responses are correct") {
  const Totals totals = Explore({});
  CHECK(totals.complete > totals.requests / 5);
  CHECK(totals.replayed_responses > 0);
}

TEST_CASE("no key is executed twice if the log drops records within the window") {
  const Totals totals = Explore({.retain = 1});
  CHECK(totals.refused_by_log > 0);
}

TEST_CASE("without agent crashes, no key stays blocked by a call that was not executed") {
  Explore({.kills = false});
}

TEST_CASE("without faults every call with a new key is complete") {
  const Totals totals = Explore({.kills = false,
                                 .cuts = false,
                                 .freezes = false,
                                 .duplicate_messages = false,
                                 .log_faults = false});
  CHECK(totals.complete > totals.requests / 2);
  CHECK(totals.refused_by_log == 0);
}

TEST_CASE("an agent that resumes after its claim may have expired does not run the request") {
  auto agent = policy::MakePolicy({.role = policy::Role::kAgent, .name = "agent"});
  const auto rules = TestRules("service bookings once window 10s # asked by: b\n");
  const auto target = HandleOf<TargetId>("bookings");
  const policy::OfferReceived offer{
      .entry = HandleOf<MemberId>("entry"),
      .attempt = {.request = {.entry = {1}, .number = 1}, .attempt = 1},
      .traits = {.customer = {2}, .target = target, .repeatable = false, .idempotency_key = {8}}};
  agent->Step(Time{}, std::vector<policy::Event>{
                          policy::ConfigurationAccepted{.configuration = rules},
                          policy::BackendObserved{.reachable = true, .targets = {target}}});
  const auto claimed = agent->Step(Time{}, std::vector<policy::Event>{policy::ClaimsRead{}, offer});
  const auto append = std::ranges::find_if(claimed, [](const policy::Action& action) {
    return std::holds_alternative<policy::AppendClaim>(action);
  });
  REQUIRE(append != claimed.end());
  const auto& record = std::get<policy::AppendClaim>(*append).record;
  const std::vector<policy::Event> read_back{
      policy::ClaimAppended{.nonce = record.nonce},
      policy::ClaimsRead{.next_offset = 1, .records = {{.record = record}}}};
  for (const auto& action : agent->Step(Time(std::chrono::hours(1)), read_back)) {
    CHECK(!std::holds_alternative<policy::StartAttempt>(action));
  }
}

}  // namespace
}  // namespace lagoonwind::testing
