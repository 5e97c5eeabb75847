#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// Value types shared by the events and actions of `lagoonwind::policy::Policy`.
namespace lagoonwind::policy {

/// Process role. An entry accepts callers' requests and dispatches them to agents; an agent admits
/// attempts to its backend server.
enum class Role { kEntry, kAgent };

/// Outcome of a request as reported to its caller.
enum class Outcome {
  /// The complete response was delivered.
  kComplete,
  /// The request is known not to have run.
  kNotRun,
  /// The request may have run.
  kUnknown
};

/// Reason for which a request, an attempt or new work was refused or ended.
enum class Reason {
  kNone,
  kQueueFull,
  kNoCapacity,
  kDraining,
  kZoneOut,
  kNotServed,
  kWaitExpired,
  kGrantExpired,
  kNoRoom,
  kBackendRefused,
  kBackendFailed,
  kBackendCrashed,
  kLinkLost,
  kCallerLeft,
  kTimeout,
  kQuarantined,
  kLogUnavailable,
  kKeyConflict,
  kKeyRunning,
  kKeyExpired,
  /// The process can reach neither the log nor any member of another availability zone.
  kCutOff,
  /// Only the end of the backend server's connection showed the end of its response.
  kUnframedEnd,
};

/// Name of an outcome, a reason or a role in responses, logs and metric labels. Thread safe.
std::string_view Name(Outcome outcome);
std::string_view Name(Reason reason);
std::string_view Name(Role role);

/// Result of one attempt.
enum class AttemptResult {
  kComplete,
  /// Known never to have run.
  kNotRun,
  /// May have run, with unknown result.
  kUnknown,
};

/// A process of the fleet, as described by the platform's host list or by its own handshake.
struct Member {
  MemberId id;
  std::string name;
  Role role = Role::kEntry;
  ZoneId zone;
  std::string address;
  bool leaving = false;
};

/// Number of requests of one customer for one target that wait at one entry.
struct Demand {
  CustomerId customer;
  TargetId target;
  std::uint32_t count = 0;
  /// Time for which the oldest of these requests has waited.
  Duration oldest_age{0};
  /// Number of agents to which this demand is reported.
  std::uint32_t agent_count = 1;

  auto operator<=>(const Demand&) const = default;
};

/// A request digest that was running when a backend server crashed. When members exchange suspects,
/// the higher level wins. An odd level means that the digest was running during a crash; an even
/// level means that a later execution completed. Digests at `kQuarantineLevel` or above are
/// quarantined.
struct Suspect {
  Digest digest;
  std::uint32_t level = 0;
  /// Time until this record expires.
  Duration remaining{0};

  auto operator<=>(const Suspect&) const = default;
};

/// Lowest level at which a digest is quarantined and no longer run.
inline constexpr std::uint32_t kQuarantineLevel = 7;

/// State of an agent, as reported to the entries.
struct AgentReport {
  std::vector<TargetId> targets;
  /// Number of attempts that the agent can start immediately.
  std::uint32_t free_slots = 0;
  /// Current concurrency limit of the backend server, in requests.
  std::uint32_t concurrency_limit = 0;
  bool draining = false;
  std::int64_t configuration_offset = -1;

  bool operator==(const AgentReport&) const = default;
};

/// Usage of one customer at one agent, as reported to the agent that owns the customer's ledger.
/// Amounts are in units of service.
struct LedgerRecord {
  CustomerId customer;
  /// Service given by this incarnation of the agent; never decreases.
  double service = 0;
  /// Expected remaining service of running attempts and granted requests at the agent.
  double in_flight = 0;
  /// Last fleet-wide total known to the agent, plus its own service since then.
  double estimated_total = 0;
  /// True if the agent knows of waiting requests of the customer.
  bool backlogged = false;
  /// First record of the customer on this link; the ledger owner must not assume earlier ones.
  bool is_first = false;

  bool operator==(const LedgerRecord&) const = default;
};

/// Records of an agent that changed since its last report to the same ledger owner.
struct LedgerReport {
  /// Incarnation of the reporting agent, which distinguishes its counters from earlier ones.
  Incarnation agent;
  /// Sequence number on the link; returned in LedgerTotals.
  std::uint64_t number = 0;
  /// Service per share to which a newly backlogged customer is raised.
  double activation_floor = 0;
  /// Lowest service per share of a backlogged customer; totals below it are raised.
  double floor = 0;
  std::vector<LedgerRecord> records;

  bool operator==(const LedgerReport&) const = default;
};

/// Fleet-wide usage of one customer, in units of service.
struct LedgerTotal {
  CustomerId customer;
  double service = 0;
  double in_flight = 0;
  /// Number of agents that know of waiting requests of the customer.
  std::uint32_t agent_count = 1;

  bool operator==(const LedgerTotal&) const = default;
};

/// Response of a ledger owner to a report: the totals that changed for this agent.
struct LedgerTotals {
  /// Sequence number of the report.
  std::uint64_t number = 0;
  std::vector<LedgerTotal> totals;

  bool operator==(const LedgerTotals&) const = default;
};

/// Properties of a request that decisions depend on.
struct RequestTraits {
  CustomerId customer;
  TargetId target;
  /// Expected cost in units of service; 0 if unknown.
  double cost_hint = 0;
  /// Digest of method, path and body; identifies requests with the same content.
  Digest digest;
  /// False for requests with at-most-once semantics.
  bool repeatable = true;
  /// Digest of customer and idempotency key; invalid if the request has none.
  Digest idempotency_key;
  /// Age of the key if it contains its creation time (UUID version 7), else 0.
  Duration idempotency_key_age{0};
};

/// A complete response, retained for further requests with the same idempotency key. Immutable
/// once shared.
struct StoredResponse {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

/// Kind of a record in a claim stream.
enum class ClaimKind {
  /// The agent claims the idempotency key in order to run the request.
  kClaim,
  /// The claim with this nonce has not led to an execution and never will. It is void even if its
  /// own record follows this one in the log.
  kRelease,
  /// The execution ended and its complete response was forwarded.
  kCompletion,
};

/// A record that an agent appends to a claim stream of the platform's log. The first claim of an
/// idempotency key that is not released is the only one that may run.
struct ClaimRecord {
  ClaimKind kind = ClaimKind::kClaim;
  Digest idempotency_key;
  /// Digest of the request for which the key is claimed.
  Digest request_digest;
  CustomerId customer;
  /// Identifies the claim; repeated in its release or completion.
  ClaimNonce nonce;
  Incarnation agent;
  /// Set only in a completion whose response is at most limits::kMaxStoredResponseBytes long.
  std::shared_ptr<const StoredResponse> response;
};

/// A claim record as read from the log.
struct StoredClaim {
  std::int64_t offset = 0;
  /// Time since the record was written: the reader's wall clock minus the writer's time stamp.
  Duration age{0};
  ClaimRecord record;
};

}  // namespace lagoonwind::policy
