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
/// Actions: the output of Policy::Step, carried out by the runtime in the order given.
namespace lagoonwind::policy {

// Actions of both roles.

/// Open a link to a member and keep it open. LinkUp follows.
struct OpenLink {
  Member member;
};
/// Close the link to a member and no longer keep it open.
struct CloseLink {
  MemberId member;
};
/// Announce to a member, or to every linked member if the id is invalid, that this process drains.
struct SendLeaving {
  MemberId member;
};
/// Read the rules stream from an offset on. RulesRead follows.
struct ReadRules {
  std::int64_t from = 0;
};
/// Append a record to the rules stream. No event follows.
struct AppendRules {
  std::string record;
};
/// Publish the configuration in force, or progress on the rules stream, to the rest of the process.
struct PublishConfiguration {
  std::shared_ptr<const Configuration> configuration;
  std::int64_t through = 0;
};
/// Set the configuration version that heartbeats carry.
struct AnnounceVersion {
  /// Offset of the configuration in force.
  std::int64_t offset = -1;
  /// Every record of the rules stream before this offset is accounted for.
  std::int64_t through = 0;
  bool log_read_known = false;
  Time last_log_read;
  /// Send a heartbeat to every linked member immediately.
  bool urgent = false;
};
/// Request a member's configuration. ConfigurationReceived may follow.
struct RequestConfiguration {
  MemberId member;
  std::int64_t have = -1;
};
/// Send the configuration in force to a member as a patch; see ConfigurationReceived.
struct SendConfiguration {
  MemberId member;
  std::int64_t offset = -1;
  std::int64_t through = 0;
  std::int64_t base = -1;
  TextPatch patch;
  Digest digest;
};

/// Send suspects to every linked process of the other role.
struct SendSuspects {
  std::vector<Suspect> suspects;
};

// Actions of an entry.

/// Offer a request to an agent as a new attempt.
struct SendOffer {
  MemberId agent;
  AttemptId attempt;
  GrantId grant;
};
/// Cancel an attempt at an agent.
struct SendCancel {
  MemberId agent;
  AttemptId attempt;
};
/// Return a grant for which no request waits.
struct SendDecline {
  MemberId agent;
  GrantId grant;
};
/// Report changes of demand to an agent.
struct SendDemand {
  MemberId agent;
  std::vector<Demand> demand;
};
/// End the request with this outcome. No part of a response is forwarded afterwards.
struct FinishRequest {
  RequestId id;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
};

// Actions of an agent.

/// Start an attempt on the backend server.
struct StartAttempt {
  MemberId entry;
  AttemptId attempt;
};
/// Notify the entry that the attempt was not started and that the agent keeps no state of it.
struct QueueAttempt {
  MemberId entry;
  AttemptId attempt;
};
/// Notify the entry that the attempt is refused.
struct RefuseAttempt {
  MemberId entry;
  AttemptId attempt;
  Reason reason = Reason::kNone;
  /// kUnknown if an earlier request with the same idempotency key may have run.
  AttemptResult result = AttemptResult::kNotRun;
};
/// Cancel an attempt that runs on the backend server.
struct CancelAttempt {
  AttemptId attempt;
};
/// Reserve a slot for a request of the customer and target that waits at the entry.
struct SendGrant {
  MemberId entry;
  GrantId grant;
  CustomerId customer;
  TargetId target;
};
/// Send the agent's state to every linked entry.
struct SendAgentReport {
  AgentReport report;
};
/// Report usage to a ledger owner. LedgerTotalsReceived follows.
struct SendLedgerReport {
  MemberId owner;
  LedgerReport report;
};
/// Respond to an agent's ledger report.
struct SendLedgerTotals {
  MemberId agent;
  LedgerTotals totals;
};

/// Append a record to a claim stream. ClaimAppended or ClaimAppendFailed follows.
struct AppendClaim {
  std::uint32_t stream = 0;
  ClaimRecord record;
};
/// Read a claim stream from an offset on. ClaimsRead or ClaimsReadFailed follows.
struct ReadClaims {
  std::uint32_t stream = 0;
  std::int64_t from = 0;
};
/// Respond to an attempt with a stored response, without an execution.
struct ReplayResponse {
  MemberId entry;
  AttemptId attempt;
  std::shared_ptr<const StoredResponse> response;
};

using Action =
    std::variant<OpenLink, CloseLink, SendOffer, SendCancel, SendDecline, SendDemand, FinishRequest,
                 StartAttempt, QueueAttempt, RefuseAttempt, CancelAttempt, SendGrant,
                 SendAgentReport, SendLeaving, ReadRules, AppendRules, PublishConfiguration,
                 AnnounceVersion, RequestConfiguration, SendConfiguration, AppendClaim, ReadClaims,
                 ReplayResponse, SendLedgerReport, SendLedgerTotals, SendSuspects>;

}  // namespace lagoonwind::policy
