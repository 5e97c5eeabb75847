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
constexpr seconds kFaultTime{20};
constexpr seconds kQuietTime{140};

/// Keys that share two claim streams.
std::vector<std::string> Keys() {
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

bool FaultWorld::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

Duration FaultWorld::Between(int least_ms, int most_ms) {
  return milliseconds(std::uniform_int_distribution<>(least_ms, most_ms)(random_));
}

void FaultWorld::After(Duration delay, std::function<void()> what) {
  agenda_.emplace(now_ + delay, std::move(what));
}

void FaultWorld::Run() {
  const auto keys = Keys();
  for (std::size_t i = 0; i < 3 * kKeys; ++i) {
    const std::string key = Chance(0.9) ? keys[i % kKeys] : "";
    const std::string content = Chance(0.9) ? "body of " + key : "other body";
    After(Between(0, 15'000), [this, key, content] { Call(key, content); });
  }
  After(Between(0, 1000), [this] { StrikeAtRandom(); });
  Advance(Time(kFaultTime), milliseconds(50));
  faults_ = false;
  log_down_ = false;
  for (const auto& key : keys) {
    After(Between(20'000, 40'000), [this, key] { Call(key, "body of " + key); });
  }
  Advance(Time(kFaultTime + kQuietTime), milliseconds(500));
}

void FaultWorld::Advance(Time until, Duration step) {
  while (now_ < until) {
    const Time next = now_ + step;
    while (!agenda_.empty() && agenda_.begin()->first <= next) {
      const auto item = agenda_.extract(agenda_.begin());
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
  node.thaw = Time{};
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
      Cut(node.role == policy::Role::kEntry ? node : *other,
          node.role == policy::Role::kEntry ? *other : node);
    }
  }
  node.policy = nullptr;
  node.inbox.clear();
  for (auto& [id, fate] : fates_) {
    const bool lost = id.entry == node.incarnation && !fate.outcome;
    fate.entry_died = fate.entry_died || lost;
  }
  After(Between(100, 3000), [this, &node] { Start(node); });
}

void FaultWorld::Link(Node& entry, Node& agent) {
  Cut(entry, agent);
  Deliver(entry, policy::LinkUp{.member = agent.member(), .incarnation = agent.incarnation});
  Deliver(agent, policy::LinkUp{.member = entry.member(), .incarnation = entry.incarnation});
}

void FaultWorld::Cut(Node& entry, Node& agent) {
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
  const int copies = options_.doubled_messages && faults_ && Chance(0.05) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    After(Between(1, 20), [this, &entry, &to, agent, epoch, event] {
      if (entry.epochs[agent] == epoch) {
        Deliver(to, event);
      }
    });
  }
}

void FaultWorld::Step(Node& node) {
  if (node.policy == nullptr || now_ < node.thaw) {
    return;
  }
  const auto events = std::exchange(node.inbox, {});
  for (const auto& action : node.policy->Step(now_, events)) {
    Execute(node, action);
  }
}

void FaultWorld::StrikeAtRandom() {
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
        Cut(entry, agent);
        After(Between(50, 3000), [this, &entry, &agent] {
          if (entry.policy != nullptr && agent.policy != nullptr) {
            Link(entry, agent);
          }
        });
      }
      break;
    case 2:
      victim.thaw = options_.freezes ? now_ + Between(100, 8000) : victim.thaw;
      break;
    case 3:
      if (options_.log_faults) {
        log_down_ = true;
        After(Between(100, 3000), [this] { log_down_ = false; });
      }
      break;
    default:
      if (options_.drains && alive) {
        Deliver(victim, policy::DrainRequested{});
      }
  }
  After(Between(100, 2000), [this] { StrikeAtRandom(); });
}

void FaultWorld::Execute(Node& node, const policy::Action& action) {
  if (const auto* append = std::get_if<policy::AppendClaim>(&action)) {
    Append(node, *append);
  } else if (const auto* read = std::get_if<policy::ReadClaims>(&action)) {
    Read(node, *read);
  } else if (const auto* start = std::get_if<policy::StartAttempt>(&action)) {
    RunCall(node, start->entry, start->attempt);
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
    Answer(node, repeat->entry, repeat->attempt, repeat->response->body);
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
    RequestFate& fate = fates_.at(finish->id);
    fate.outcome = finish->outcome;
    fate.reason = finish->reason;
    fate.told = now_;
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
  const auto reply = [this, &node, incarnation](policy::Event event) {
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
    After(Between(1, 5), [reply, failure] { reply(failure(true)); });
    return;
  }
  const bool lossy = options_.log_faults && faults_;
  if (lossy && Chance(0.15)) {
    // The answer is lost; the record is lost too, takes effect, or does so late.
    After(Between(5, 200), [reply, failure] { reply(failure(false)); });
    if (Chance(0.7)) {
      After(Between(1, 3000), [this, append] { Store(append); });
    }
    return;
  }
  After(Between(1, 10), [this, append, reply] {
    Store(append);
    const LogStream& stream = log_[append.stream];
    const std::int64_t offset = stream.first + static_cast<std::int64_t>(stream.records.size()) - 1;
    After(Between(1, 10), [=] {
      reply(policy::ClaimAppended{.stream = append.stream,
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
  constexpr std::size_t kMost = 4;
  const std::uint64_t incarnation = node.incarnation.value;
  const bool fails = log_down_ || (options_.log_faults && faults_ && Chance(0.05));
  After(Between(1, 10), [=, this, &node] {
    const LogStream& stream = log_[read.stream];
    const auto next = stream.first + static_cast<std::int64_t>(stream.records.size());
    policy::ClaimsRead answer{
        .stream = read.stream, .first_offset = stream.first, .next_offset = next};
    for (auto at = std::max(read.from, stream.first); at < next && answer.records.size() < kMost;
         ++at) {
      const auto& [written, record] = stream.records[at - stream.first];
      answer.records.push_back({.offset = at, .age = now_ - written, .record = record});
    }
    if (options_.log_faults && faults_ && answer.records.size() > 1 && Chance(0.1)) {
      answer.records.erase(answer.records.begin());
    }
    const int copies = options_.doubled_messages && faults_ && Chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      After(Between(1, 50), [=, this, &node] {
        if (node.incarnation.value != incarnation) {
          return;
        }
        if (fails) {
          Deliver(node, policy::ClaimsReadFailed{.stream = read.stream});
        } else {
          Deliver(node, answer);
        }
      });
    }
  });
}

}  // namespace lagoonwind::testing
