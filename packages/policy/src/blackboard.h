#pragma once

#include <absl/container/btree_map.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// Bounded memory of decisions; forgets the oldest. Not thread safe.
class DecisionRing {
 public:
  void Add(Decision decision);
  [[nodiscard]] std::vector<Decision> About(RequestId request, CustomerId customer,
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
};

/// A request that backs off waits for its next attempt and isn't counted as demand.
enum class RequestPhase { kWaiting, kOffered, kRunning, kBackingOff };

/// A request that this entry owns.
struct OwnedRequest {
  RequestTraits traits;
  Time arrived;
  RequestPhase phase = RequestPhase::kWaiting;
  /// Number of the current or last attempt; 0 before the first.
  std::uint32_t attempt = 0;
  /// Attempts that may have run.
  std::uint32_t started_attempts = 0;
  /// Agent of the current attempt.
  MemberId agent;
  bool answer_began = false;
  /// Attempts that count towards limits::kMaxAttempts.
  std::uint32_t tries = 0;
  /// When the current attempt started.
  Time started;
  /// When backing off ends.
  Time retry_at;
};

/// What an entry knows of an agent.
struct AgentState {
  AgentReport report;
  /// Offers since the last report, which the report's room doesn't count yet.
  std::uint32_t offered = 0;
  /// Demand as the agent was last told it.
  std::vector<Demand> told;
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
  std::uint32_t reach = 1;
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
  bool answer_started = false;
  /// When the last streamed token arrived.
  std::optional<Time> last_token;
};

struct BackendState {
  bool reachable = false;
  std::uint64_t instance = 0;
  std::vector<TargetId> targets;
  /// Requests that may run at a time.
  std::uint32_t window = 1;
  /// Requests that the backend server runs and this process doesn't know of.
  std::uint32_t foreign = 0;
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
  Init init;
  MemberId self;
  ZoneId zone;

  // Set by the policy before each step.
  Time now;

  // ConfigurationController.
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();

  // MembershipController.
  bool draining = false;
  absl::btree_map<MemberId, MemberState> members;

  // Entry: RoutingController and RetryController.
  absl::btree_map<RequestId, OwnedRequest> requests;
  // Entry: RoutingController.
  absl::btree_map<MemberId, AgentState> agents;
  absl::btree_map<CustomerId, std::uint32_t> waiting_by_customer;

  // Agent: AdmissionController.
  absl::btree_map<DemandKey, DemandState> demand;
  absl::btree_map<GrantId, GrantState> grants;
  absl::btree_map<AttemptId, RunningAttempt> running;
  // Agent: WarmUpController.
  BackendState backend;
  // Agent: FairShareController. Service per customer, in units of service.
  absl::btree_map<CustomerId, double> service;

  // Both roles: QuarantineController.
  absl::btree_map<Digest, SuspectState> suspects;

  // Every controller.
  DecisionRing decisions;
  Stats counters;

  [[nodiscard]] bool Linked(MemberId member) const;
  /// True if the agent's own zone is out or the process drains.
  [[nodiscard]] bool Closed() const;
  /// Requests that could start now, grants in flight counted as running.
  [[nodiscard]] std::uint32_t Room() const;
  /// True if this agent's backend server runs the target under the current rules.
  [[nodiscard]] bool Serves(TargetId target) const;
  [[nodiscard]] bool Quarantined(Digest digest) const;
  /// True if the digest is a suspect and another suspect runs on this agent's backend server.
  [[nodiscard]] bool MustRunLater(Digest digest) const;
  void Record(Decision decision);
};

}  // namespace lagoonwind::policy
