#include <doctest/doctest.h>

#include <algorithm>

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {
namespace {

using std::chrono::seconds;

Member Agent(std::string address) {
  return {.id = HandleOf<MemberId>("agent"),
          .name = "agent",
          .role = Role::kAgent,
          .address = std::move(address)};
}

const Member kOtherEntry{.id = HandleOf<MemberId>("other"), .name = "other", .role = Role::kEntry};

template <class ActionType>
const ActionType* Find(const std::vector<Action>& actions) {
  const auto found = std::ranges::find_if(
      actions, [](const Action& action) { return std::holds_alternative<ActionType>(action); });
  return found == actions.end() ? nullptr : &std::get<ActionType>(*found);
}

/// An entry that is linked to one agent.
struct LinkedEntry {
  std::unique_ptr<Policy> entry = MakePolicy({.role = Role::kEntry, .name = "entry"});
  Time now{seconds(1)};

  LinkedEntry() {
    Step(MembersListed{.members = {Agent("a:1")}});
    Step(LinkUp{.member = Agent("a:1"), .incarnation = {1}});
  }
  std::vector<Action> Step(const Event& event) {
    return entry->Step(now, std::vector<Event>{event});
  }
  std::vector<Action> AdvanceAndStep(seconds time) {
    now += time;
    return entry->Step(now, {});
  }
  /// The entry's stats of the agent.
  [[nodiscard]] MemberStats member() const {
    const auto members = entry->stats().members;
    const auto id = [](const MemberStats& row) { return row.member.id; };
    return *std::ranges::find(members, Agent("").id, id);
  }
};

TEST_CASE("an empty or stale host list closes no established link") {
  for (const bool empty : {true, false}) {
    LinkedEntry fleet;
    const MembersListed list{.members = empty ? std::vector<Member>{} : std::vector{kOtherEntry}};
    CHECK_FALSE(Find<CloseLink>(fleet.Step(list)));
    CHECK_FALSE(Find<CloseLink>(fleet.AdvanceAndStep(seconds(600))));
    CHECK(fleet.member().linked);
    // A link that fails now is not dropped at once, so that the runtime can reopen it.
    CHECK_FALSE(Find<CloseLink>(fleet.Step(LinkDown{.member = Agent("").id})));
    CHECK_FALSE(Find<CloseLink>(fleet.AdvanceAndStep(seconds(30))));
    const bool closed = Find<CloseLink>(fleet.AdvanceAndStep(seconds(31))) != nullptr;
    CHECK(closed == !empty);
  }
}

TEST_CASE("a member whose address changed is connected to at the new address") {
  LinkedEntry fleet;
  CHECK_FALSE(Find<OpenLink>(fleet.Step(MembersListed{.members = {Agent("b:2")}})));
  const auto actions = fleet.Step(LinkDown{.member = Agent("").id});
  REQUIRE(Find<OpenLink>(actions));
  CHECK(Find<OpenLink>(actions)->member.address == "b:2");
}

TEST_CASE("a leaving message takes effect at once and ends with the incarnation that sent it") {
  LinkedEntry fleet;
  fleet.Step(MemberLeaving{.member = Agent("").id});
  CHECK(fleet.member().member.leaving);
  fleet.Step(MembersListed{.members = {Agent("a:1")}});
  CHECK(fleet.member().member.leaving);
  fleet.Step(LinkUp{.member = Agent("a:1"), .incarnation = {1}});
  CHECK(fleet.member().member.leaving);
  fleet.Step(LinkUp{.member = Agent("a:1"), .incarnation = {2}});
  CHECK_FALSE(fleet.member().member.leaving);
}

TEST_CASE("an agent that announced leaving gets no new request") {
  LinkedEntry fleet;
  auto parsed = ParseRules("model crest # asked by: c\n");
  parsed.configuration.offset = 0;
  fleet.Step(ConfigurationAccepted{
      std::make_shared<const Configuration>(std::move(parsed.configuration))});
  const auto crest = HandleOf<TargetId>("crest");
  fleet.Step(
      AgentReportReceived{.agent = Agent("").id, .report = {.targets = {crest}, .free_slots = 9}});
  const auto arrive = [&](std::uint64_t number) {
    return fleet.Step(
        RequestArrived{.id = {.entry = {1}, .number = number}, .traits = {.target = crest}});
  };
  CHECK(Find<SendOffer>(arrive(1)));
  fleet.Step(MemberLeaving{.member = Agent("").id});
  CHECK_FALSE(Find<SendOffer>(arrive(2)));
}

TEST_CASE("a draining process announces leaving to all members, also those that link later") {
  LinkedEntry fleet;
  CHECK(Find<SendLeaving>(fleet.Step(DrainRequested{})));
  const auto actions = fleet.Step(LinkUp{.member = kOtherEntry, .incarnation = {1}});
  REQUIRE(Find<SendLeaving>(actions));
  CHECK(Find<SendLeaving>(actions)->member == kOtherEntry.id);
}

TEST_CASE("a process refuses new work while the platform lists it as leaving") {
  LinkedEntry fleet;
  Member self{.id = HandleOf<MemberId>("entry"), .name = "entry", .leaving = true};
  fleet.Step(MembersListed{.members = {self}});
  CHECK(fleet.entry->stats().refusal_reason == Reason::kDraining);
  self.leaving = false;
  fleet.Step(MembersListed{.members = {self}});
  CHECK(fleet.entry->stats().refusal_reason == Reason::kNone);
}

}  // namespace
}  // namespace lagoonwind::policy
