#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"
#include "lagoonwind/policy_actions.h"
#include "lagoonwind/policy_events.h"
#include "lagoonwind/policy_types.h"
#include "lagoonwind/rules.h"

/// \file
/// Decision logic of the entry and agent daemons. An entry queues callers' requests, offers them to
/// agents and retries them; an agent limits the concurrency of its backend server, admits attempts
/// by fair queueing over customers, and enforces at-most-once execution through claims in the
/// platform's log. Both follow fleet membership and the operators' configuration.
///
/// The logic is deterministic and performs no I/O: time, events and the random seed are arguments,
/// and the resulting actions are returned as values for the runtime to carry out.
namespace lagoonwind::policy {

/// Kind of a decision; `Describe` returns its text.
enum class DecisionKind {
  kRequestQueued,
  kRequestOffered,
  kRequestStarted,
  kRequestRetried,
  kRequestFinished,
  kRequestRefused,
  kGrantSent,
  kGrantDeclined,
  kGrantExpired,
  kAttemptAdmitted,
  kAttemptQueued,
  kAttemptRefused,
  kAttemptFinished,
  kConcurrencyLimitChanged,
  kBackendRestarted,
  kLinkUp,
  kLinkDown,
  kConfigurationAccepted,
  kClaimHeld,
  kClaimLost,
  kClaimReleased,
  kResponseReplayed,
  kDigestSuspected,
  kDigestQuarantined,
};

/// A decision as recorded for diagnosis.
struct Decision {
  Time at;
  DecisionKind kind = DecisionKind::kRequestQueued;
  RequestId request;
  CustomerId customer;
  /// The other process: an agent at an entry, an entry at an agent.
  MemberId member;
  Reason reason = Reason::kNone;
  /// Depends on the kind: a count, a concurrency limit, an offset or an amount of service.
  double value = 0;
};

/// Text of a decision, without the names of its subjects. Thread safe.
std::string Describe(const Decision& decision);

/// Display names of the subjects of a decision. Empty names are replaced by placeholders.
struct DecisionNames {
  std::string request;
  std::string customer;
  std::string member;
};

/// Sentence for operators about a decision. Thread safe.
/// \param role  Role of the process that decided; the decision's member has the other role.
std::string Explain(const Decision& decision, Role role, const DecisionNames& names);
/// Clause for operators that states a reason. Thread safe.
std::string_view Explain(Reason reason);

struct CustomerStats {
  CustomerId customer;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  /// Service given by this incarnation of the process, in units of service.
  double service = 0;
};

struct MemberStats {
  Member member;
  bool linked = false;
};

/// State and counters of a process, for `status` and metrics.
struct Stats {
  std::int64_t configuration_offset = -1;
  bool draining = false;
  /// Reason for which the process refuses new work; kNone if it accepts work.
  Reason refusal_reason = Reason::kNone;
  /// True if the process reads the rules stream itself.
  bool is_log_reader = false;
  std::uint32_t concurrency_limit = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t grants_sent = 0;
  std::uint64_t grants_expired = 0;
  /// Retries after failed attempts, and retries denied by the retry budget.
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  /// Number of quarantined digests.
  std::uint32_t quarantined = 0;
  std::vector<CustomerStats> customers;
  std::vector<MemberStats> members;
};

/// Digest with which a process verifies a configuration received from another. Thread safe.
Digest ConfigurationDigest(std::int64_t offset, std::string_view text);

/// How an agent estimates a customer's fleet-wide service for fair queueing.
enum class ServiceEstimateMode {
  /// The agent's own service only.
  kLocal,
  /// The last total of the ledger plus the agent's own service since.
  kLedgerTotal,
  /// As kLedgerTotal, with the agent's own service since multiplied by the number of agents that
  /// serve the customer concurrently.
  kScaledTotal,
  /// As kScaledTotal, plus an offset that differs by agent and customer, so that agents do not all
  /// pick the same customer.
  kDithered,
};

/// Estimate of a request's cost that is charged at its start.
enum class CostEstimate { kNone, kMean, kQuantile };

/// Parameters of fair queueing. Values other than the defaults serve experiments.
struct FairShareOptions {
  ServiceEstimateMode estimate_mode = ServiceEstimateMode::kDithered;
  CostEstimate cost_estimate = CostEstimate::kMean;
  /// Longest interval between an agent's reports to a ledger owner; small fleets use shorter ones.
  Duration report_interval = limits::kLedgerReportInterval;
};

/// Parameters of a Policy. The defaults suit tests.
struct PolicyOptions {
  Role role = Role::kEntry;
  std::string name = "unnamed";
  std::string zone;
  /// Unique for each start of the process.
  Incarnation incarnation{1};
  std::uint64_t seed = 1;
  /// Tags of the agent's backend server.
  std::vector<std::string> tags;
  /// Concurrency limit of the agent's backend server, in requests; 0 selects an adaptive limit.
  std::uint32_t fixed_concurrency_limit = 0;
  FairShareOptions fair_share;
  /// Retry budget of an entry, as a ratio of retries to arriving requests.
  double retry_ratio = limits::kRetryBudgetRatio;
};

/// Decision logic of one process. Not thread safe: the caller serialises all calls.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Processes events and returns the actions to carry out, in order.
  /// \param now     Must not be earlier than in the previous call.
  /// \param events  In the order in which they occurred; may be empty.
  virtual std::vector<Action> Step(Time now, std::span<const Event> events) = 0;

  [[nodiscard]] virtual Stats stats() const = 0;

  /// Recorded decisions about a request, a customer or a member, oldest first. Invalid handles
  /// match nothing; the process's own id as `member` matches every decision. Old decisions are
  /// discarded.
  [[nodiscard]] virtual std::vector<Decision> FindDecisions(RequestId request, CustomerId customer,
                                                            MemberId member) const = 0;
};

/// Creates the decision logic for the role given in the options.
std::unique_ptr<Policy> MakePolicy(const PolicyOptions& options);

}  // namespace lagoonwind::policy
