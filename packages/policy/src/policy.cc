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

ControllerList EntryControllers(const PolicyOptions& options) {
  ControllerList list;
  AddCommonControllers(list);
  list.push_back(MakeRetryController(options));
  list.push_back(MakeRoutingController());
  return list;
}

ControllerList AgentControllers(const PolicyOptions& options) {
  ControllerList list;
  AddCommonControllers(list);
  list.push_back(options.fixed_concurrency_limit > 0 ? MakeFixedLimitController()
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
  BlackboardPolicy(const PolicyOptions& options, ControllerList controllers)
      : controllers_(std::move(controllers)) {
    board_.options = options;
    board_.self = HandleOf<MemberId>(options.name);
    board_.zone = HandleOf<ZoneId>(options.zone);
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
    absl::btree_map<CustomerId, CustomerStats> stats_by_customer;
    for (const auto& [id, request] : board_.requests) {
      auto& customer_stats = stats_by_customer[request.traits.customer];
      ++(request.phase == RequestPhase::kRunning ? customer_stats.running : customer_stats.waiting);
    }
    for (const auto& [id, attempt] : board_.running) {
      ++stats_by_customer[attempt.traits.customer].running;
    }
    for (const auto& [key, demand] : board_.demand) {
      stats_by_customer[key.customer].waiting += demand.count;
    }
    for (const auto& [customer, service] : board_.service) {
      stats_by_customer[customer].service = service;
    }
    for (auto& [customer, customer_stats] : stats_by_customer) {
      customer_stats.customer = customer;
      stats.running += customer_stats.running;
      stats.waiting += customer_stats.waiting;
      stats.customers.push_back(customer_stats);
    }
  }

  Blackboard board_;
  ControllerList controllers_;
  ActionList actions_;
};

}  // namespace

void Controller::OnEvent(const Event& /*event*/, Blackboard& /*board*/, ActionList& /*actions*/) {}

void Controller::Update(Blackboard& /*board*/, ActionList& /*actions*/) {}

std::unique_ptr<Policy> MakePolicy(const PolicyOptions& options) {
  return std::make_unique<BlackboardPolicy>(options, options.role == Role::kEntry
                                                         ? EntryControllers(options)
                                                         : AgentControllers(options));
}

}  // namespace lagoonwind::policy
