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
/// What decisions ask for: the output of a step, carried out by the runtime.
namespace lagoonwind::policy {

// Actions of both roles.

/// Open a link to a member and keep it open; LinkUp answers.
struct OpenLink {
  Member member;
};
struct CloseLink {
  MemberId member;
};
/// Tell a member, or every linked one if it is invalid, that this process leaves.
struct SendLeaving {
  MemberId member;
};
/// Read the stream of rules; RulesRead answers.
struct ReadRules {
  std::int64_t from = 0;
};
/// Append a record to the stream of rules. Nothing answers.
struct AppendRules {
  std::string record;
};
/// The configuration in force or what is known of the stream changed.
struct PublishConfiguration {
  std::shared_ptr<const Configuration> configuration;
  std::int64_t through = 0;
};
/// What heartbeats say from now on.
struct AnnounceVersion {
  std::int64_t offset = -1;
  std::int64_t through = 0;
  bool log_read_known = false;
  Time last_log_read;
  /// Send it to every linked member at once.
  bool urgent = false;
};
/// Ask a member for its configuration; ConfigurationReceived may answer.
struct RequestConfiguration {
  MemberId member;
  std::int64_t have = -1;
};
struct SendConfiguration {
  MemberId member;
  std::int64_t offset = -1;
  std::int64_t through = 0;
  std::int64_t base = -1;
  TextPatch patch;
  Digest digest;
};

/// Tell every linked process of the other role.
struct SendSuspects {
  std::vector<Suspect> suspects;
};

// Actions of an entry.

/// Send a request to an agent as a new attempt.
struct SendOffer {
  MemberId agent;
  AttemptId attempt;
  GrantId grant;
};
struct SendCancel {
  MemberId agent;
  AttemptId attempt;
};
struct SendDecline {
  MemberId agent;
  GrantId grant;
};
struct SendDemand {
  MemberId agent;
  std::vector<Demand> demand;
};
/// The request is over; nothing of its answer follows.
struct FinishRequest {
  RequestId id;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
};

// Actions of an agent.

/// Run an attempt on the backend server now.
struct StartAttempt {
  MemberId entry;
  AttemptId attempt;
};
/// Tell the entry that the attempt hasn't started and is forgotten.
struct QueueAttempt {
  MemberId entry;
  AttemptId attempt;
};
/// Tell the entry that the attempt isn't run.
struct RefuseAttempt {
  MemberId entry;
  AttemptId attempt;
  Reason reason = Reason::kNone;
  /// kUnknown if an earlier call with the same key may have run.
  AttemptResult result = AttemptResult::kNotRun;
};
struct CancelAttempt {
  AttemptId attempt;
};
struct SendGrant {
  MemberId entry;
  GrantId grant;
  CustomerId customer;
  TargetId target;
};
/// Send a report to every linked entry.
struct SendAgentReport {
  AgentReport report;
};
struct SendLedgerReport {
  MemberId owner;
  LedgerReport report;
};
struct SendLedgerTotals {
  MemberId agent;
  LedgerTotals totals;
};

/// Append a record to a claim stream; ClaimAppended or ClaimAppendFailed answers.
struct AppendClaim {
  std::uint32_t stream = 0;
  ClaimRecord record;
};
/// Read a claim stream from an offset on; ClaimsRead or ClaimsReadFailed answers.
struct ReadClaims {
  std::uint32_t stream = 0;
  std::int64_t from = 0;
};
/// Answer an attempt with an answer that was kept; nothing runs.
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
