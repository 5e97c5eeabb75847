#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "lagoonwind/policy_types.h"
#include "lagoonwind/rules.h"
#include "lagoonwind/rules_diff.h"

/// \file
/// What decisions learn of: every input of a step but the time.
namespace lagoonwind::policy {

// Events of both roles.

/// The platform's host list was read. Replaces the list before it.
struct MembersListed {
  std::vector<Member> members;
};
struct LinkUp {
  Member member;
  Incarnation incarnation;
};
struct LinkDown {
  MemberId member;
};
/// A configuration was accepted; older ones than the current are ignored.
struct ConfigurationAccepted {
  std::shared_ptr<const Configuration> configuration;
};
/// Operators or the platform asked this process to leave.
struct DrainRequested {};
/// A member says that it is about to leave.
struct MemberLeaving {
  MemberId member;
};
/// What a member knows of the rules; comes with every heartbeat.
struct VersionReceived {
  MemberId member;
  /// Offset of its configuration.
  std::int64_t offset = -1;
  /// It accounts for every record of the stream before this offset.
  std::int64_t through = 0;
  /// False if it knows of no read of the stream to its end.
  bool log_read_known = false;
  /// Time since the stream was last known to be read to its end.
  Duration log_age{0};
};
struct ConfigurationRequested {
  MemberId member;
  /// Offset of the configuration that the member has.
  std::int64_t have = -1;
};
/// A configuration as a change of one that this process had; base -1 is the empty text.
struct ConfigurationReceived {
  MemberId member;
  std::int64_t offset = -1;
  std::int64_t through = 0;
  std::int64_t base = -1;
  TextPatch patch;
  /// Of the whole text; see ConfigurationDigest.
  Digest digest;
};
struct RulesRecord {
  std::int64_t offset = 0;
  std::string data;
};
/// Answer to ReadRules.
struct RulesRead {
  /// False if the log didn't answer; the rest is then empty.
  bool ok = false;
  std::int64_t first_offset = 0;
  std::int64_t next_offset = 0;
  std::vector<RulesRecord> records;
};

/// Another process knows of suspects.
struct SuspectsReceived {
  std::vector<Suspect> suspects;
};

// Events of an entry.

struct RequestArrived {
  RequestId id;
  RequestTraits traits;
};
struct CallerDisconnected {
  RequestId id;
};
/// The first byte of the answer went to the caller.
struct CallerResponseStarted {
  RequestId id;
};
/// The agent holds no part of the attempt; the request counts as demand.
struct AttemptQueued {
  MemberId agent;
  AttemptId attempt;
};
struct AttemptStarted {
  MemberId agent;
  AttemptId attempt;
};
struct AttemptEnded {
  MemberId agent;
  AttemptId attempt;
  AttemptResult result = AttemptResult::kUnknown;
  Reason reason = Reason::kNone;
};
struct GrantReceived {
  MemberId agent;
  GrantId grant;
  CustomerId customer;
  TargetId target;
};
struct AgentReportReceived {
  MemberId agent;
  AgentReport report;
};

// Events of an agent.

struct OfferReceived {
  MemberId entry;
  AttemptId attempt;
  RequestTraits traits;
  /// Invalid for an offer that no grant preceded.
  GrantId grant;
};
struct CancelReceived {
  AttemptId attempt;
};
struct GrantDeclined {
  MemberId entry;
  GrantId grant;
};
/// Entry's demand for some customers and targets; replaces what it said of them before.
struct DemandReported {
  MemberId entry;
  std::vector<Demand> demand;
};
/// A running attempt consumed service since the last such event.
struct ServiceAccrued {
  AttemptId attempt;
  /// Units of service; see docs/FAIRNESS.md.
  double service = 0;
  /// Tokens generated since; a whole call of a plain service counts as one.
  std::uint32_t tokens = 0;
  /// Time in which these tokens were generated; 0 if it isn't known.
  Duration generation_time{0};
};
/// The backend server sent the first part of its answer.
struct BackendResponseStarted {
  AttemptId attempt;
  /// Time from the start of the attempt to its first token; 0 if the answer doesn't stream.
  Duration time_to_first_token{0};
};
struct AttemptFinished {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kUnknown;
  Reason reason = Reason::kNone;
  /// Whole answer of a call with a key; null if it is too large to be kept.
  std::shared_ptr<const StoredResponse> response;
};
/// An agent reported service to this one, which keeps the ledger of the customers named.
struct LedgerReportReceived {
  MemberId agent;
  LedgerReport report;
};
struct LedgerTotalsReceived {
  MemberId owner;
  LedgerTotals totals;
};
/// The agent asked its backend server how it is.
struct BackendObserved {
  bool reachable = false;
  /// Changes when the backend server restarts.
  std::uint64_t incarnation = 0;
  std::vector<TargetId> targets;
  /// Requests that the backend server runs.
  std::uint32_t running = 0;
};

/// A claim record was appended.
struct ClaimAppended {
  std::uint32_t stream = 0;
  ClaimNonce nonce;
  ClaimKind kind = ClaimKind::kClaim;
  std::int64_t offset = 0;
};
struct ClaimAppendFailed {
  std::uint32_t stream = 0;
  ClaimNonce nonce;
  ClaimKind kind = ClaimKind::kClaim;
  /// True if nothing was appended; otherwise the record may be in the log now or later.
  bool certain = false;
};
/// Answer of the log to ReadClaims.
struct ClaimsRead {
  std::uint32_t stream = 0;
  /// Offset of the oldest record that the log still keeps.
  std::int64_t first_offset = 0;
  /// Offset that the next append gets.
  std::int64_t next_offset = 0;
  std::vector<StoredClaim> records;
};
struct ClaimsReadFailed {
  std::uint32_t stream = 0;
};

using Event =
    std::variant<MembersListed, LinkUp, LinkDown, ConfigurationAccepted, DrainRequested,
                 RequestArrived, CallerDisconnected, CallerResponseStarted, AttemptQueued,
                 AttemptStarted, AttemptEnded, GrantReceived, AgentReportReceived, OfferReceived,
                 CancelReceived, GrantDeclined, DemandReported, ServiceAccrued,
                 BackendResponseStarted, AttemptFinished, BackendObserved, MemberLeaving,
                 VersionReceived, ConfigurationRequested, ConfigurationReceived, RulesRead,
                 ClaimAppended, ClaimAppendFailed, ClaimsRead, ClaimsReadFailed,
                 LedgerReportReceived, LedgerTotalsReceived, SuspectsReceived>;

}  // namespace lagoonwind::policy
