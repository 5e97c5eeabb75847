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
/// Decisions of a daemon. No I/O, no threads, no clock and no random source: time, events and the
/// seed come in as arguments and actions come out as values. Equal input gives equal output.
namespace lagoonwind::policy {

/// What was decided; `Describe` gives it in words.
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

/// One entry of the decision ring.
struct Decision {
  Time at;
  DecisionKind kind = DecisionKind::kRequestQueued;
  RequestId request;
  CustomerId customer;
  /// The other process: an agent at an entry, an entry at an agent.
  MemberId member;
  Reason reason = Reason::kNone;
  /// Meaning depends on the kind: a count, a window or an amount of service.
  double value = 0;
};

/// A decision in plain words, without names. Thread safe.
std::string Describe(const Decision& decision);

/// Names of what a decision is about; empty ones are left out of the sentence.
struct DecisionNames {
  std::string request;
  std::string customer;
  std::string member;
};

/// A decision as a sentence for operators. Thread safe.
/// \param role  Of the process that decided; the member is of the other role.
std::string Explain(const Decision& decision, Role role, const DecisionNames& names);
/// A reason as half a sentence for operators. Thread safe.
std::string_view Explain(Reason reason);

struct CustomerStats {
  CustomerId customer;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  /// Service given by this process since it started, in units of service.
  double service = 0;
};

struct MemberStats {
  Member member;
  bool linked = false;
};

/// What a process knows and has done; for `status` and metrics.
struct Stats {
  std::int64_t configuration_offset = -1;
  bool draining = false;
  /// Why the process takes no new work; kNone if it does.
  Reason refusal_reason = Reason::kNone;
  /// True if the process follows the stream of rules itself.
  bool is_log_reader = false;
  std::uint32_t concurrency_limit = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t grants_sent = 0;
  std::uint64_t grants_expired = 0;
  /// Attempts that were tried again, and those that the retry budget didn't allow.
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  /// Digests that are quarantined now.
  std::uint32_t quarantined = 0;
  std::vector<CustomerStats> customers;
  std::vector<MemberStats> members;
};

/// Digest that goes with a configuration's text from process to process. Thread safe.
Digest ConfigurationDigest(std::int64_t offset, std::string_view text);

/// How an agent compares customers.
enum class ServiceEstimateMode {
  /// By its own service alone.
  kLocal,
  /// By the ledger's last total and its own service since.
  kLedgerTotal,
  /// As kLedgerTotal, its own service since scaled by the number of agents that act at the same
  /// time.
  kScaledTotal,
  /// As kScaledTotal, with rounding that differs by agent and customer.
  kDithered,
};

/// What a request is expected to cost before its end is known.
enum class CostEstimate { kNone, kMean, kQuantile };

/// Parameters of fair sharing; all but the defaults are alternatives for measurement.
struct FairShareOptions {
  ServiceEstimateMode estimate_mode = ServiceEstimateMode::kDithered;
  CostEstimate cost_estimate = CostEstimate::kMean;
  /// Longest interval between an agent's reports to a ledger keeper; small fleets use less.
  Duration report_interval = limits::kLedgerReportInterval;
};

/// Parameters of a Policy; the defaults suit tests.
struct PolicyOptions {
  Role role = Role::kEntry;
  std::string name = "unnamed";
  std::string zone;
  /// Differs for each start of the process.
  Incarnation incarnation{1};
  std::uint64_t seed = 1;
  /// Tags of the agent's backend server.
  std::vector<std::string> tags;
  /// Requests that the agent's backend server bears at a time; 0 finds it out by warm-up.
  std::uint32_t fixed_concurrency_limit = 0;
  FairShareOptions fair_share;
  /// Retries that an entry allows itself, as a share of the requests that arrive.
  double retry_ratio = limits::kRetryBudgetRatio;
};

/// The decisions of one process. Not thread safe: the caller serialises all methods.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Takes in what happened and decides what to do.
  /// \param now     Never earlier than in the call before.
  /// \param events  In the order in which they were seen; may be empty.
  virtual std::vector<Action> Step(Time now, std::span<const Event> events) = 0;

  [[nodiscard]] virtual Stats stats() const = 0;

  /// Decisions about a request, customer or member, oldest first. Invalid handles match nothing;
  /// the process itself as member matches all.
  [[nodiscard]] virtual std::vector<Decision> FindDecisions(RequestId request, CustomerId customer,
                                                            MemberId member) const = 0;
};

/// Makes the decisions of the role that `init` names.
std::unique_ptr<Policy> MakePolicy(const PolicyOptions& init);

}  // namespace lagoonwind::policy
