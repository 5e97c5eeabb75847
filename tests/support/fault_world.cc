#include "fault_world.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "claim_table.h"

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAgents = 3;
constexpr int kEntries = 2;
constexpr std::size_t kKeys = 6;
constexpr seconds kFaultPhase{20};
constexpr seconds kRecoveryPhase{140};

/// Idempotency keys whose claims all fall into streams 0 and 1, so that streams are shared.
std::vector<std::string> KeysOnTwoStreams() {
  std::vector<std::string> keys;
  for (int i = 0; keys.size() < kKeys; ++i) {
    const std::string key = "key-" + std::to_string(i);
    if (policy::ClaimTable::StreamOf(HandleOf<Digest>(key)) < 2) {
      keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace

std::shared_ptr<const Configuration> TestRules(const std::string& targets) {
  const std::string digest(64, 'a');
  auto parsed =
      ParseRules("customer erie share 1 token sha256:" + digest + " # asked by: a\n" + targets);
  parsed.configuration.offset = 0;
  return std::make_shared<const Configuration>(std::move(parsed.configuration));
}

FaultWorld::FaultWorld(const FaultOptions& options) : options_(options), random_(options.seed) {
  for (int i = 0; i < kAgents + kEntries; ++i) {
    auto node = std::make_unique<Node>();
    node->role = i < kAgents ? policy::Role::kAgent : policy::Role::kEntry;
    node->name = (i < kAgents ? "agent-" : "entry-") + std::to_string(i);
    nodes_.push_back(std::move(node));
  }
  for (const auto& node : nodes_) {
    Start(*node);
  }
}

FaultWorld::~FaultWorld() = default;

bool FaultWorld::RandomBool(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

Duration FaultWorld::RandomDelay(int min_ms, int max_ms) {
  return milliseconds(std::uniform_int_distribution<>(min_ms, max_ms)(random_));
}

void FaultWorld::Schedule(Duration delay, std::function<void()> callback) {
  scheduled_tasks_.emplace(now_ + delay, std::move(callback));
}

void FaultWorld::Run() {
  const auto keys = KeysOnTwoStreams();
  for (std::size_t i = 0; i < 3 * kKeys; ++i) {
    const std::string key = RandomBool(0.9) ? keys[i % kKeys] : "";
    const std::string content = RandomBool(0.9) ? "body of " + key : "other body";
    Schedule(RandomDelay(0, 15'000), [this, key, content] { Call(key, content); });
  }
  Schedule(RandomDelay(0, 1000), [this] { InjectRandomFault(); });
  Advance(Time(kFaultPhase), milliseconds(50));
  faults_ = false;
  log_down_ = false;
  for (const auto& key : keys) {
    Schedule(RandomDelay(20'000, 40'000), [this, key] { Call(key, "body of " + key); });
  }
  Advance(Time(kFaultPhase + kRecoveryPhase), milliseconds(500));
}

void FaultWorld::Advance(Time until, Duration step) {
  while (now_ < until) {
    const Time next = now_ + step;
    while (!scheduled_tasks_.empty() && scheduled_tasks_.begin()->first <= next) {
      const auto item = scheduled_tasks_.extract(scheduled_tasks_.begin());
      now_ = std::max(now_, item.key());
      item.mapped()();
      std::ranges::for_each(nodes_, [this](const auto& node) {
        if (!node->inbox.empty()) {
          Step(*node);
        }
      });
    }
    now_ = next;
    std::ranges::for_each(nodes_, [this](const auto& node) { Step(*node); });
    io_.restart();
    io_.poll();
  }
}

void FaultWorld::Start(Node& node) {
  node.incarnation = Incarnation{++last_incarnation_};
  node.policy = policy::MakePolicy(
      {.role = node.role, .name = node.name, .zone = "z", .incarnation = node.incarnation});
  node.frozen_until = Time{};
  Deliver(node, policy::ConfigurationAccepted{
                    .configuration = TestRules("service bookings once window 1h # asked by: b\n")});
  if (node.role == policy::Role::kAgent) {
    Deliver(node,
            policy::BackendObserved{
                .reachable = true, .incarnation = 1, .targets = {HandleOf<TargetId>("bookings")}});
  }
  for (const auto& other : nodes_) {
    const bool pair = other->policy != nullptr && other->role != node.role;
    if (pair && node.role == policy::Role::kEntry) {
      Link(node, *other);
    } else if (pair) {
      Link(*other, node);
    }
  }
}

void FaultWorld::Kill(Node& node) {
  for (const auto& other : nodes_) {
    if (other->role != node.role && other->policy != nullptr) {
      Disconnect(node.role == policy::Role::kEntry ? node : *other,
                 node.role == policy::Role::kEntry ? *other : node);
    }
  }
  node.policy = nullptr;
  node.inbox.clear();
  for (auto& [id, result] : results_) {
    const bool lost = id.entry == node.incarnation && !result.outcome;
    result.entry_died = result.entry_died || lost;
  }
  Schedule(RandomDelay(100, 3000), [this, &node] { Start(node); });
}

void FaultWorld::Link(Node& entry, Node& agent) {
  Disconnect(entry, agent);
  Deliver(entry, policy::LinkUp{.member = agent.member(), .incarnation = agent.incarnation});
  Deliver(agent, policy::LinkUp{.member = entry.member(), .incarnation = entry.incarnation});
}

void FaultWorld::Disconnect(Node& entry, Node& agent) {
  ++entry.epochs[agent.name];
  Deliver(entry, policy::LinkDown{.member = agent.id()});
  Deliver(agent, policy::LinkDown{.member = entry.id()});
}

void FaultWorld::Deliver(Node& to, policy::Event event) {
  if (to.policy != nullptr) {
    to.inbox.push_back(std::move(event));
  }
}

void FaultWorld::Send(Node& from, Node& to, const policy::Event& event) {
  Node& entry = from.role == policy::Role::kEntry ? from : to;
  const std::string& agent = from.role == policy::Role::kEntry ? to.name : from.name;
  const std::uint64_t epoch = entry.epochs[agent];
  const int copies = options_.duplicate_messages && faults_ && RandomBool(0.05) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Schedule(RandomDelay(1, 20), [this, &entry, &to, agent, epoch, event] {
      if (entry.epochs[agent] == epoch) {
        Deliver(to, event);
      }
    });
  }
}

void FaultWorld::Step(Node& node) {
  if (node.policy == nullptr || now_ < node.frozen_until) {
    return;
  }
  const auto events = std::exchange(node.inbox, {});
  for (const auto& action : node.policy->Step(now_, events)) {
    Execute(node, action);
  }
}

void FaultWorld::InjectRandomFault() {
  if (!faults_) {
    return;
  }
  Node& victim = *nodes_[random_() % nodes_.size()];
  const bool alive = victim.policy != nullptr;
  switch (random_() % 5) {
    case 0:
      if (options_.kills && alive) {
        Kill(victim);
      }
      break;
    case 1:
      if (options_.cuts && alive) {
        Node& agent = *nodes_[random_() % kAgents];
        Node& entry = *nodes_[kAgents + random_() % kEntries];
        Disconnect(entry, agent);
        Schedule(RandomDelay(50, 3000), [this, &entry, &agent] {
          if (entry.policy != nullptr && agent.policy != nullptr) {
            Link(entry, agent);
          }
        });
      }
      break;
    case 2:
      victim.frozen_until = options_.freezes ? now_ + RandomDelay(100, 8000) : victim.frozen_until;
      break;
    case 3:
      if (options_.log_faults) {
        log_down_ = true;
        Schedule(RandomDelay(100, 3000), [this] { log_down_ = false; });
      }
      break;
    default:
      if (options_.drains && alive) {
        Deliver(victim, policy::DrainRequested{});
      }
  }
  Schedule(RandomDelay(100, 2000), [this] { InjectRandomFault(); });
}

void FaultWorld::Execute(Node& node, const policy::Action& action) {
  if (const auto* append = std::get_if<policy::AppendClaim>(&action)) {
    Append(node, *append);
  } else if (const auto* read = std::get_if<policy::ReadClaims>(&action)) {
    Read(node, *read);
  } else if (const auto* start = std::get_if<policy::StartAttempt>(&action)) {
    ExecuteCall(node, start->entry, start->attempt);
  } else if (const auto* queue = std::get_if<policy::QueueAttempt>(&action)) {
    Send(node, NodeOf(queue->entry),
         policy::AttemptQueued{.agent = node.id(), .attempt = queue->attempt});
  } else if (const auto* refuse = std::get_if<policy::RefuseAttempt>(&action)) {
    Send(node, NodeOf(refuse->entry),
         policy::AttemptEnded{.agent = node.id(),
                              .attempt = refuse->attempt,
                              .result = refuse->result,
                              .reason = refuse->reason});
  } else if (const auto* repeat = std::get_if<policy::ReplayResponse>(&action)) {
    SendResponse(node, repeat->entry, repeat->attempt, repeat->response->body);
  } else if (const auto* grant = std::get_if<policy::SendGrant>(&action)) {
    Send(node, NodeOf(grant->entry),
         policy::GrantReceived{.agent = node.id(),
                               .grant = grant->grant,
                               .customer = grant->customer,
                               .target = grant->target});
  } else if (const auto* report = std::get_if<policy::SendAgentReport>(&action)) {
    for (int i = kAgents; i < kAgents + kEntries; ++i) {
      Send(node, *nodes_[i],
           policy::AgentReportReceived{.agent = node.id(), .report = report->report});
    }
  } else {
    ExecuteAtEntry(node, action);
  }
}

void FaultWorld::ExecuteAtEntry(Node& node, const policy::Action& action) {
  if (const auto* offer = std::get_if<policy::SendOffer>(&action)) {
    Offer(node, *offer);
  } else if (const auto* cancel = std::get_if<policy::SendCancel>(&action)) {
    Send(node, NodeOf(cancel->agent), policy::CancelReceived{.attempt = cancel->attempt});
  } else if (const auto* decline = std::get_if<policy::SendDecline>(&action)) {
    Send(node, NodeOf(decline->agent),
         policy::GrantDeclined{.entry = node.id(), .grant = decline->grant});
  } else if (const auto* demand = std::get_if<policy::SendDemand>(&action)) {
    Send(node, NodeOf(demand->agent),
         policy::DemandReported{.entry = node.id(), .demand = demand->demand});
  } else if (const auto* finish = std::get_if<policy::FinishRequest>(&action)) {
    RequestResult& result = results_.at(finish->id);
    result.outcome = finish->outcome;
    result.reason = finish->reason;
    result.finished_at = now_;
    requests_.at(finish->id)->Finish({.outcome = finish->outcome, .reason = finish->reason});
  }
}

void FaultWorld::Offer(Node& entry, const policy::SendOffer& offer) {
  const auto request = requests_.at(offer.attempt.request);
  request->BeginAttempt(offer.attempt.attempt);
  Send(entry, NodeOf(offer.agent),
       policy::OfferReceived{.entry = entry.id(),
                             .attempt = offer.attempt,
                             .traits = request->content().traits,
                             .grant = offer.grant});
}

void FaultWorld::Append(Node& node, const policy::AppendClaim& append) {
  const std::uint64_t incarnation = node.incarnation.value;
  const auto deliver_result = [this, &node, incarnation](policy::Event event) {
    if (node.incarnation.value == incarnation) {
      Deliver(node, std::move(event));
    }
  };
  const auto failure = [append](bool certain) {
    return policy::ClaimAppendFailed{.stream = append.stream,
                                     .nonce = append.record.nonce,
                                     .kind = append.record.kind,
                                     .certain = certain};
  };
  if (log_down_) {
    Schedule(RandomDelay(1, 5), [deliver_result, failure] { deliver_result(failure(true)); });
    return;
  }
  const bool may_lose_append = options_.log_faults && faults_;
  if (may_lose_append && RandomBool(0.15)) {
    // The response is lost; the record is lost too or stored, at once or up to 3 s later.
    Schedule(RandomDelay(5, 200), [deliver_result, failure] { deliver_result(failure(false)); });
    if (RandomBool(0.7)) {
      Schedule(RandomDelay(1, 3000), [this, append] { Store(append); });
    }
    return;
  }
  Schedule(RandomDelay(1, 10), [this, append, deliver_result] {
    Store(append);
    const LogStream& stream = log_[append.stream];
    const std::int64_t offset = stream.first + static_cast<std::int64_t>(stream.records.size()) - 1;
    Schedule(RandomDelay(1, 10), [=] {
      deliver_result(policy::ClaimAppended{.stream = append.stream,
                                           .nonce = append.record.nonce,
                                           .kind = append.record.kind,
                                           .offset = offset});
    });
  });
}

void FaultWorld::Store(const policy::AppendClaim& append) {
  LogStream& stream = log_[append.stream];
  stream.records.emplace_back(now_, append.record);
  if (stream.records.size() > options_.retain) {
    stream.records.pop_front();
    ++stream.first;
  }
}

void FaultWorld::Read(Node& node, const policy::ReadClaims& read) {
  constexpr std::size_t kMaxRecords = 4;
  const std::uint64_t incarnation = node.incarnation.value;
  const bool fails = log_down_ || (options_.log_faults && faults_ && RandomBool(0.05));
  Schedule(RandomDelay(1, 10), [=, this, &node] {
    const LogStream& stream = log_[read.stream];
    const auto next = stream.first + static_cast<std::int64_t>(stream.records.size());
    policy::ClaimsRead response{
        .stream = read.stream, .first_offset = stream.first, .next_offset = next};
    for (auto at = std::max(read.from, stream.first);
         at < next && response.records.size() < kMaxRecords; ++at) {
      const auto& [appended_at, record] = stream.records[at - stream.first];
      response.records.push_back({.offset = at, .age = now_ - appended_at, .record = record});
    }
    if (options_.log_faults && faults_ && response.records.size() > 1 && RandomBool(0.1)) {
      response.records.erase(response.records.begin());
    }
    const int copies = options_.duplicate_messages && faults_ && RandomBool(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Schedule(RandomDelay(1, 50), [=, this, &node] {
        if (node.incarnation.value != incarnation) {
          return;
        }
        if (fails) {
          Deliver(node, policy::ClaimsReadFailed{.stream = read.stream});
        } else {
          Deliver(node, response);
        }
      });
    }
  });
}

}  // namespace lagoonwind::testing
