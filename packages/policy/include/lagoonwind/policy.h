#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"
#include "lagoonwind/rules.h"
#include "lagoonwind/rules_diff.h"

/// \file
/// Decisions of a daemon. No I/O, no threads, no clock and no random source: time, events and the
/// seed come in as arguments and actions come out as values. Equal input gives equal output.
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
  std::uint32_t reach = 1;

  auto operator<=>(const Demand&) const = default;
};

/// What an agent tells entries about itself.
struct AgentReport {
  std::vector<TargetId> targets;
  /// Requests that it would start at once.
  std::uint32_t free = 0;
  /// Requests that the backend server bears at a time, as far as the agent knows.
  std::uint32_t window = 0;
  bool draining = false;
  std::int64_t configuration_offset = -1;

  bool operator==(const AgentReport&) const = default;
};

/// Service of one customer at one agent, as the agent tells it to the customer's ledger keeper.
struct LedgerEntry {
  CustomerId customer;
  /// Service that the agent gave since it started; never shrinks.
  double service = 0;
  /// Expected rest of what runs there now.
  double in_flight = 0;
  /// Fleet-wide service as the agent last knew it, its own since then included.
  double known = 0;
  /// The customer has requests waiting that this agent sees.
  bool backlogged = false;
  /// First entry for the customer on this link: the keeper can't build on earlier ones.
  bool first = false;

  bool operator==(const LedgerEntry&) const = default;
};

/// An agent's entries that changed since its last report to the same keeper.
struct LedgerReport {
  /// Keeps reports of an earlier run of the agent apart.
  Incarnation agent;
  std::uint64_t number = 0;
  /// Service per share that a newly backlogged customer is lifted to.
  double lift = 0;
  /// Service per share that no backlogged customer stays behind.
  double floor = 0;
  std::vector<LedgerEntry> entries;

  bool operator==(const LedgerReport&) const = default;
};

/// Service of one customer over the fleet.
struct LedgerTotal {
  CustomerId customer;
  double service = 0;
  double in_flight = 0;
  /// Agents that see waiting requests of the customer.
  std::uint32_t reach = 1;

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
  Digest key;
  /// Age of the key if it tells when it was made (a UUID of version 7), else 0.
  Duration key_age{0};
};

/// A whole answer, kept for further calls with the same key. Immutable once shared.
struct KeptAnswer {
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
  Digest key;
  /// Digest of the request that claims the key.
  Digest content;
  CustomerId customer;
  ClaimNonce nonce;
  Incarnation agent;
  /// Only in a completion, and only if the answer is small enough to be kept.
  std::shared_ptr<const KeptAnswer> answer;
};

/// A record as the log keeps it.
struct StoredClaim {
  std::int64_t offset = 0;
  /// Time since the record was written, by the wall clocks of its writer and its reader.
  Duration age{0};
  ClaimRecord record;
};

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
struct VersionHeard {
  MemberId member;
  /// Offset of its configuration.
  std::int64_t offset = -1;
  /// It accounts for every record of the stream before this offset.
  std::int64_t through = 0;
  /// False if it knows of no read of the stream to its end.
  bool log_seen = false;
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

// Events of an entry.

struct RequestArrived {
  RequestId id;
  RequestTraits traits;
};
struct CallerLeft {
  RequestId id;
};
/// The first byte of the answer went to the caller.
struct AnswerBegan {
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
struct AgentReported {
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
  Duration took{0};
};
/// The backend server sent the first part of its answer.
struct AnswerStarted {
  AttemptId attempt;
  /// Time from the start of the attempt to its first token; 0 if the answer doesn't stream.
  Duration first_token{0};
};
struct AttemptFinished {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kUnknown;
  Reason reason = Reason::kNone;
  /// Whole answer of a call with a key; null if it is too large to be kept.
  std::shared_ptr<const KeptAnswer> answer;
};
/// An agent reported service to this one, which keeps the ledger of the customers named.
struct LedgerReported {
  MemberId agent;
  LedgerReport report;
};
struct LedgerAnswered {
  MemberId keeper;
  LedgerTotals totals;
};
/// The agent asked its backend server how it is.
struct BackendObserved {
  bool reachable = false;
  /// Changes when the backend server restarts.
  std::uint64_t instance = 0;
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
                 RequestArrived, CallerLeft, AnswerBegan, AttemptQueued, AttemptStarted,
                 AttemptEnded, GrantReceived, AgentReported, OfferReceived, CancelReceived,
                 GrantDeclined, DemandReported, ServiceAccrued, AnswerStarted, AttemptFinished,
                 BackendObserved, MemberLeaving, VersionHeard, ConfigurationRequested,
                 ConfigurationReceived, RulesRead, ClaimAppended, ClaimAppendFailed, ClaimsRead,
                 ClaimsReadFailed, LedgerReported, LedgerAnswered>;

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
  bool log_seen = false;
  Time log_seen_at;
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
  MemberId keeper;
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
struct RepeatAnswer {
  MemberId entry;
  AttemptId attempt;
  std::shared_ptr<const KeptAnswer> answer;
};

using Action =
    std::variant<OpenLink, CloseLink, SendOffer, SendCancel, SendDecline, SendDemand, FinishRequest,
                 StartAttempt, QueueAttempt, RefuseAttempt, CancelAttempt, SendGrant,
                 SendAgentReport, SendLeaving, ReadRules, AppendRules, PublishConfiguration,
                 AnnounceVersion, RequestConfiguration, SendConfiguration, AppendClaim, ReadClaims,
                 RepeatAnswer, SendLedgerReport, SendLedgerTotals>;

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
  kWindowChanged,
  kBackendRestarted,
  kLinkUp,
  kLinkDown,
  kConfigurationAccepted,
  kClaimHeld,
  kClaimLost,
  kClaimReleased,
  kAnswerRepeated,
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
  Reason closed = Reason::kNone;
  /// True if the process follows the stream of rules itself.
  bool reads_log = false;
  std::uint32_t window = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t grants_sent = 0;
  std::uint64_t grants_expired = 0;
  std::vector<CustomerStats> customers;
  std::vector<MemberStats> members;
};

/// How an agent compares customers.
enum class ServiceView {
  /// By its own service alone.
  kLocal,
  /// By the ledger's last total and its own service since.
  kLateTotal,
  /// As kLateTotal, its own service since scaled by the number of agents that act at the same time.
  kReach,
  /// As kReach, with rounding that differs by agent and customer.
  kDithered,
};

/// What a request is expected to cost before its end is known.
enum class CostEstimate { kNone, kMean, kQuantile };

/// Parameters of fair sharing; all but the defaults are alternatives for measurement.
struct FairShareOptions {
  ServiceView view = ServiceView::kDithered;
  CostEstimate estimate = CostEstimate::kMean;
  /// Longest interval between an agent's reports to a ledger keeper; small fleets use less.
  Duration report_interval = limits::kLedgerReportInterval;
};

/// Digest that goes with a configuration's text from process to process. Thread safe.
Digest ConfigurationDigest(std::int64_t offset, std::string_view text);

/// Parameters of a Policy; the defaults suit tests.
struct Init {
  Role role = Role::kEntry;
  std::string name = "unnamed";
  std::string zone;
  /// Differs for each start of the process.
  Incarnation incarnation{1};
  std::uint64_t seed = 1;
  /// Tags of the agent's backend server.
  std::vector<std::string> tags;
  /// Requests that the agent's backend server bears at a time; 0 finds it out by warm-up.
  std::uint32_t fixed_window = 0;
  FairShareOptions fair_share;
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
  [[nodiscard]] virtual std::vector<Decision> Explain(RequestId request, CustomerId customer,
                                                      MemberId member) const = 0;
};

/// Makes the decisions of the role that `init` names.
std::unique_ptr<Policy> MakePolicy(const Init& init);

}  // namespace lagoonwind::policy
