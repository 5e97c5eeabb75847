#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "claim_table.h"
#include "cost_estimator.h"
#include "lagoonwind/policy.h"
#include "lagoonwind/rules_history.h"
#include "outcome_state.h"

namespace lagoonwind::policy {

/// Bounded history of decisions; discards the oldest. Not thread safe.
class DecisionRing {
 public:
  void Add(Decision decision);
  [[nodiscard]] std::vector<Decision> All() const { return {decisions_.begin(), decisions_.end()}; }
  [[nodiscard]] std::vector<Decision> Find(RequestId request, CustomerId customer,
                                           MemberId member) const;

 private:
  std::deque<Decision> decisions_;
};

/// State of another process of the fleet.
struct MemberState {
  Member member;
  bool listed = false;
  bool linked = false;
  bool opening = false;
  Incarnation incarnation;
  /// The member announced that it is draining.
  bool announced_leaving = false;
  /// True if the member was linked at any time since this process started.
  bool ever_linked = false;
  /// Last time at which the member was listed or linked.
  Time last_seen;
};

/// Freshness of the rules stream in the platform's log.
struct LogReadState {
  bool read_known = false;
  /// Latest known complete read of the stream by any process; valid only if `read_known`.
  Time last_read;
  /// True if this process reads the stream itself.
  bool is_reader = false;
  /// Time at which the current read was requested.
  Time read_started;
};

/// A request received by this entry.
struct OwnedRequest {
  RequestTraits traits;
  Time arrived;
  RequestPhase phase = RequestPhase::kWaiting;
  /// Number of the current or last attempt, counted from 1; 0 before the first.
  std::uint32_t attempt = 0;
  /// Number of attempts that may have run.
  std::uint32_t possible_executions = 0;
  /// Agent of the current attempt.
  MemberId agent;
  bool response_started = false;

  [[nodiscard]] OutcomeFacts facts() const {
    return {.phase = phase,
            .may_have_run = possible_executions > 0,
            .response_started = response_started};
  }
  /// Precondition: IsValidTransition(phase, to).
  void TransitionTo(RequestPhase to);
  /// Attempts that count towards limits::kMaxAttempts.
  std::uint32_t counted_attempts = 0;
  /// Start time of the current attempt.
  Time started;
  /// End of the current backoff.
  Time retry_at;
};

/// State of an agent as known to an entry.
struct AgentState {
  AgentReport report;
  /// Offers sent since the last report; `report.free_slots` does not account for them.
  std::uint32_t pending_offers = 0;
  /// Demand last sent to the agent.
  std::vector<Demand> last_sent_demand;
  /// Targets of the agent when demand was last sent.
  std::vector<TargetId> last_sent_targets;
};

/// Key of the demand table of an agent.
struct DemandKey {
  CustomerId customer;
  TargetId target;
  MemberId entry;
  auto operator<=>(const DemandKey&) const = default;
};

/// Demand of one customer and target at one entry, as known to an agent.
struct DemandState {
  std::uint32_t count = 0;
  /// Grants sent for this demand and not yet used, declined or expired.
  std::uint32_t granted = 0;
  /// Arrival time of the oldest waiting request.
  Time oldest;
  std::uint32_t agent_count = 1;
};

/// A grant that was sent and has not been used, declined or expired.
struct GrantState {
  DemandKey demand;
  Time expires;
};

/// An attempt on this agent's backend server.
struct RunningAttempt {
  MemberId entry;
  RequestTraits traits;
  Time started;
  /// Service charged so far, in units of service.
  double service = 0;
  bool response_started = false;
  /// Arrival time of the last streamed token.
  std::optional<Time> last_token;
  /// True while the claim is pending; nothing has been sent to the backend server yet.
  bool awaits_claim = false;
};

/// Bounded history of processed offers, used to ignore duplicates; discards the oldest. Not thread
/// safe.
class OfferHistory {
 public:
  /// \return False if the attempt is already in the history.
  bool Add(AttemptId attempt);
  [[nodiscard]] bool Contains(AttemptId attempt) const { return attempts_.contains(attempt); }

 private:
  absl::btree_set<AttemptId> attempts_;
  std::deque<AttemptId> order_;
};

/// Usage of a customer as known to an agent, in units of service.
struct CustomerAccount {
  /// Expected remaining service of running attempts and granted requests at this agent.
  double in_flight = 0;
  /// Last total received from the ledger owner.
  LedgerTotal total;
  /// True once a total was received.
  bool has_total = false;
  /// This agent's service and service in flight included in the total.
  double included = 0;
  /// Part of `included` that was already given.
  double included_service = 0;
};

/// State of this agent's backend server.
struct BackendState {
  bool reachable = false;
  std::uint64_t incarnation = 0;
  std::vector<TargetId> targets;
  /// Maximum number of concurrent requests.
  std::uint32_t concurrency_limit = 1;
  /// Requests of other clients that run on the backend server.
  std::uint32_t external_requests = 0;
  /// True while tokens are overdue; no attempts are started meanwhile.
  bool stalled = false;
};

/// State of a digest that was running during a crash; see Suspect.
struct SuspectState {
  std::uint32_t level = 0;
  /// Time of the last change of level in this process. Executions that started earlier are not
  /// counted as evidence.
  Time changed;
  Time expires;

  [[nodiscard]] bool quarantined() const { return level >= kQuarantineLevel; }
  [[nodiscard]] bool suspected() const { return !quarantined() && level % 2 == 1; }
};

/// State shared by the controllers of a Policy. Comments name the controllers that write each
/// member. Ordered maps make the iteration order deterministic. Not thread safe.
struct Blackboard {
  // Set at construction.
  PolicyOptions options;
  MemberId self;
  ZoneId zone;

  // Set by the policy before each step.
  Time now;

  // Written by ConfigurationController.
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  /// Replaced by LogReaderController if it starts reading from an earlier offset.
  RulesHistory rules;
  /// Configurations previously in force, newest last.
  std::vector<std::shared_ptr<const Configuration>> previous_configurations;
  // Written by ConfigurationController; `is_reader` and `read_started` by LogReaderController.
  LogReadState log;

  // Written by MembershipController; `opening` also by LedgerController.
  bool draining = false;
  /// True if the platform's host list marks this process as leaving.
  bool listed_leaving = false;
  absl::btree_map<MemberId, MemberState> members;

  // Written by ZoneController.
  /// True if neither the log nor another availability zone is reachable.
  bool cut_off = false;
  /// New work is refused until this time, because this process may have missed configuration
  /// changes while it was paused or cut off.
  Time paused_until;

  // Entry: written by RoutingController, RetryController and QuarantineController.
  absl::btree_map<RequestId, OwnedRequest> requests;
  // Entry: written by RoutingController.
  absl::btree_map<MemberId, AgentState> agents;

  // Agent: written by AdmissionController; `demand` and `grants` also by FairShareController,
  // `running` also by FairShareController, AdaptiveLimitController and ClaimsController.
  absl::btree_map<DemandKey, DemandState> demand;
  absl::btree_map<GrantId, GrantState> grants;
  absl::btree_map<AttemptId, RunningAttempt> running;
  OfferHistory offer_history;
  // Agent: written by ClaimsController.
  ClaimTable claims;
  /// Offers of this step that were resolved without an execution.
  absl::btree_set<AttemptId> resolved_offers;
  // Agent: written by AdaptiveLimitController or FixedLimitController.
  BackendState backend;
  // Agent: written by FairShareController. Service per customer, in units of service.
  absl::btree_map<CustomerId, double> service;
  // Agent: written by FairShareController (`in_flight`) and LedgerController (other members).
  absl::btree_map<CustomerId, CustomerAccount> accounts;
  // Agent: written by LedgerController. Number of responses received from ledger owners.
  std::uint64_t ledger_round = 0;
  // Agent: written by FairShareController.
  CostEstimator costs;

  // Written by QuarantineController.
  absl::btree_map<Digest, SuspectState> suspects;

  // Written by every controller.
  DecisionRing decisions;
  Stats counters;

  [[nodiscard]] bool Linked(MemberId member) const;
  /// Reason for which this process refuses new work: it is draining, its availability zone is out
  /// of service, or it is cut off. kNone if it accepts work.
  [[nodiscard]] Reason RefusalReason() const;
  [[nodiscard]] bool RefusesNewWork() const;
  /// Number of attempts that can start now. Outstanding grants occupy slots.
  [[nodiscard]] std::uint32_t FreeSlots() const;
  /// True if this agent's backend server serves the target and the current rules allow it.
  [[nodiscard]] bool Serves(TargetId target) const;
  /// Service that this incarnation of the agent gave to a customer, in units of service.
  [[nodiscard]] double LocalService(CustomerId customer) const;
  [[nodiscard]] bool Quarantined(Digest digest) const;
  /// True if the digest is a suspect and another suspect is running on this agent's backend server.
  /// Suspects run one at a time, so that a crash identifies its cause.
  [[nodiscard]] bool MustDefer(Digest digest) const;
  void Record(Decision decision);
};

}  // namespace lagoonwind::policy
