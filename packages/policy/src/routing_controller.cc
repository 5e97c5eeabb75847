#include <algorithm>
#include <deque>
#include <ranges>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Group of requests whose demand is reported as one count.
struct DemandGroup {
  CustomerId customer;
  TargetId target;
  auto operator<=>(const DemandGroup&) const = default;
};

/// Dispatches the requests of an entry: offers them to agents with free slots, uses grants for the
/// oldest matching request, and reports demand to agents.
class RoutingController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      OnArrived(*arrived, board, actions);
    } else if (const auto* grant = std::get_if<GrantReceived>(&event)) {
      OnGrant(*grant, board, actions);
    } else if (const auto* reported = std::get_if<AgentReportReceived>(&event)) {
      AgentState& agent = board.agents[reported->agent];
      agent.report = reported->report;
      agent.pending_offers = 0;
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      board.agents.erase(down->member);
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    OfferWaitingRequests(board, actions);
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
    if (board.RefusesNewWork()) {
      refuse(board.RefusalReason());
      return;
    }
    const auto rule = board.configuration->customers.find(arrived.traits.customer);
    const auto waiting = CountWaiting(board, arrived.traits.customer);
    if (rule != board.configuration->customers.end() && waiting >= rule->second.max_queued) {
      refuse(Reason::kQueueFull);
      return;
    }
    board.requests[arrived.id] = OwnedRequest{.traits = arrived.traits, .arrived = board.now};
  }

  static std::size_t CountWaiting(const Blackboard& board, CustomerId customer) {
    return static_cast<std::size_t>(std::ranges::count_if(board.requests, [&](const auto& item) {
      const OwnedRequest& request = item.second;
      return request.traits.customer == customer && request.phase == RequestPhase::kWaiting;
    }));
  }

  static void OnGrant(const GrantReceived& grant, Blackboard& board, ActionList& actions) {
    const auto matches = [&](const auto& item) {
      const OwnedRequest& request = item.second;
      return request.phase == RequestPhase::kWaiting && request.traits.customer == grant.customer &&
             request.traits.target == grant.target;
    };
    const auto found = std::ranges::find_if(board.requests, matches);
    if (found == board.requests.end()) {
      actions.Add(SendDecline{.agent = grant.agent, .grant = grant.grant});
      return;
    }
    Offer(found->first, found->second, grant.agent, grant.grant, board, actions);
  }

  static void Offer(RequestId id, OwnedRequest& request, MemberId agent, GrantId grant,
                    Blackboard& board, ActionList& actions) {
    request.TransitionTo(RequestPhase::kOffered);
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

  static bool IsUsable(const Blackboard& board, MemberId id, const AgentState& agent) {
    const auto member = board.members.find(id);
    return member != board.members.end() && member->second.linked && !agent.report.draining &&
           !member->second.member.leaving &&
           !board.configuration->IsZoneOutOfService(member->second.member.zone);
  }

  /// Queue of a customer's waiting requests in order of arrival.
  struct Queue {
    std::deque<RequestId> waiting;
    /// Number of the customer's requests at agents, divided by its share.
    double placed = 0;
    std::uint32_t share = 1;
  };
  using QueueMap = absl::btree_map<CustomerId, Queue>;

  static QueueMap BuildQueues(const Blackboard& board) {
    QueueMap queues;
    for (const auto& [id, request] : board.requests) {
      const CustomerId customer = request.traits.customer;
      Queue& queue = queues[customer];
      queue.share = board.configuration->Share(customer);
      if (request.phase == RequestPhase::kWaiting) {
        queue.waiting.push_back(id);
      } else if (request.agent.valid()) {
        queue.placed += 1.0 / queue.share;
      }
    }
    absl::erase_if(queues, [](const auto& item) { return item.second.waiting.empty(); });
    return queues;
  }

  static bool AnyFreeSlot(const Blackboard& board) {
    return std::ranges::any_of(board.agents, [](const auto& item) {
      return item.second.report.free_slots > item.second.pending_offers;
    });
  }

  /// Offers waiting requests to the agents with the most free slots while there are any. The
  /// customer with the fewest requests at agents, relative to its share, is served first.
  static void OfferWaitingRequests(Blackboard& board, ActionList& actions) {
    if (!AnyFreeSlot(board)) {
      return;
    }
    QueueMap queues = BuildQueues(board);
    std::vector<TargetId> exhausted;
    while (!queues.empty()) {
      const auto next =
          std::ranges::min_element(queues, {}, [](const auto& item) { return item.second.placed; });
      Queue& queue = next->second;
      const RequestId id = queue.waiting.front();
      queue.waiting.pop_front();
      OwnedRequest& request = board.requests[id];
      const TargetId target = request.traits.target;
      const bool is_exhausted = std::ranges::count(exhausted, target) > 0;
      const MemberId best = is_exhausted ? MemberId{} : BestAgent(board, target);
      if (best.valid()) {
        ++board.agents[best].pending_offers;
        queue.placed += 1.0 / queue.share;
        Offer(id, request, best, GrantId{}, board, actions);
      } else if (!is_exhausted) {
        exhausted.push_back(target);
      }
      if (queue.waiting.empty()) {
        queues.erase(next);
      }
    }
  }

  static MemberId BestAgent(const Blackboard& board, TargetId target) {
    MemberId best;
    std::uint32_t max_free = 0;
    for (const auto& [id, agent] : board.agents) {
      const std::uint32_t free = agent.report.free_slots > agent.pending_offers
                                     ? agent.report.free_slots - agent.pending_offers
                                     : 0;
      if (free > max_free && std::ranges::count(agent.report.targets, target) > 0 &&
          IsUsable(board, id, agent)) {
        max_free = free;
        best = id;
      }
    }
    return best;
  }

  static void ExpireWaiting(Blackboard& board, ActionList& actions) {
    absl::erase_if(board.requests, [&](const auto& item) {
      const auto& [id, request] = item;
      const bool placed =
          request.phase == RequestPhase::kOffered || request.phase == RequestPhase::kRunning;
      if (placed || board.now - request.arrived < limits::kMaxQueueWait) {
        return false;
      }
      actions.Add(FinishRequest{.id = id,
                                .outcome = OutcomeWithoutResponse(request.facts()),
                                .reason = Reason::kWaitExpired});
      return true;
    });
  }

  /// Waiting requests by customer and target, in ascending order.
  static std::vector<Demand> WaitingDemand(const Blackboard& board) {
    absl::btree_map<DemandGroup, Demand> groups;
    for (const auto& [id, request] : board.requests) {
      if (request.phase != RequestPhase::kWaiting) {
        continue;
      }
      const DemandGroup key{.customer = request.traits.customer, .target = request.traits.target};
      Demand& demand =
          groups.try_emplace(key, Demand{.customer = key.customer, .target = key.target})
              .first->second;
      demand.oldest_age = std::max(demand.oldest_age, board.now - request.arrived);
      ++demand.count;
    }
    std::vector<Demand> list;
    std::ranges::transform(groups, std::back_inserter(list),
                           [](const auto& group) { return group.second; });
    return list;
  }

  /// Sends each agent the changes of demand since the last message. Changes of age alone are not
  /// sent.
  void SendDemands(Blackboard& board, ActionList& actions) {
    std::vector<Demand> waiting = WaitingDemand(board);
    const bool changed = !std::ranges::equal(waiting, waiting_demand_, EqualCounts);
    waiting_demand_ = std::move(waiting);
    for (auto& [id, agent] : board.agents) {
      if (!changed && agent.last_sent_targets == agent.report.targets) {
        continue;
      }
      SendDemand(id, agent, actions);
    }
  }

  void SendDemand(MemberId id, AgentState& agent, ActionList& actions) const {
    std::vector<Demand> current;
    std::ranges::copy_if(waiting_demand_, std::back_inserter(current), [&](const Demand& demand) {
      return std::ranges::count(agent.report.targets, demand.target) > 0;
    });
    std::vector<Demand> changes = DiffDemand(agent.last_sent_demand, current);
    if (!changes.empty()) {
      actions.Add(policy::SendDemand{.agent = id, .demand = std::move(changes)});
    }
    agent.last_sent_demand = std::move(current);
    agent.last_sent_targets = agent.report.targets;
  }

  static DemandGroup GroupOf(const Demand& demand) {
    return {.customer = demand.customer, .target = demand.target};
  }

  static bool EqualCounts(const Demand& left, const Demand& right) {
    return GroupOf(left) == GroupOf(right) && left.count == right.count;
  }

  /// Differences between two sorted lists; removed items are returned with a count of zero.
  static std::vector<Demand> DiffDemand(std::span<const Demand> before,
                                        std::span<const Demand> after) {
    std::vector<Demand> changes;
    auto old = before.begin();
    const auto add_removed_until = [&](auto is_reached) {
      for (; old != before.end() && !is_reached(*old); ++old) {
        changes.push_back(Demand{.customer = old->customer, .target = old->target});
      }
    };
    for (const Demand& demand : after) {
      add_removed_until([&](const Demand& item) { return GroupOf(item) >= GroupOf(demand); });
      const bool known = old != before.end() && GroupOf(*old) == GroupOf(demand);
      if (!known || old->count != demand.count) {
        changes.push_back(demand);
      }
      old += known ? 1 : 0;
    }
    add_removed_until([](const Demand&) { return false; });
    return changes;
  }

  std::vector<Demand> waiting_demand_;
};

}  // namespace

std::unique_ptr<Controller> MakeRoutingController() {
  return std::make_unique<RoutingController>();
}

}  // namespace lagoonwind::policy
