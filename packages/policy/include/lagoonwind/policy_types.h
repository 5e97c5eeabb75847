#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// Values that events and actions of decisions are made of.
namespace lagoonwind::policy {

enum class Role { kEntry, kAgent };

/// What a caller is told about its request.
enum class Outcome { kComplete, kNotRun, kUnknown };

/// Why something was refused or ended.
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
  /// The process reaches neither the log nor any other zone.
  kCutOff,
};

/// Field name of an outcome or a reason in replies, logs and metrics. Thread safe.
std::string_view Name(Outcome outcome);
std::string_view Name(Reason reason);
std::string_view Name(Role role);

/// How one attempt ended.
enum class AttemptResult {
  kComplete,
  /// Proved never to have run.
  kNotRun,
  /// Started, and its end isn't known.
  kUnknown,
};

/// A process of the fleet, as the platform's host list or its own handshake names it.
struct Member {
  MemberId id;
  std::string name;
  Role role = Role::kEntry;
  ZoneId zone;
  std::string address;
  bool leaving = false;
};

/// Requests of one customer for one target that wait at one entry.
struct Demand {
  CustomerId customer;
  TargetId target;
  std::uint32_t count = 0;
  /// Age of the oldest waiting request.
  Duration oldest_age{0};
  /// Number of agents that see this demand.
  std::uint32_t agent_count = 1;

  auto operator<=>(const Demand&) const = default;
};

/// What is known of a request's content after a crash. Spreads by the higher level.
/// Levels alternate: an odd one is a suspect, which a crash has found running; an even one was
/// acquitted by a run that ended well. From `kQuarantineLevel` on it is quarantined.
struct Suspect {
  Digest digest;
  std::uint32_t level = 0;
  /// Time for which this is still remembered.
  Duration remaining{0};

  auto operator<=>(const Suspect&) const = default;
};

/// Level from which a digest doesn't run.
inline constexpr std::uint32_t kQuarantineLevel = 7;

/// What an agent tells entries about itself.
struct AgentReport {
  std::vector<TargetId> targets;
  /// Requests that it would start at once.
  std::uint32_t free_slots = 0;
  /// Requests that the backend server bears at a time, as far as the agent knows.
  std::uint32_t concurrency_limit = 0;
  bool draining = false;
  std::int64_t configuration_offset = -1;

  bool operator==(const AgentReport&) const = default;
};

/// Service of one customer at one agent, as the agent tells it to the customer's ledger keeper.
struct LedgerRecord {
  CustomerId customer;
  /// Service that the agent gave since it started; never shrinks.
  double service = 0;
  /// Expected rest of what runs there now.
  double in_flight = 0;
  /// Fleet-wide service as the agent last knew it, its own since then included.
  double estimated_total = 0;
  /// The customer has requests waiting that this agent sees.
  bool backlogged = false;
  /// First entry for the customer on this link: the keeper can't build on earlier ones.
  bool is_first = false;

  bool operator==(const LedgerRecord&) const = default;
};

/// An agent's entries that changed since its last report to the same keeper.
struct LedgerReport {
  /// Keeps reports of an earlier run of the agent apart.
  Incarnation agent;
  std::uint64_t number = 0;
  /// Service per share that a newly backlogged customer is lifted to.
  double activation_floor = 0;
  /// Service per share that no backlogged customer stays behind.
  double floor = 0;
  std::vector<LedgerRecord> records;

  bool operator==(const LedgerReport&) const = default;
};

/// Service of one customer over the fleet.
struct LedgerTotal {
  CustomerId customer;
  double service = 0;
  double in_flight = 0;
  /// Agents that see waiting requests of the customer.
  std::uint32_t agent_count = 1;

  bool operator==(const LedgerTotal&) const = default;
};

/// A keeper's answer to a report.
struct LedgerTotals {
  /// Number of the report.
  std::uint64_t number = 0;
  std::vector<LedgerTotal> totals;

  bool operator==(const LedgerTotals&) const = default;
};

/// What a request asks for, as far as decisions need it.
struct RequestTraits {
  CustomerId customer;
  TargetId target;
  /// Expected service, in units of service; 0 if there is no hint.
  double cost_hint = 0;
  /// Digest of method, path and body.
  Digest digest;
  /// False for calls that may run at most once.
  bool repeatable = true;
  /// Digest of customer and idempotency key; invalid without a key.
  Digest idempotency_key;
  /// Age of the key if it tells when it was made (a UUID of version 7), else 0.
  Duration idempotency_key_age{0};
};

/// A whole answer, kept for further calls with the same key. Immutable once shared.
struct StoredResponse {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

enum class ClaimKind {
  /// The agent wants to run the call.
  kClaim,
  /// The claim with this nonce never ran and never will; it is void before and after this record.
  kRelease,
  /// The run is over and its whole answer was sent on.
  kCompletion,
};

/// What an agent appends to a claim stream of the platform's log.
struct ClaimRecord {
  ClaimKind kind = ClaimKind::kClaim;
  Digest idempotency_key;
  /// Digest of the request that claims the key.
  Digest request_digest;
  CustomerId customer;
  ClaimNonce nonce;
  Incarnation agent;
  /// Only in a completion, and only if the answer is small enough to be kept.
  std::shared_ptr<const StoredResponse> response;
};

/// A record as the log keeps it.
struct StoredClaim {
  std::int64_t offset = 0;
  /// Time since the record was written, by the wall clocks of its writer and its reader.
  Duration age{0};
  ClaimRecord record;
};

}  // namespace lagoonwind::policy
