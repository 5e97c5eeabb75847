#include "lagoonwind/policy.h"

#include <doctest/doctest.h>

#include <random>

#include "naive_scheduler.h"

namespace lagoonwind::policy {
namespace {

const CustomerId kErie = HandleOf<CustomerId>("erie");
const CustomerId kHuron = HandleOf<CustomerId>("huron");
const TargetId kCrest = HandleOf<TargetId>("crest");
const MemberId kEntry = HandleOf<MemberId>("entry");

std::shared_ptr<const Configuration> TestConfiguration() {
  const std::string digest(64, 'a');
  auto parsed =
      ParseRules("customer erie share 2 token sha256:" + digest +
                 " # asked by: a\ncustomer huron share 1 token sha256:" + std::string(64, 'b') +
                 " # asked by: b\nmodel crest # asked by: c\n");
  parsed.configuration.offset = 0;
  return std::make_shared<const Configuration>(std::move(parsed.configuration));
}

/// Returns the first action of the type, or null.
template <class ActionType>
const ActionType* FindAction(const std::vector<Action>& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<ActionType>(&action)) {
      return found;
    }
  }
  return nullptr;
}

Time At(std::int64_t milliseconds) { return Time(std::chrono::milliseconds(milliseconds)); }

AttemptId Attempt(std::uint64_t number) {
  return AttemptId{.request = {.entry = {1}, .number = number}, .attempt = 1};
}

/// An agent with a reachable engine and an accepted configuration.
std::unique_ptr<Policy> ReadyAgent() {
  auto agent = MakePolicy({.role = Role::kAgent, .name = "agent"});
  const std::vector<Event> events{
      ConfigurationAccepted{.configuration = TestConfiguration()},
      BackendObserved{.reachable = true, .incarnation = 1, .targets = {kCrest}}};
  agent->Step(At(0), events);
  return agent;
}

TEST_CASE("an agent grants each slot to the least served customer, as the naive scheduler does") {
  auto agent = ReadyAgent();
  testing::NaiveScheduler naive;
  naive.AddCustomer(kErie, 2);
  naive.AddCustomer(kHuron, 1);
  naive.SetBacklogged(kErie, true);
  naive.SetBacklogged(kHuron, true);
  std::mt19937 random(3);
  const DemandReported demand{.entry = kEntry,
                              .demand = {{.customer = kErie, .target = kCrest, .count = 5},
                                         {.customer = kHuron, .target = kCrest, .count = 5}}};
  auto actions = agent->Step(At(0), std::vector<Event>{demand});
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const auto* grant = FindAction<SendGrant>(actions);
    REQUIRE(grant != nullptr);
    if (naive.Gap() > 0) {
      CHECK(grant->customer == naive.Next());
    }
    const CustomerId customer = grant->customer;
    const double cost = 1.0 + static_cast<double>(random() % 50);
    const std::vector<Event> execution{
        OfferReceived{.entry = kEntry,
                      .attempt = Attempt(i),
                      .traits = {.customer = customer, .target = kCrest},
                      .grant = grant->grant},
        ServiceAccrued{.attempt = Attempt(i), .service = cost},
        AttemptFinished{.attempt = Attempt(i), .result = AttemptResult::kComplete}, demand};
    actions = agent->Step(At(static_cast<std::int64_t>(i) * 10), execution);
    naive.Charge(customer, cost);
  }
  CHECK(naive.Gap() < 51);
}

TEST_CASE("a draining agent refuses new attempts without starting them") {
  auto agent = ReadyAgent();
  const std::vector<Event> events{
      DrainRequested{},
      OfferReceived{
          .entry = kEntry, .attempt = Attempt(1), .traits = {.customer = kErie, .target = kCrest}}};
  const auto actions = agent->Step(At(1), events);
  REQUIRE(FindAction<RefuseAttempt>(actions) != nullptr);
  CHECK(FindAction<RefuseAttempt>(actions)->reason == Reason::kDraining);
  CHECK(FindAction<StartAttempt>(actions) == nullptr);
}

TEST_CASE("a request that may not be repeated ends as unknown when the link is lost") {
  for (const bool repeatable : {false, true}) {
    auto entry = MakePolicy({.role = Role::kEntry, .name = "entry"});
    const auto agent = HandleOf<MemberId>("agent");
    const RequestId id{.entry = {1}, .number = 1};
    const std::vector<Event> events{
        ConfigurationAccepted{.configuration = TestConfiguration()},
        LinkUp{.member = {.id = agent, .name = "agent", .role = Role::kAgent}},
        AgentReportReceived{.agent = agent, .report = {.targets = {kCrest}, .free_slots = 1}},
        RequestArrived{.id = id,
                       .traits = {.customer = kErie, .target = kCrest, .repeatable = repeatable}}};
    REQUIRE(FindAction<SendOffer>(entry->Step(At(0), events)) != nullptr);
    const std::vector<Event> link_down{LinkDown{.member = agent}};
    const auto actions = entry->Step(At(1), link_down);
    const auto* finish = FindAction<FinishRequest>(actions);
    CHECK((finish != nullptr) == !repeatable);
    if (finish != nullptr) {
      CHECK(finish->outcome == Outcome::kUnknown);
    }
  }
}

TEST_CASE("two agents with the same events make the same decisions") {
  auto first = ReadyAgent();
  auto second = ReadyAgent();
  const std::vector<Event> demand{DemandReported{
      .entry = kEntry, .demand = {{.customer = kErie, .target = kCrest, .count = 5}}}};
  const auto first_actions = first->Step(At(3), demand);
  const auto second_actions = second->Step(At(3), demand);
  REQUIRE(first_actions.size() == second_actions.size());
  CHECK(FindAction<SendGrant>(first_actions)->grant ==
        FindAction<SendGrant>(second_actions)->grant);
}

}  // namespace
}  // namespace lagoonwind::policy
