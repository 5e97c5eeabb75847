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
  std::uint32_t free = 0;
  /// Requests that the backend server bears at a time, as far as the agent knows.
  std::uint32_t window = 0;
  bool draining = false;
  std::int64_t configuration_offset = -1;

  bool operator==(const AgentReport&) const = default;
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

/// Another process knows of suspects.
struct SuspectsReported {
  std::vector<Suspect> suspects;
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

using Event = std::variant<MembersListed, LinkUp, LinkDown, ConfigurationAccepted, DrainRequested,
                           SuspectsReported, RequestArrived, CallerLeft, AnswerBegan, AttemptQueued,
                           AttemptStarted, AttemptEnded, GrantReceived, AgentReported,
                           OfferReceived, CancelReceived, GrantDeclined, DemandReported,
                           ServiceAccrued, AnswerStarted, AttemptFinished, BackendObserved>;

// Actions of both roles.

/// Open a link to a member and keep it open; LinkUp answers.
struct OpenLink {
  Member member;
};
struct CloseLink {
  MemberId member;
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
/// Tell the entry that the attempt never ran.
struct RefuseAttempt {
  MemberId entry;
  AttemptId attempt;
  Reason reason = Reason::kNone;
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

using Action = std::variant<OpenLink, CloseLink, SendSuspects, SendOffer, SendCancel, SendDecline,
                            SendDemand, FinishRequest, StartAttempt, QueueAttempt, RefuseAttempt,
                            CancelAttempt, SendGrant, SendAgentReport>;

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
  std::uint32_t window = 0;
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
  /// Retries that an entry allows itself, as a share of the requests that arrive.
  double retry_share = limits::kRetryShare;
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

  /// Decisions about a request, customer or member, oldest first. Invalid handles match nothing.
  [[nodiscard]] virtual std::vector<Decision> Explain(RequestId request, CustomerId customer,
                                                      MemberId member) const = 0;
};

/// Makes the decisions of the role that `init` names.
std::unique_ptr<Policy> MakePolicy(const Init& init);

}  // namespace lagoonwind::policy
