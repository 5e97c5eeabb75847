#include "virtual_fleet.h"

#include <algorithm>
#include <ctime>
#include <iterator>
#include <numeric>

#include "lagoonwind/limits.h"

namespace lagoonwind::testing {
namespace {

using namespace std::chrono_literals;
using policy::Event;

constexpr Duration kTick = 100ms;
constexpr Duration kMinDelay = 1ms;
constexpr std::uint64_t kDelaySpreadUs = 2000;
constexpr Duration kResetDelay = 10ms;
const TargetId kCrest = HandleOf<TargetId>("crest");

std::pair<std::size_t, std::size_t> LinkKey(std::size_t first, std::size_t second) {
  return {std::min(first, second), std::max(first, second)};
}

std::shared_ptr<const Configuration> MakeRules(const VirtualFleetOptions& options) {
  Configuration rules{.offset = 0};
  rules.targets[kCrest] = TargetRule{.name = "crest"};
  for (const auto& customer : options.customers) {
    rules.customers[HandleOf<CustomerId>(customer.name)] =
        CustomerRule{.name = customer.name, .share = customer.share};
  }
  return std::make_shared<const Configuration>(std::move(rules));
}

std::chrono::nanoseconds ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

std::vector<std::mt19937_64> MakeCostStreams(const VirtualFleetOptions& options) {
  std::vector<std::mt19937_64> streams;
  for (std::size_t i = 0; i < options.customers.size(); ++i) {
    streams.emplace_back(CombineHashes(options.seed, i + 1));
  }
  return streams;
}

double DrawHeavyTailedCost(std::mt19937_64& random, double mean) {
  constexpr double kSigma = 1.0;
  std::lognormal_distribution<double> cost(-kSigma * kSigma / 2, kSigma);
  return mean * cost(random);
}

double Spread(std::span<const double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto [least, most] = std::ranges::minmax(values);
  return most - least;
}

VirtualFleet::VirtualFleet(VirtualFleetOptions options)
    : options_(std::move(options)),
      now_(1s),
      random_(options_.seed),
      costs_(MakeCostStreams(options_)),
      service_(options_.customers.size()),
      rules_(MakeRules(options_)) {
  for (std::size_t i = 0; i < options_.customers.size(); ++i) {
    customer_index_[HandleOf<CustomerId>(options_.customers[i].name)] = i;
  }
  nodes_.resize(options_.entries + options_.agents);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const std::string name = (IsEntry(i) ? "entry-" : "agent-") + std::to_string(i);
    nodes_[i].member = {.id = HandleOf<MemberId>(name),
                        .name = name,
                        .role = IsEntry(i) ? policy::Role::kEntry : policy::Role::kAgent,
                        .address = name};
    index_[nodes_[i].member.id] = i;
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    StartNode(i);
    Schedule(Duration(random_() % static_cast<std::uint64_t>(kTick.count())),
             [this, i] { Tick(i); });
  }
}

std::vector<policy::Member> VirtualFleet::LiveMembers() const {
  std::vector<policy::Member> members;
  for (const auto& node : nodes_) {
    if (node.alive) {
      members.push_back(node.member);
    }
  }
  return members;
}

void VirtualFleet::StartNode(std::size_t index) {
  Node& node = nodes_[index];
  node.incarnation = {CombineHashes(options_.seed, ++last_incarnation_) | 1U};
  node.policy = policy::MakePolicy({.role = node.member.role,
                                    .name = node.member.name,
                                    .incarnation = node.incarnation,
                                    .seed = node.incarnation.value,
                                    .fixed_concurrency_limit = options_.slots,
                                    .fair_share = options_.fair_share});
  node.alive = true;
  node.idle_counted_until = now_;
  std::vector<Event> events{policy::ConfigurationAccepted{.configuration = rules_},
                            policy::MembersListed{.members = LiveMembers()}};
  if (!IsEntry(index)) {
    events.emplace_back(
        policy::BackendObserved{.reachable = true, .incarnation = 1, .targets = {kCrest}});
  }
  Step(index, events);
}

void VirtualFleet::Schedule(Duration delay, std::function<void()> callback) {
  scheduled_tasks_.push(
      Task{.at = now_ + delay, .sequence = ++last_sequence_, .callback = std::move(callback)});
}

void VirtualFleet::RunUntil(Time until) {
  while (!scheduled_tasks_.empty() && scheduled_tasks_.top().at <= until) {
    const Task task = scheduled_tasks_.top();
    scheduled_tasks_.pop();
    now_ = task.at;
    task.callback();
  }
  now_ = until;
}

void VirtualFleet::Tick(std::size_t index) {
  Node& node = nodes_[index];
  Schedule(kTick, [this, index] { Tick(index); });
  if (index == 0) {
    CheckLinks();
  }
  if (!node.alive) {
    return;
  }
  std::vector<Event> events;
  if (IsEntry(index)) {
    TickEntry(index, events);
  } else {
    TickAgent(index, events);
  }
  if (node.frozen) {
    std::ranges::move(events, std::back_inserter(node.held_events));
    return;
  }
  OpenWantedLinks(index);
  Step(index, events);
}

void VirtualFleet::TickAgent(std::size_t index, std::vector<Event>& events) {
  Node& node = nodes_[index];
  AccumulateIdleTime(node);
  const double slice = options_.rate * std::chrono::duration<double>(kTick).count();
  for (auto it = node.executions.begin(); it != node.executions.end();) {
    auto& [id, execution] = *it;
    const double given = std::min(slice, execution.remaining);
    execution.remaining -= given;
    service_[execution.customer] += given;
    if (!std::exchange(execution.response_started, true)) {
      events.emplace_back(policy::BackendResponseStarted{.attempt = id});
    }
    events.emplace_back(policy::ServiceAccrued{.attempt = id, .service = given});
    if (execution.remaining > 0) {
      ++it;
      continue;
    }
    events.emplace_back(
        policy::AttemptFinished{.attempt = id, .result = policy::AttemptResult::kComplete});
    Send(index, nodes_[execution.entry].member.id,
         policy::AttemptEnded{
             .agent = node.member.id, .attempt = id, .result = policy::AttemptResult::kComplete});
    it = node.executions.erase(it);
  }
}

void VirtualFleet::AccumulateIdleTime(Node& node) {
  const double time = std::chrono::duration<double>(now_ - node.idle_counted_until).count();
  node.idle_counted_until = now_;
  const auto has_waiting = [](const Node& other) {
    return std::ranges::any_of(other.waiting,
                               [](const auto& item) { return !item.second.empty(); });
  };
  const std::span entries(nodes_.data(), options_.entries);
  slot_seconds_ += options_.slots * time;
  if (node.executions.size() < options_.slots && std::ranges::any_of(entries, has_waiting)) {
    idle_slot_seconds_ += static_cast<double>(options_.slots - node.executions.size()) * time;
  }
}

double VirtualFleet::IdleRatio() const {
  return slot_seconds_ > 0 ? idle_slot_seconds_ / slot_seconds_ : 0;
}

void VirtualFleet::TickEntry(std::size_t index, std::vector<Event>& events) {
  Node& node = nodes_[index];
  for (std::size_t i = 0; i < options_.customers.size(); ++i) {
    const VirtualCustomer& customer = options_.customers[i];
    if (now_ < customer.from || std::ranges::count(customer.entries, index) == 0) {
      continue;
    }
    auto& waiting = node.waiting[i];
    while (waiting.size() < customer.depth) {
      const RequestId id{.entry = node.incarnation, .number = ++node.last_request};
      waiting.insert(id);
      node.customer_by_request[id] = i;
      events.emplace_back(policy::RequestArrived{
          .id = id, .traits = {.customer = HandleOf<CustomerId>(customer.name), .target = kCrest}});
    }
  }
}

void VirtualFleet::Step(std::size_t index, std::span<const Event> events) {
  const auto before = ThreadTime();
  const auto actions = nodes_[index].policy->Step(now_, events);
  nodes_[index].processor_time += ThreadTime() - before;
  for (const auto& action : actions) {
    if (observer_) {
      observer_(nodes_[index].member.id, action);
    }
    Execute(index, action);
  }
}

void VirtualFleet::Deliver(std::size_t index, Event event) {
  Node& node = nodes_[index];
  if (!node.alive) {
    return;
  }
  if (node.frozen) {
    node.held_events.push_back(std::move(event));
    return;
  }
  Step(index, std::span(&event, 1));
}

void VirtualFleet::Send(std::size_t from, MemberId to, Event event) {
  const std::size_t target = index_.at(to);
  const auto key = LinkKey(from, target);
  const auto link = links_.find(key);
  if (link == links_.end() || nodes_[from].partition != nodes_[target].partition) {
    return;
  }
  const std::uint64_t number = link->second;
  // All messages of a link have the same delay, which preserves their order.
  const Duration delay = kMinDelay + Duration(number % kDelaySpreadUs);
  Schedule(delay, [this, target, key, number, event = std::move(event)] {
    const auto found = links_.find(key);
    if (found != links_.end() && found->second == number) {
      Deliver(target, event);
    }
  });
}

bool VirtualFleet::Reachable(std::size_t first, std::size_t second) const {
  const Node& a = nodes_[first];
  const Node& b = nodes_[second];
  return a.alive && b.alive && !a.frozen && !b.frozen && a.partition == b.partition;
}

void VirtualFleet::OpenWantedLinks(std::size_t index) {
  for (const std::size_t peer : nodes_[index].wanted_peers) {
    const auto key = LinkKey(index, peer);
    if (links_.contains(key) || !Reachable(index, peer)) {
      continue;
    }
    links_[key] = CombineHashes(options_.seed, ++last_link_);
    DeliverLinkUp(index, peer);
    DeliverLinkUp(peer, index);
  }
}

void VirtualFleet::DeliverLinkUp(std::size_t to, std::size_t peer) {
  const policy::LinkUp up{.member = nodes_[peer].member, .incarnation = nodes_[peer].incarnation};
  Schedule(kMinDelay, [this, to, up] { Deliver(to, up); });
}

void VirtualFleet::DeliverLinkDown(std::size_t to, std::size_t peer, Duration delay) {
  const policy::LinkDown down{.member = nodes_[peer].member.id};
  Schedule(delay, [this, to, down] { Deliver(to, down); });
}

void VirtualFleet::Unlink(std::size_t first, std::size_t second, Duration delay) {
  links_.erase(LinkKey(first, second));
  DeliverLinkDown(first, second, delay);
  DeliverLinkDown(second, first, delay);
}

void VirtualFleet::CheckLinks() {
  std::vector<std::pair<std::size_t, std::size_t>> lost;
  for (const auto& [key, number] : links_) {
    if (Reachable(key.first, key.second)) {
      broken_since_.erase(key);
    } else if (now_ - broken_since_.try_emplace(key, now_).first->second >= limits::kLinkTimeout) {
      lost.push_back(key);
    }
  }
  for (const auto& [first, second] : lost) {
    broken_since_.erase({first, second});
    Unlink(first, second, Duration(0));
  }
}

void VirtualFleet::Kill(std::size_t node) {
  nodes_[node].alive = false;
  nodes_[node].policy.reset();
  nodes_[node].executions.clear();
  nodes_[node].waiting.clear();
  nodes_[node].customer_by_request.clear();
  nodes_[node].wanted_peers.clear();
  nodes_[node].held_events.clear();
  std::vector<std::size_t> peers;
  for (const auto& [key, number] : links_) {
    if (key.first == node || key.second == node) {
      peers.push_back(key.first == node ? key.second : key.first);
    }
  }
  for (const std::size_t peer : peers) {
    Unlink(node, peer, kResetDelay);
  }
}

void VirtualFleet::Restart(std::size_t node) {
  Kill(node);
  // Peers learn of the lost links before the new incarnation opens its own.
  Schedule(2 * kResetDelay, [this, node] { StartNode(node); });
}

void VirtualFleet::SetFrozen(std::size_t node, bool frozen) {
  nodes_[node].frozen = frozen;
  if (!frozen && nodes_[node].alive) {
    const auto held_events = std::exchange(nodes_[node].held_events, {});
    Step(node, held_events);
  }
}

void VirtualFleet::Execute(std::size_t index, const policy::Action& action) {
  if (const auto* open = std::get_if<policy::OpenLink>(&action)) {
    nodes_[index].wanted_peers.insert(index_.at(open->member.id));
  } else if (const auto* close = std::get_if<policy::CloseLink>(&action)) {
    const std::size_t peer = index_.at(close->member);
    nodes_[index].wanted_peers.erase(peer);
    if (links_.contains(LinkKey(index, peer))) {
      Unlink(index, peer, kResetDelay);
    }
  } else if (IsEntry(index)) {
    ExecuteEntry(index, action);
  } else {
    ExecuteAgent(index, action);
  }
}

void VirtualFleet::ExecuteEntry(std::size_t index, const policy::Action& action) {
  Node& node = nodes_[index];
  const MemberId self = node.member.id;
  if (const auto* offer = std::get_if<policy::SendOffer>(&action)) {
    const std::size_t customer = node.customer_by_request.at(offer->attempt.request);
    Send(index, offer->agent,
         policy::OfferReceived{
             .entry = self,
             .attempt = offer->attempt,
             .traits = {.customer = HandleOf<CustomerId>(options_.customers[customer].name),
                        .target = kCrest},
             .grant = offer->grant});
  } else if (const auto* decline = std::get_if<policy::SendDecline>(&action)) {
    Send(index, decline->agent, policy::GrantDeclined{.entry = self, .grant = decline->grant});
  } else if (const auto* demand = std::get_if<policy::SendDemand>(&action)) {
    Send(index, demand->agent, policy::DemandReported{.entry = self, .demand = demand->demand});
  } else if (const auto* finish = std::get_if<policy::FinishRequest>(&action)) {
    if (const auto found = node.customer_by_request.find(finish->id);
        found != node.customer_by_request.end()) {
      node.waiting[found->second].erase(finish->id);
      node.customer_by_request.erase(found);
    }
  }
}

void VirtualFleet::ExecuteAgent(std::size_t index, const policy::Action& action) {
  Node& node = nodes_[index];
  const MemberId self = node.member.id;
  if (const auto* start = std::get_if<policy::StartAttempt>(&action)) {
    Start(index, *start);
  } else if (const auto* queue = std::get_if<policy::QueueAttempt>(&action)) {
    Send(index, queue->entry, policy::AttemptQueued{.agent = self, .attempt = queue->attempt});
  } else if (const auto* refuse = std::get_if<policy::RefuseAttempt>(&action)) {
    Send(index, refuse->entry,
         policy::AttemptEnded{.agent = self,
                              .attempt = refuse->attempt,
                              .result = policy::AttemptResult::kNotRun,
                              .reason = refuse->reason});
  } else if (const auto* cancel = std::get_if<policy::CancelAttempt>(&action)) {
    if (node.executions.erase(cancel->attempt) > 0) {
      Schedule(Duration(1), [this, index, attempt = cancel->attempt] {
        Deliver(index, policy::AttemptFinished{.attempt = attempt});
      });
    }
  } else if (const auto* grant = std::get_if<policy::SendGrant>(&action)) {
    Send(index, grant->entry,
         policy::GrantReceived{.agent = self,
                               .grant = grant->grant,
                               .customer = grant->customer,
                               .target = grant->target});
  } else if (const auto* ledger = std::get_if<policy::SendLedgerReport>(&action)) {
    Send(index, ledger->owner,
         policy::LedgerReportReceived{.agent = self, .report = ledger->report});
  } else if (const auto* totals = std::get_if<policy::SendLedgerTotals>(&action)) {
    Send(index, totals->agent,
         policy::LedgerTotalsReceived{.owner = self, .totals = totals->totals});
  } else if (const auto* report = std::get_if<policy::SendAgentReport>(&action)) {
    for (std::size_t entry = 0; entry < options_.entries; ++entry) {
      Send(index, nodes_[entry].member.id,
           policy::AgentReportReceived{.agent = self, .report = report->report});
    }
  }
}

void VirtualFleet::Start(std::size_t index, const policy::StartAttempt& start) {
  const std::size_t entry = index_.at(start.entry);
  const auto found = nodes_[entry].customer_by_request.find(start.attempt.request);
  if (found != nodes_[entry].customer_by_request.end()) {
    const std::size_t customer = found->second;
    AccumulateIdleTime(nodes_[index]);
    nodes_[entry].waiting[customer].erase(start.attempt.request);
    nodes_[index].executions[start.attempt] =
        Execution{.entry = entry, .customer = customer, .remaining = DrawCost(customer)};
    Send(index, start.entry,
         policy::AttemptStarted{.agent = nodes_[index].member.id, .attempt = start.attempt});
    return;
  }
  // The entry has restarted meanwhile, so the execution ends at once.
  Schedule(Duration(1), [this, index, attempt = start.attempt] {
    Deliver(index, policy::AttemptFinished{.attempt = attempt});
  });
}

double VirtualFleet::DrawCost(std::size_t customer) {
  return DrawHeavyTailedCost(costs_[customer], options_.customers[customer].mean_cost);
}

std::vector<double> VirtualFleet::ServicePerShare() const {
  std::vector<double> values(service_);
  for (std::size_t i = 0; i < values.size(); ++i) {
    values[i] /= options_.customers[i].share;
  }
  return values;
}

}  // namespace lagoonwind::testing
