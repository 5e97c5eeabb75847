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

/// Bounded memory of decisions; forgets the oldest. Not thread safe.
class DecisionRing {
 public:
  void Add(Decision decision);
  [[nodiscard]] std::vector<Decision> All() const { return {decisions_.begin(), decisions_.end()}; }
  [[nodiscard]] std::vector<Decision> Find(RequestId request, CustomerId customer,
                                           MemberId member) const;

 private:
  std::deque<Decision> decisions_;
};

/// A process that this one knows of.
struct MemberState {
  Member member;
  bool listed = false;
  bool linked = false;
  bool opening = false;
  Incarnation incarnation;
  /// The member itself said that it leaves.
  bool announced_leaving = false;
  /// It has been linked since this process started.
  bool ever_linked = false;
  /// When it was last listed or linked.
  Time last_seen;
};

/// What this process knows of the platform's log.
struct LogReadState {
  bool read_known = false;
  /// Latest time at which the stream of rules is known to have been read to its end.
  Time last_read;
  /// This process follows the stream itself.
  bool is_reader = false;
  /// When the read under way was asked for.
  Time read_started;
};

/// A request that this entry owns.
struct OwnedRequest {
  RequestTraits traits;
  Time arrived;
  RequestPhase phase = RequestPhase::kWaiting;
  /// Number of the current or last attempt; 0 before the first.
  std::uint32_t attempt = 0;
  /// Attempts that may have run.
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
  /// When the current attempt started.
  Time started;
  /// When backing off ends.
  Time retry_at;
};

/// What an entry knows of an agent.
struct AgentState {
  AgentReport report;
  /// Offers since the last report, which the report's room doesn't count yet.
  std::uint32_t pending_offers = 0;
  /// Demand as the agent was last told it.
  std::vector<Demand> last_sent_demand;
  /// Targets of the agent when it was last told.
  std::vector<TargetId> last_sent_targets;
};

/// Key of demand at an agent.
struct DemandKey {
  CustomerId customer;
  TargetId target;
  MemberId entry;
  auto operator<=>(const DemandKey&) const = default;
};

struct DemandState {
  std::uint32_t count = 0;
  /// Grants sent against this demand and not yet answered.
  std::uint32_t granted = 0;
  /// When the oldest waiting request arrived.
  Time oldest;
  std::uint32_t agent_count = 1;
};

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
  /// When the last streamed token arrived.
  std::optional<Time> last_token;
  /// Waits for its claim; nothing was sent to the backend server yet.
  bool awaits_claim = false;
};

/// Bounded memory of attempts whose offers were taken; forgets the oldest. Not thread safe.
class OfferHistory {
 public:
  /// \return False if the attempt was seen before.
  bool Add(AttemptId attempt);
  [[nodiscard]] bool Contains(AttemptId attempt) const { return seen_.contains(attempt); }

 private:
  absl::btree_set<AttemptId> seen_;
  std::deque<AttemptId> order_;
};

/// What an agent knows of a customer's service.
struct CustomerAccount {
  /// Expected rest of what runs here and of granted requests, in units of service.
  double in_flight = 0;
  /// Fleet-wide service and rest in flight at the last answer of the keeper.
  LedgerTotal total;
  /// True once a keeper has answered.
  bool has_total = false;
  /// Own service and rest in flight that the total includes.
  double included = 0;
  /// The part of `included` that was given.
  double included_service = 0;
};

struct BackendState {
  bool reachable = false;
  std::uint64_t incarnation = 0;
  std::vector<TargetId> targets;
  /// Requests that may run at a time.
  std::uint32_t concurrency_limit = 1;
  /// Requests that the backend server runs and this process doesn't know of.
  std::uint32_t external_requests = 0;
  /// True while tokens are overdue; nothing is started then.
  bool stalled = false;
};

/// A digest that a crash has found running.
struct SuspectState {
  std::uint32_t level = 0;
  /// When the level last changed here. What started before says nothing new.
  Time changed;
  Time expires;

  [[nodiscard]] bool quarantined() const { return level >= kQuarantineLevel; }
  [[nodiscard]] bool suspected() const { return !quarantined() && level % 2 == 1; }
};

/// The tables that controllers read and write. Each table has one writer, named beside it, except
/// where a comment says otherwise. Ordered maps keep iteration the same on every run.
struct Blackboard {
  // Set at construction.
  PolicyOptions options;
  MemberId self;
  ZoneId zone;

  // Set by the policy before each step.
  Time now;

  // ConfigurationController.
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  /// Begun anew by LogReaderController.
  RulesHistory rules;
  /// Configurations in force before, newest last.
  std::vector<std::shared_ptr<const Configuration>> previous_configurations;
  // ConfigurationController; `reading` and `read_began` by LogReaderController.
  LogReadState log;

  // MembershipController.
  bool draining = false;
  /// The platform lists this process as leaving.
  bool listed_leaving = false;
  absl::btree_map<MemberId, MemberState> members;

  // ZoneController.
  bool cut_off = false;
  /// No new work before this time: the process was paused and may have missed changes.
  Time paused_until;

  // Entry: RoutingController and RetryController.
  absl::btree_map<RequestId, OwnedRequest> requests;
  // Entry: RoutingController.
  absl::btree_map<MemberId, AgentState> agents;

  // Agent: AdmissionController.
  absl::btree_map<DemandKey, DemandState> demand;
  absl::btree_map<GrantId, GrantState> grants;
  absl::btree_map<AttemptId, RunningAttempt> running;
  OfferHistory offer_history;
  // Agent: ClaimsController.
  ClaimTable claims;
  /// Offers of this step that were answered without a run.
  absl::btree_set<AttemptId> resolved_offers;
  // Agent: AdaptiveLimitController.
  BackendState backend;
  // Agent: FairShareController. Service per customer, in units of service.
  absl::btree_map<CustomerId, double> service;
  // Agent: FairShareController (in_flight) and LedgerController (the rest).
  absl::btree_map<CustomerId, CustomerAccount> accounts;
  // Agent: LedgerController. Number of answers of keepers so far.
  std::uint64_t ledger_round = 0;
  // Agent: FairShareController.
  CostEstimator costs;

  // Both roles: QuarantineController.
  absl::btree_map<Digest, SuspectState> suspects;

  // Every controller.
  DecisionRing decisions;
  Stats counters;

  [[nodiscard]] bool Linked(MemberId member) const;
  /// Why this process takes no new work: it leaves, its zone is out, or it is cut off. kNone if it
  /// does.
  [[nodiscard]] Reason RefusalReason() const;
  /// True if this process takes no new work.
  [[nodiscard]] bool RefusesNewWork() const;
  /// Requests that could start now, grants in flight counted as running.
  [[nodiscard]] std::uint32_t FreeSlots() const;
  /// True if this agent's backend server runs the target under the current rules.
  [[nodiscard]] bool Serves(TargetId target) const;
  /// Service that this agent gave to a customer since it started.
  [[nodiscard]] double LocalService(CustomerId customer) const;
  [[nodiscard]] bool Quarantined(Digest digest) const;
  /// True if the digest is a suspect and another suspect runs on this agent's backend server.
  [[nodiscard]] bool MustDefer(Digest digest) const;
  void Record(Decision decision);
};

}  // namespace lagoonwind::policy
