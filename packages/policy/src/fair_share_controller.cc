#include <algorithm>
#include <optional>

#include "controller.h"
#include "lagoonwind/limits.h"
#include "service_estimator.h"

namespace lagoonwind::policy {
namespace {

/// Charges service to customers as it accrues, and grants free slots to the backlogged customer
/// with the least service per share.
class FairShareController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    if (const auto* accrued = std::get_if<ServiceAccrued>(&event)) {
      OnAccrued(*accrued, board);
    } else if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      OnFinished(*finished, board);
    } else if (const auto* reported = std::get_if<DemandReported>(&event)) {
      OnDemand(*reported, board);
    } else if (const auto* declined = std::get_if<GrantDeclined>(&event)) {
      OnDeclined(*declined, board);
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      OnLinkDown(*down, board);
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    ExpireGrants(board);
    UpdateInFlight(board);
    while (board.FreeSlots() > 0) {
      const auto next = SelectLeastServed(board);
      if (!next) {
        return;
      }
      Grant(*next, board, actions);
    }
  }

 private:
  static void OnAccrued(const ServiceAccrued& accrued, Blackboard& board) {
    const auto found = board.running.find(accrued.attempt);
    if (found == board.running.end()) {
      return;
    }
    found->second.service += accrued.service;
    board.service[found->second.traits.customer] += accrued.service;
  }

  static void OnFinished(const AttemptFinished& finished, Blackboard& board) {
    const auto found = board.running.find(finished.attempt);
    if (found != board.running.end() && found->second.service > 0) {
      board.costs.AddSample(found->second.traits.customer, found->second.service);
    }
  }

  static void OnDemand(const DemandReported& reported, Blackboard& board) {
    for (const auto& demand : reported.demand) {
      const DemandKey key{
          .customer = demand.customer, .target = demand.target, .entry = reported.entry};
      if (demand.count == 0) {
        board.demand.erase(key);
        continue;
      }
      DemandState& state = board.demand[key];
      state.count = demand.count;
      state.oldest = board.now - demand.oldest_age;
      state.agent_count = demand.agent_count;
    }
  }

  static void OnDeclined(const GrantDeclined& declined, Blackboard& board) {
    const auto grant = board.grants.find(declined.grant);
    if (grant == board.grants.end()) {
      return;
    }
    board.Record({.kind = DecisionKind::kGrantDeclined,
                  .customer = grant->second.demand.customer,
                  .member = declined.entry});
    board.demand.erase(grant->second.demand);
    board.grants.erase(grant);
  }

  static void OnLinkDown(const LinkDown& down, Blackboard& board) {
    absl::erase_if(board.demand, [&](const auto& item) { return item.first.entry == down.member; });
    absl::erase_if(board.grants,
                   [&](const auto& item) { return item.second.demand.entry == down.member; });
  }

  static void ReleaseDemand(const DemandKey& key, Blackboard& board) {
    const auto demand = board.demand.find(key);
    if (demand != board.demand.end() && demand->second.granted > 0) {
      --demand->second.granted;
    }
  }

  static void ExpireGrants(Blackboard& board) {
    absl::erase_if(board.grants, [&](const auto& item) {
      const GrantState& grant = item.second;
      if (grant.expires > board.now) {
        return false;
      }
      ReleaseDemand(grant.demand, board);
      ++board.counters.grants_expired;
      board.Record({.kind = DecisionKind::kGrantExpired,
                    .customer = grant.demand.customer,
                    .member = grant.demand.entry});
      return true;
    });
  }

  /// Recomputes the expected remaining service of running attempts and granted requests.
  static void UpdateInFlight(Blackboard& board) {
    for (auto& [customer, account] : board.accounts) {
      account.in_flight = 0;
    }
    const CostEstimate estimate = board.options.fair_share.cost_estimate;
    for (const auto& [id, attempt] : board.running) {
      const CustomerId customer = attempt.traits.customer;
      const double remaining = board.costs.ExpectedCost(customer, estimate) - attempt.service;
      board.accounts[customer].in_flight += std::max(remaining, 0.0);
    }
    for (const auto& [id, grant] : board.grants) {
      const CustomerId customer = grant.demand.customer;
      board.accounts[customer].in_flight += board.costs.ExpectedCost(customer, estimate);
    }
  }

  static std::optional<DemandKey> SelectLeastServed(const Blackboard& board) {
    const ServiceEstimator estimator(board);
    std::optional<DemandKey> best;
    double least = 0;
    Time oldest;
    CustomerId customer;
    double service = 0;
    for (const auto& [key, demand] : board.demand) {
      if (demand.granted >= demand.count || !board.Serves(key.target)) {
        continue;
      }
      if (key.customer != customer) {
        customer = key.customer;
        service = estimator.ServicePerShare(customer);
      }
      if (!best || service < least || (service == least && demand.oldest < oldest)) {
        best = key;
        least = service;
        oldest = demand.oldest;
      }
    }
    return best;
  }

  void Grant(const DemandKey& key, Blackboard& board, ActionList& actions) {
    const GrantId id{CombineHashes(board.options.incarnation.value, ++last_grant_)};
    board.grants[id] = GrantState{.demand = key, .expires = board.now + limits::kGrantTimeout};
    ++board.demand[key].granted;
    ++board.counters.grants_sent;
    actions.Add(
        SendGrant{.entry = key.entry, .grant = id, .customer = key.customer, .target = key.target});
    board.Record({.kind = DecisionKind::kGrantSent,
                  .customer = key.customer,
                  .member = key.entry,
                  .value = board.LocalService(key.customer)});
    board.accounts[key.customer].in_flight +=
        board.costs.ExpectedCost(key.customer, board.options.fair_share.cost_estimate);
  }

  std::uint64_t last_grant_ = 0;
};

}  // namespace

std::unique_ptr<Controller> MakeFairShareController() {
  return std::make_unique<FairShareController>();
}

}  // namespace lagoonwind::policy
