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
/// Events: the input of Policy::Step, apart from the time.
namespace lagoonwind::policy {

// Events of both roles.

/// The platform's host list was read. Replaces the previous list.
struct MembersListed {
  std::vector<Member> members;
};
/// A link to a member was established.
struct LinkUp {
  Member member;
  Incarnation incarnation;
};
/// The link to a member was lost.
struct LinkDown {
  MemberId member;
};
/// A configuration was accepted. Ignored if it is older than the current one.
struct ConfigurationAccepted {
  std::shared_ptr<const Configuration> configuration;
};
/// Operators or the platform requested that this process drain.
struct DrainRequested {};
/// A member announced that it is draining.
struct MemberLeaving {
  MemberId member;
};
/// Configuration version of a member; sent with every heartbeat.
struct VersionReceived {
  MemberId member;
  /// Offset of the member's configuration.
  std::int64_t offset = -1;
  /// The member has accounted for every record of the rules stream before this offset.
  std::int64_t through = 0;
  /// True if the member knows of a complete read of the rules stream.
  bool log_read_known = false;
  /// Time since the last known complete read; valid only if `log_read_known`.
  Duration log_age{0};
};
/// A member requested a newer configuration.
struct ConfigurationRequested {
  MemberId member;
  /// Offset of the member's current configuration.
  std::int64_t have = -1;
};
/// A configuration as a patch against the text of the configuration at offset `base`; -1 denotes
/// the empty text.
struct ConfigurationReceived {
  MemberId member;
  std::int64_t offset = -1;
  std::int64_t through = 0;
  std::int64_t base = -1;
  TextPatch patch;
  /// Digest of the patched text; see ConfigurationDigest.
  Digest digest;
};
/// A record of the rules stream.
struct RulesRecord {
  std::int64_t offset = 0;
  std::string data;
};
/// Response to ReadRules.
struct RulesRead {
  /// False if the read failed; the other fields are then empty.
  bool ok = false;
  std::int64_t first_offset = 0;
  std::int64_t next_offset = 0;
  std::vector<RulesRecord> records;
};

/// Another process reported request digests that were running during a crash.
struct SuspectsReceived {
  std::vector<Suspect> suspects;
};

// Events of an entry.

struct RequestArrived {
  RequestId id;
  RequestTraits traits;
};
/// The caller closed its connection before the request ended.
struct CallerDisconnected {
  RequestId id;
};
/// The first byte of the response was forwarded to the caller.
struct CallerResponseStarted {
  RequestId id;
};
/// The agent has not started the attempt and keeps no state of it; the request counts as demand.
struct AttemptQueued {
  MemberId agent;
  AttemptId attempt;
};
/// The agent started the attempt on its backend server.
struct AttemptStarted {
  MemberId agent;
  AttemptId attempt;
};
/// The attempt ended or was refused by the agent.
struct AttemptEnded {
  MemberId agent;
  AttemptId attempt;
  AttemptResult result = AttemptResult::kUnknown;
  Reason reason = Reason::kNone;
};
/// An agent reserved a slot for a request of the customer and target.
struct GrantReceived {
  MemberId agent;
  GrantId grant;
  CustomerId customer;
  TargetId target;
};
/// An agent reported its state.
struct AgentReportReceived {
  MemberId agent;
  AgentReport report;
};

// Events of an agent.

/// An entry offered a request as a new attempt.
struct OfferReceived {
  MemberId entry;
  AttemptId attempt;
  RequestTraits traits;
  /// Grant that the offer uses; invalid if none.
  GrantId grant;
};
/// An entry cancelled an attempt.
struct CancelReceived {
  AttemptId attempt;
};
/// An entry has no request for a grant.
struct GrantDeclined {
  MemberId entry;
  GrantId grant;
};
/// Demand at an entry. Replaces the entry's previous demand for the listed customers and targets;
/// a count of 0 removes it.
struct DemandReported {
  MemberId entry;
  std::vector<Demand> demand;
};
/// A running attempt consumed service since the previous such event.
struct ServiceAccrued {
  AttemptId attempt;
  /// Units of service, defined in docs/FAIRNESS.md.
  double service = 0;
  /// Tokens generated since; a complete request to a plain service counts as one.
  std::uint32_t tokens = 0;
  /// Time in which these tokens were generated; 0 if unknown.
  Duration generation_time{0};
};
/// The backend server sent the first part of its response.
struct BackendResponseStarted {
  AttemptId attempt;
  /// Time from the start of the attempt to its first token; 0 if the response is not streamed.
  Duration time_to_first_token{0};
};
/// An attempt ended on this agent's backend server.
struct AttemptFinished {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kUnknown;
  Reason reason = Reason::kNone;
  /// Complete response to a request with an idempotency key; null if it is too large to retain.
  std::shared_ptr<const StoredResponse> response;
};
/// An agent reported usage of customers whose ledgers this agent owns.
struct LedgerReportReceived {
  MemberId agent;
  LedgerReport report;
};
/// A ledger owner responded to a report.
struct LedgerTotalsReceived {
  MemberId owner;
  LedgerTotals totals;
};
/// The agent polled the status of its backend server.
struct BackendObserved {
  bool reachable = false;
  /// Changes when the backend server restarts.
  std::uint64_t incarnation = 0;
  std::vector<TargetId> targets;
  /// Requests running on the backend server, including those of other clients.
  std::uint32_t running = 0;
};

/// A claim record was appended.
struct ClaimAppended {
  std::uint32_t stream = 0;
  ClaimNonce nonce;
  ClaimKind kind = ClaimKind::kClaim;
  std::int64_t offset = 0;
};
/// Appending a claim record failed, or its result is unknown.
struct ClaimAppendFailed {
  std::uint32_t stream = 0;
  ClaimNonce nonce;
  ClaimKind kind = ClaimKind::kClaim;
  /// True if the record was definitely not appended; otherwise it may be in the log now or later.
  bool certain = false;
};
/// Response to ReadClaims.
struct ClaimsRead {
  std::uint32_t stream = 0;
  /// Offset of the oldest record retained by the log.
  std::int64_t first_offset = 0;
  /// Offset of the next record to be appended.
  std::int64_t next_offset = 0;
  std::vector<StoredClaim> records;
};
/// Reading a claim stream failed.
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
