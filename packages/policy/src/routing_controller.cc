#include <algorithm>
#include <ranges>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Places an entry's requests: offers each to an agent with room, answers grants with the oldest
/// fitting request, and tells agents what waits.
class RoutingController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      OnArrived(*arrived, board, actions);
    } else if (const auto* grant = std::get_if<GrantReceived>(&event)) {
      OnGrant(*grant, board, actions);
    } else if (const auto* reported = std::get_if<AgentReported>(&event)) {
      AgentState& agent = board.agents[reported->agent];
      agent.report = reported->report;
      agent.offered = 0;
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      board.agents.erase(down->member);
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    PlaceFreshRequests(board, actions);
    ExpireWaiting(board, actions);
    SendDemands(board, actions);
  }

 private:
  static void OnArrived(const RequestArrived& arrived, Blackboard& board, ActionList& actions) {
    const auto refuse = [&](Reason reason) {
      actions.Add(FinishRequest{.id = arrived.id, .outcome = Outcome::kNotRun, .reason = reason});
      board.Record({.kind = DecisionKind::kRequestRefused,
                    .request = arrived.id,
                    .customer = arrived.traits.customer,
                    .reason = reason});
    };
    if (board.Closed()) {
      refuse(board.ClosedReason());
      return;
    }
    const auto rule = board.configuration->customers.find(arrived.traits.customer);
    const auto waiting = WaitingOf(board, arrived.traits.customer);
    if (rule != board.configuration->customers.end() && waiting >= rule->second.queue) {
      refuse(Reason::kQueueFull);
      return;
    }
    board.requests[arrived.id] = OwnedRequest{.traits = arrived.traits, .arrived = board.now};
  }

  static std::size_t WaitingOf(const Blackboard& board, CustomerId customer) {
    return static_cast<std::size_t>(std::ranges::count_if(board.requests, [&](const auto& item) {
      const OwnedRequest& request = item.second;
      return request.traits.customer == customer && request.phase == RequestPhase::kWaiting;
    }));
  }

  static void OnGrant(const GrantReceived& grant, Blackboard& board, ActionList& actions) {
    const auto fits = [&](const auto& item) {
      const OwnedRequest& request = item.second;
      return request.phase == RequestPhase::kWaiting && request.traits.customer == grant.customer &&
             request.traits.target == grant.target;
    };
    const auto found = std::ranges::find_if(board.requests, fits);
    if (found == board.requests.end()) {
      actions.Add(SendDecline{.agent = grant.agent, .grant = grant.grant});
      return;
    }
    Offer(found->first, found->second, grant.agent, grant.grant, board, actions);
  }

  static void Offer(RequestId id, OwnedRequest& request, MemberId agent, GrantId grant,
                    Blackboard& board, ActionList& actions) {
    request.phase = RequestPhase::kOffered;
    request.agent = agent;
    ++request.attempt;
    const AttemptId attempt{.request = id, .attempt = request.attempt};
    actions.Add(SendOffer{.agent = agent, .attempt = attempt, .grant = grant});
    board.Record({.kind = DecisionKind::kRequestOffered,
                  .request = id,
                  .customer = request.traits.customer,
                  .member = agent,
                  .value = static_cast<double>(request.attempt)});
  }

  static bool Usable(const Blackboard& board, MemberId id, const AgentState& agent) {
    const auto member = board.members.find(id);
    return member != board.members.end() && member->second.linked && !agent.report.draining &&
           !member->second.member.leaving &&
           !board.configuration->ZoneOut(member->second.member.zone);
  }

  /// Offers requests that no agent has seen yet to the agent with the most room.
  static void PlaceFreshRequests(Blackboard& board, ActionList& actions) {
    for (auto& [id, request] : board.requests) {
      if (request.phase != RequestPhase::kWaiting) {
        continue;
      }
      const MemberId best = BestAgent(board, request.traits.target);
      if (best.valid()) {
        ++board.agents[best].offered;
        Offer(id, request, best, GrantId{}, board, actions);
      }
    }
  }

  static MemberId BestAgent(const Blackboard& board, TargetId target) {
    MemberId best;
    std::uint32_t most = 0;
    for (const auto& [id, agent] : board.agents) {
      const std::uint32_t room =
          agent.report.free > agent.offered ? agent.report.free - agent.offered : 0;
      if (room > most && std::ranges::count(agent.report.targets, target) > 0 &&
          Usable(board, id, agent)) {
        most = room;
        best = id;
      }
    }
    return best;
  }

  static void ExpireWaiting(Blackboard& board, ActionList& actions) {
    absl::erase_if(board.requests, [&](const auto& item) {
      const auto& [id, request] = item;
      if (request.phase != RequestPhase::kWaiting ||
          board.now - request.arrived < limits::kMaxQueueWait) {
        return false;
      }
      actions.Add(
          FinishRequest{.id = id, .outcome = Outcome::kNotRun, .reason = Reason::kWaitExpired});
      return true;
    });
  }

  static std::vector<Demand> DemandFor(const Blackboard& board, const AgentState& agent) {
    std::vector<Demand> list;
    for (const auto& [id, request] : board.requests) {
      if (request.phase != RequestPhase::kWaiting ||
          std::ranges::count(agent.report.targets, request.traits.target) == 0) {
        continue;
      }
      const RequestTraits& traits = request.traits;
      const auto same = [&traits](const Demand& demand) {
        return demand.customer == traits.customer && demand.target == traits.target;
      };
      auto found = std::ranges::find_if(list, same);
      if (found == list.end()) {
        list.push_back(Demand{.customer = request.traits.customer,
                              .target = request.traits.target,
                              .oldest_age = board.now - request.arrived});
        found = std::prev(list.end());
      }
      ++found->count;
    }
    return list;
  }

  /// Tells each agent what changed since it was last told. Ages alone are no change.
  static void SendDemands(Blackboard& board, ActionList& actions) {
    for (auto& [id, agent] : board.agents) {
      std::vector<Demand> current = DemandFor(board, agent);
      std::vector<Demand> changes = Changes(agent.told, current);
      if (!changes.empty()) {
        actions.Add(SendDemand{.agent = id, .demand = std::move(changes)});
      }
      agent.told = std::move(current);
    }
  }

  static std::vector<Demand> Changes(std::span<const Demand> before,
                                     std::span<const Demand> after) {
    const auto find = [](std::span<const Demand> list, const Demand& key) {
      return std::ranges::find_if(list, [&](const Demand& demand) {
        return demand.customer == key.customer && demand.target == key.target;
      });
    };
    std::vector<Demand> changes;
    std::ranges::copy_if(after, std::back_inserter(changes), [&](const Demand& demand) {
      const auto old = find(before, demand);
      return old == before.end() || old->count != demand.count;
    });
    for (const auto& old : before) {
      if (find(after, old) == after.end()) {
        changes.push_back(Demand{.customer = old.customer, .target = old.target});
      }
    }
    return changes;
  }
};

}  // namespace

std::unique_ptr<Controller> MakeRoutingController() {
  return std::make_unique<RoutingController>();
}

}  // namespace lagoonwind::policy
