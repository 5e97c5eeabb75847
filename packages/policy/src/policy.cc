#include "lagoonwind/policy.h"

#include <absl/container/btree_map.h>

#include <algorithm>
#include <array>
#include <utility>

#include "blackboard.h"
#include "controller.h"

namespace lagoonwind::policy {
namespace {

using ControllerList = std::vector<std::unique_ptr<Controller>>;

void AddCommonControllers(ControllerList& list) {
  list.push_back(MakeMembershipController());
  list.push_back(MakeConfigurationController());
  list.push_back(MakeZoneController());
  list.push_back(MakeLogReaderController());
  list.push_back(MakeConfigurationGossipController());
  list.push_back(MakeQuarantineController());
}

ControllerList EntryControllers(const PolicyOptions& init) {
  ControllerList list;
  AddCommonControllers(list);
  list.push_back(MakeRetryController(init));
  list.push_back(MakeRoutingController());
  return list;
}

ControllerList AgentControllers(const PolicyOptions& init) {
  ControllerList list;
  AddCommonControllers(list);
  list.push_back(init.fixed_concurrency_limit > 0 ? MakeFixedLimitController()
                                                  : MakeAdaptiveLimitController());
  list.push_back(MakeLedgerController());
  list.push_back(MakeFairShareController());
  list.push_back(MakeClaimsController());
  list.push_back(MakeAdmissionController());
  list.push_back(MakeReportController());
  return list;
}

/// Policy composed of the controllers of one role, which share a blackboard.
class BlackboardPolicy final : public Policy {
 public:
  BlackboardPolicy(const PolicyOptions& init, ControllerList controllers)
      : controllers_(std::move(controllers)) {
    board_.options = init;
    board_.self = HandleOf<MemberId>(init.name);
    board_.zone = HandleOf<ZoneId>(init.zone);
  }

  std::vector<Action> Step(Time now, std::span<const Event> events) override {
    board_.now = now;
    for (const auto& event : events) {
      for (const auto& controller : controllers_) {
        controller->OnEvent(event, board_, actions_);
      }
    }
    for (const auto& controller : controllers_) {
      controller->Update(board_, actions_);
    }
    return actions_.Take();
  }

  [[nodiscard]] Stats stats() const override {
    Stats stats = board_.counters;
    stats.configuration_offset = board_.configuration->offset;
    stats.draining = board_.draining;
    stats.refusal_reason = board_.RefusalReason();
    stats.is_log_reader = board_.log.is_reader;
    stats.concurrency_limit = board_.backend.concurrency_limit;
    stats.quarantined = static_cast<std::uint32_t>(std::ranges::count_if(
        board_.suspects, [](const auto& item) { return item.second.quarantined(); }));
    FillCustomers(stats);
    for (const auto& [id, state] : board_.members) {
      stats.members.push_back(MemberStats{.member = state.member, .linked = state.linked});
    }
    return stats;
  }

  [[nodiscard]] std::vector<Decision> FindDecisions(RequestId request, CustomerId customer,
                                                    MemberId member) const override {
    return member == board_.self ? board_.decisions.All()
                                 : board_.decisions.Find(request, customer, member);
  }

 private:
  void FillCustomers(Stats& stats) const {
    absl::btree_map<CustomerId, CustomerStats> rows;
    for (const auto& [id, request] : board_.requests) {
      auto& row = rows[request.traits.customer];
      ++(request.phase == RequestPhase::kRunning ? row.running : row.waiting);
    }
    for (const auto& [id, attempt] : board_.running) {
      ++rows[attempt.traits.customer].running;
    }
    for (const auto& [key, demand] : board_.demand) {
      rows[key.customer].waiting += demand.count;
    }
    for (const auto& [customer, service] : board_.service) {
      rows[customer].service = service;
    }
    for (auto& [customer, row] : rows) {
      row.customer = customer;
      stats.running += row.running;
      stats.waiting += row.waiting;
      stats.customers.push_back(row);
    }
  }

  Blackboard board_;
  ControllerList controllers_;
  ActionList actions_;
};

}  // namespace

void Controller::OnEvent(const Event& /*event*/, Blackboard& /*board*/, ActionList& /*actions*/) {}

void Controller::Update(Blackboard& /*board*/, ActionList& /*actions*/) {}

std::unique_ptr<Policy> MakePolicy(const PolicyOptions& init) {
  return std::make_unique<BlackboardPolicy>(
      init, init.role == Role::kEntry ? EntryControllers(init) : AgentControllers(init));
}

}  // namespace lagoonwind::policy
