#include "fleet_bench.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

namespace lagoonwind::bench {
namespace {

using policy::Action;
using policy::Event;

constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Duration kObserveInterval = std::chrono::milliseconds(500);
/// Time from the start of the crashing request until its backend server crashes.
constexpr Duration kCrashDelay = std::chrono::milliseconds(50);
/// Delay between a response to the crashing request and its next submission.
constexpr Duration kResendDelay = std::chrono::milliseconds(100);
const CustomerId kCustomer = HandleOf<CustomerId>("erie");
const TargetId kTarget = HandleOf<TargetId>("orders");
constexpr Digest kCrashingDigest{1};

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::shared_ptr<const Configuration> Rules() {
  constexpr std::uint32_t kQueue = 100'000;
  Configuration rules{.offset = 0};
  rules.customers[kCustomer] = CustomerRule{.name = "erie", .max_queued = kQueue};
  rules.targets[kTarget] = TargetRule{.name = "orders", .is_model = false};
  return std::make_shared<const Configuration>(std::move(rules));
}

/// A simulated entry or agent: its policy and the events to pass to it in the next step.
struct Node {
  policy::Member member;
  std::unique_ptr<policy::Policy> policy;
  std::vector<Event> inbox;
};

struct Execution {
  MemberId entry;
  Time started;
  Time ends;
  bool crashes = false;
  bool fails = false;
};

/// A simulated backend server and its running executions.
struct Backend {
  std::uint64_t incarnation = 1;
  std::map<AttemptId, Execution> executions;
};

struct Caller {
  policy::RequestTraits traits;
  Time sent;
  /// Remaining resubmissions of the request.
  int resends = 0;
  bool executed = false;
};

class FleetBench {
 public:
  explicit FleetBench(const FleetOptions& options) : options_(options), random_(options.seed) {
    for (int i = 0; i < options.entries; ++i) {
      AddNode(policy::Role::kEntry, i);
    }
    for (int i = 0; i < options.agents; ++i) {
      AddNode(policy::Role::kAgent, i);
    }
    Connect();
  }

  FleetResult Run() {
    for (now_ = Time{}; now_ < Time{} + options_.length; now_ += kTick) {
      SendRequests();
      DisconnectTimedOutCallers();
      for (auto& [id, backend] : backends_) {
        Advance(id, backend);
      }
      Observe();
      Deliver();
      for (auto& [id, node] : nodes_) {
        Step(node);
      }
    }
    for (const auto& [id, node] : nodes_) {
      result_.retries_denied += node.policy->stats().retries_denied;
    }
    result_.mean_seconds /= static_cast<double>(std::max<std::uint64_t>(result_.complete, 1));
    return result_;
  }

 private:
  void AddNode(policy::Role role, int index) {
    const bool entry = role == policy::Role::kEntry;
    const std::string name = (entry ? "entry-" : "agent-") + std::to_string(index);
    const auto id = HandleOf<MemberId>(name);
    nodes_[id] = Node{.member = {.id = id, .name = name, .role = role},
                      .policy = policy::MakePolicy({.role = role,
                                                    .name = name,
                                                    .incarnation = {id.value},
                                                    .seed = options_.seed + id.value,
                                                    .retry_ratio = options_.retry_ratio})};
    (entry ? entries_ : agents_).push_back(id);
    if (!entry) {
      backends_[id] = Backend{};
    }
  }

  void Connect() {
    for (auto& [id, node] : nodes_) {
      node.inbox.emplace_back(policy::ConfigurationAccepted{.configuration = Rules()});
      for (const MemberId peer : Peers(node)) {
        node.inbox.emplace_back(
            policy::LinkUp{.member = nodes_[peer].member, .incarnation = {peer.value}});
      }
    }
  }

  [[nodiscard]] const std::vector<MemberId>& Peers(const Node& node) const {
    return node.member.role == policy::Role::kEntry ? agents_ : entries_;
  }

  void Send(MemberId to, Event event) {
    in_transit_.emplace(now_ + options_.link_delay, std::pair(to, std::move(event)));
  }

  void Deliver() {
    while (!in_transit_.empty() && in_transit_.begin()->first <= now_) {
      auto& [to, event] = in_transit_.begin()->second;
      nodes_[to].inbox.push_back(std::move(event));
      in_transit_.erase(in_transit_.begin());
    }
  }

  // Callers.

  void SendRequests() {
    if (now_ == Time{} + std::chrono::seconds(5)) {
      for (int copy = 0; copy < options_.crashing_submissions * options_.crashing_copies;
           copy += std::max(options_.crashing_submissions, 1)) {
        SendRequest(kCrashingDigest, options_.crashing_submissions - 1);
      }
    }
    while (!resends_.empty() && resends_.begin()->first <= now_) {
      SendRequest(kCrashingDigest, resends_.begin()->second);
      resends_.erase(resends_.begin());
    }
    const double expected = options_.requests_per_second * Seconds(kTick);
    std::poisson_distribution<int> arrivals(expected);
    for (int i = arrivals(random_); i > 0; --i) {
      constexpr std::uint64_t kFirstOrdinaryDigest = 1000;
      SendRequest(Digest{kFirstOrdinaryDigest + last_request_number_}, 0);
    }
  }

  void SendRequest(Digest digest, int resends) {
    const MemberId entry = entries_[next_entry_++ % entries_.size()];
    const RequestId id{.entry = {entry.value}, .number = ++last_request_number_};
    const policy::RequestTraits traits{.customer = kCustomer, .target = kTarget, .digest = digest};
    callers_[id] = Caller{.traits = traits, .sent = now_, .resends = resends};
    ++result_.sent;
    nodes_[entry].inbox.emplace_back(policy::RequestArrived{.id = id, .traits = traits});
  }

  void DisconnectTimedOutCallers() {
    std::erase_if(callers_, [&](const auto& item) {
      const auto& [id, caller] = item;
      if (now_ - caller.sent < options_.caller_timeout) {
        return false;
      }
      nodes_[MemberId{id.entry.value}].inbox.emplace_back(policy::CallerDisconnected{.id = id});
      ++result_.abandoned;
      return true;
    });
  }

  void Finish(const policy::FinishRequest& finish) {
    const auto found = callers_.find(finish.id);
    if (found == callers_.end()) {
      return;
    }
    const Caller caller = found->second;
    callers_.erase(found);
    if (finish.outcome == policy::Outcome::kComplete) {
      ++result_.complete;
      result_.mean_seconds += Seconds(now_ - caller.sent);
    } else {
      const bool not_run = finish.outcome == policy::Outcome::kNotRun;
      ++(not_run ? result_.not_run : result_.unknown);
      result_.false_not_run += not_run && caller.executed ? 1 : 0;
    }
    if (caller.traits.digest == kCrashingDigest) {
      const bool quarantined = finish.reason == policy::Reason::kQuarantined;
      ++(quarantined ? result_.crashing_quarantined : result_.crashing_unknown);
      if (caller.resends > 0) {
        resends_.emplace(now_ + kResendDelay, caller.resends - 1);
      }
    }
  }

  // Backend servers.

  void Start(MemberId agent, const policy::StartAttempt& start) {
    Backend& backend = backends_[agent];
    std::uniform_real_distribution<double> factor(1 - options_.jitter, 1 + options_.jitter);
    const double load =
        static_cast<double>(backend.executions.size() + 1) / options_.concurrency_capacity;
    const Duration length(
        static_cast<std::int64_t>(static_cast<double>(options_.execution_time.count()) *
                                  factor(random_) * std::max(load, 1.0)));
    const auto caller = callers_.find(start.attempt.request);
    const bool crashes =
        caller != callers_.end() && caller->second.traits.digest == kCrashingDigest;
    const bool brownout =
        now_ >= Time{} + options_.brownout_start && now_ < Time{} + options_.brownout_end;
    const bool fails = brownout && std::bernoulli_distribution(options_.failure_ratio)(random_);
    if (caller != callers_.end()) {
      caller->second.executed = true;
    }
    ++result_.executions;
    backend.executions[start.attempt] = Execution{.entry = start.entry,
                                                  .started = now_,
                                                  .ends = now_ + (crashes ? kCrashDelay : length),
                                                  .crashes = crashes,
                                                  .fails = fails};
    Send(start.entry, policy::AttemptStarted{.agent = agent, .attempt = start.attempt});
  }

  void Advance(MemberId agent, Backend& backend) {
    for (auto item = backend.executions.begin(); item != backend.executions.end();) {
      if (item->second.ends > now_) {
        ++item;
      } else if (item->second.crashes) {
        Crash(agent, backend);
        return;
      } else {
        FinishExecution(agent, item->first, item->second);
        item = backend.executions.erase(item);
      }
    }
  }

  void FinishExecution(MemberId agent, AttemptId id, const Execution& execution) {
    if (execution.fails) {
      End(agent, id, execution, policy::AttemptResult::kUnknown, policy::Reason::kBackendFailed);
      return;
    }
    nodes_[agent].inbox.emplace_back(policy::ServiceAccrued{
        .attempt = id, .service = 1, .tokens = 1, .generation_time = now_ - execution.started});
    End(agent, id, execution, policy::AttemptResult::kComplete, policy::Reason::kNone);
  }

  void Crash(MemberId agent, Backend& backend) {
    ++result_.crashes;
    ++backend.incarnation;
    const auto executions = std::exchange(backend.executions, {});
    const auto reason =
        options_.quarantine ? policy::Reason::kBackendCrashed : policy::Reason::kBackendFailed;
    for (const auto& [id, execution] : executions) {
      End(agent, id, execution, policy::AttemptResult::kUnknown, reason);
    }
  }

  void End(MemberId agent, AttemptId id, const Execution& execution, policy::AttemptResult result,
           policy::Reason reason) {
    nodes_[agent].inbox.emplace_back(
        policy::AttemptFinished{.attempt = id, .result = result, .reason = reason});
    Send(execution.entry,
         policy::AttemptEnded{.agent = agent, .attempt = id, .result = result, .reason = reason});
  }

  void Observe() {
    if ((now_ - Time{}) % kObserveInterval != Duration{0}) {
      return;
    }
    for (const auto& [id, backend] : backends_) {
      nodes_[id].inbox.emplace_back(policy::BackendObserved{
          .reachable = true,
          .incarnation = backend.incarnation,
          .targets = {kTarget},
          .running = static_cast<std::uint32_t>(backend.executions.size())});
    }
  }

  // Policies.

  void Step(Node& node) {
    const std::vector<Event> events = std::exchange(node.inbox, {});
    for (const Action& action : node.policy->Step(now_, events)) {
      if (const auto* suspects = std::get_if<policy::SendSuspects>(&action)) {
        for (const MemberId peer : Peers(node)) {
          Send(peer, policy::SuspectsReceived{.suspects = suspects->suspects});
        }
      }
      node.member.role == policy::Role::kEntry ? EntryAction(node.member.id, action)
                                               : AgentAction(node.member.id, action);
    }
  }

  void EntryAction(MemberId entry, const Action& action) {
    if (const auto* offer = std::get_if<policy::SendOffer>(&action)) {
      const auto caller = callers_.find(offer->attempt.request);
      const auto traits = caller == callers_.end()
                              ? policy::RequestTraits{.customer = kCustomer, .target = kTarget}
                              : caller->second.traits;
      Send(offer->agent,
           policy::OfferReceived{
               .entry = entry, .attempt = offer->attempt, .traits = traits, .grant = offer->grant});
    } else if (const auto* cancel = std::get_if<policy::SendCancel>(&action)) {
      Send(cancel->agent, policy::CancelReceived{.attempt = cancel->attempt});
    } else if (const auto* decline = std::get_if<policy::SendDecline>(&action)) {
      Send(decline->agent, policy::GrantDeclined{.entry = entry, .grant = decline->grant});
    } else if (const auto* demand = std::get_if<policy::SendDemand>(&action)) {
      Send(demand->agent, policy::DemandReported{.entry = entry, .demand = demand->demand});
    } else if (const auto* finish = std::get_if<policy::FinishRequest>(&action)) {
      Finish(*finish);
    }
  }

  void AgentAction(MemberId agent, const Action& action) {
    if (const auto* start = std::get_if<policy::StartAttempt>(&action)) {
      Start(agent, *start);
    } else if (const auto* queue = std::get_if<policy::QueueAttempt>(&action)) {
      Send(queue->entry, policy::AttemptQueued{.agent = agent, .attempt = queue->attempt});
    } else if (const auto* refuse = std::get_if<policy::RefuseAttempt>(&action)) {
      Send(refuse->entry, policy::AttemptEnded{.agent = agent,
                                               .attempt = refuse->attempt,
                                               .result = policy::AttemptResult::kNotRun,
                                               .reason = refuse->reason});
    } else if (const auto* cancel = std::get_if<policy::CancelAttempt>(&action)) {
      backends_[agent].executions.erase(cancel->attempt);
      nodes_[agent].inbox.emplace_back(
          policy::AttemptFinished{.attempt = cancel->attempt,
                                  .result = policy::AttemptResult::kUnknown,
                                  .reason = policy::Reason::kCallerLeft});
    } else if (const auto* grant = std::get_if<policy::SendGrant>(&action)) {
      Send(grant->entry, policy::GrantReceived{.agent = agent,
                                               .grant = grant->grant,
                                               .customer = grant->customer,
                                               .target = grant->target});
    } else if (const auto* report = std::get_if<policy::SendAgentReport>(&action)) {
      for (const MemberId entry : entries_) {
        Send(entry, policy::AgentReportReceived{.agent = agent, .report = report->report});
      }
    }
  }

  FleetOptions options_;
  std::mt19937_64 random_;
  Time now_;
  std::map<MemberId, Node> nodes_;
  std::vector<MemberId> entries_;
  std::vector<MemberId> agents_;
  std::map<MemberId, Backend> backends_;
  std::map<RequestId, Caller> callers_;
  std::multimap<Time, int> resends_;
  std::multimap<Time, std::pair<MemberId, Event>> in_transit_;
  std::uint64_t last_request_number_ = 0;
  std::size_t next_entry_ = 0;
  FleetResult result_;
};

}  // namespace

FleetResult RunFleetBench(const FleetOptions& options) { return FleetBench(options).Run(); }

}  // namespace lagoonwind::bench
