#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// \file
/// Central limits of the fleet, each with its default and unit. Settings may narrow some of them;
/// everything else reads the constant from here.
namespace lagoonwind::limits {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Caller-facing HTTP.

/// Largest request body accepted from a caller, in bytes.
inline constexpr std::size_t kMaxBodyBytes = 4UL << 20U;
/// Largest header block accepted from a caller, in bytes.
inline constexpr std::uint32_t kMaxHeaderBytes = 16U << 10U;
/// Largest number of callers' connections that one entry holds.
inline constexpr std::size_t kMaxCallerConnections = 8192;
/// Largest number of connections that an operators' port holds.
inline constexpr std::size_t kMaxServerConnections = 1024;
/// Time that a caller has to send one whole request.
inline constexpr seconds kCallerReadTimeout{30};
/// Time without progress after which a write to a caller is given up.
inline constexpr seconds kCallerWriteTimeout{60};

// Links between daemons.

/// Largest frame on a link, in bytes; holds a whole request body.
inline constexpr std::size_t kMaxFrameBytes = kMaxBodyBytes + (1UL << 20U);
/// Interval between heartbeats on a link.
inline constexpr milliseconds kHeartbeatInterval{1000};
/// Silence after which a link is closed.
inline constexpr milliseconds kLinkTimeout{3000};
/// Delay before a lost link is opened again.
inline constexpr milliseconds kReconnectDelay{200};
/// Time that connecting and the handshake may take.
inline constexpr milliseconds kConnectTimeout{1000};

// Platform.

/// Largest number of records that one read of the log returns.
inline constexpr std::size_t kMaxLogReadRecords = 1024;
/// Interval between reads of the configuration stream by a daemon that tails it.
inline constexpr milliseconds kConfigurationPollInterval{500};
/// Longest delay between reads of the configuration stream after failed ones.
inline constexpr milliseconds kMaxLogRetryDelay{4000};
/// Shortest interval between reads of the host list.
inline constexpr milliseconds kHostListPollInterval{500};
/// Share of that interval for each listed host.
inline constexpr milliseconds kHostListPollIntervalPerHost{20};
/// Daemons that tail the configuration stream while it is known to be read.
inline constexpr std::uint32_t kLogReaderCount = 3;
/// Largest number of daemons that tail it when it isn't.
inline constexpr std::uint32_t kMaxLogReaders = 24;
/// Age of the fleet's last whole read of the log from which on further daemons read it.
inline constexpr milliseconds kLogReadStaleAge{3000};
/// Time in which the number of readers doubles from there on.
inline constexpr milliseconds kLogReaderDoublingInterval{2000};
/// Time for which a daemon goes on reading once it began in another's stead.
inline constexpr seconds kLogReaderTerm{30};
/// Time that a fresh daemon waits for peers and for the host list before it reads the log.
inline constexpr milliseconds kLogReadStartDelay{1000};
/// Interval between snapshots of the rules in their stream.
inline constexpr seconds kSnapshotInterval{600};
/// Time that a fresh reader waits for another's snapshot, and that readers wait for each other.
inline constexpr seconds kSnapshotDelay{30};
/// Records of the configuration stream after which a snapshot is due.
inline constexpr std::int64_t kSnapshotRecords = 16;
/// Newest records of the configuration stream that a fresh daemon looks for a snapshot in first.
inline constexpr std::int64_t kSnapshotSearchRecords = 32;
/// Time that one call to the platform may take.
inline constexpr milliseconds kPlatformTimeout{2000};

// Decisions.

/// Age of the last whole read of the log from which on a daemon without a link to any other
/// availability zone takes no new work.
inline constexpr milliseconds kCutOffTimeout{3000};
/// Time between two steps from which on a daemon counts as having been paused.
inline constexpr milliseconds kPauseThreshold{2500};
/// Time for which a paused daemon takes no new work, so that it hears what it missed.
inline constexpr milliseconds kPauseRecovery{1200};
/// Time for which a member that is neither listed nor linked is remembered.
inline constexpr seconds kMemberRetention{60};
/// Time after which a configuration is asked for from another member.
inline constexpr milliseconds kConfigurationRequestTimeout{1000};
/// Largest change of a configuration, in bytes, that is sent without regard to others.
inline constexpr std::size_t kSmallConfigurationChangeBytes = 4096;
/// Least interval between larger ones.
inline constexpr milliseconds kLargeConfigurationChangeInterval{50};
/// Configurations that a daemon remembers to send changes of.
inline constexpr std::size_t kMaxFormerConfigurations = 4;

/// Interval between frame steps when no event arrives.
inline constexpr milliseconds kStepInterval{20};
/// Number of requests that a customer may have waiting at one entry unless its rule says otherwise.
inline constexpr std::uint32_t kDefaultCustomerQueueLimit = 100;
/// Time after which an unanswered grant expires at the agent.
inline constexpr milliseconds kGrantTimeout{500};
/// Interval between agents' reports of their state to entries.
inline constexpr milliseconds kAgentReportInterval{500};
/// Largest number of attempts at one request, the first included.
inline constexpr std::uint32_t kMaxAttempts = 3;
/// Longest time that a request may wait at an entry before it is refused as not run.
inline constexpr seconds kMaxQueueWait{120};
/// Number of decisions that a process remembers for `explain`.
inline constexpr std::size_t kDecisionRingSize = 4096;
/// Interval between observations of a backend server by its agent.
inline constexpr milliseconds kBackendPollInterval{500};

// Retries and requests that crash backend servers.

/// Retries that an entry allows itself, as a share of the requests that arrive.
inline constexpr double kRetryBudgetRatio = 0.1;
/// Retries that an entry can save up, so that one lost backend server doesn't use up the budget.
inline constexpr double kRetryBudgetCapacity = 64;
/// Longest delay before the first retry; doubles with each further one.
inline constexpr milliseconds kRetryBaseDelay{50};
/// Longest delay before any retry.
inline constexpr milliseconds kRetryMaxDelay{2000};
/// Time for which a suspect or a quarantined digest is remembered.
inline constexpr seconds kSuspectTtl{600};
/// Largest number of digests that are remembered.
inline constexpr std::size_t kMaxSuspects = 256;

// Capacity of a backend server.

/// Largest window that an agent ever opens, in requests.
inline constexpr std::uint32_t kMaxConcurrencyLimit = 512;
/// Least time that an agent without memory watches one request before it admits two.
inline constexpr milliseconds kInitialObservationTime{1000};
/// Time after which a window that wasn't used up is lowered to what was used.
inline constexpr seconds kUnusedLimitTimeout{5};
/// Time for which a window stays below the load at which its backend server crashed; doubles with
/// each such crash.
inline constexpr seconds kMinCrashBackoff{10};
inline constexpr seconds kMaxCrashBackoff{1800};
/// Interval at which a call looks whether it was cancelled or has stalled.
inline constexpr milliseconds kCancelPollInterval{50};
/// Longest time from a call to the first token of a stream.
inline constexpr seconds kFirstTokenTimeout{30};
/// Longest time from a call to the first part of an answer that doesn't stream.
inline constexpr seconds kResponseStartTimeout{300};
/// Longest silence between two parts of an answer.
inline constexpr seconds kStallTimeout{15};
/// Time for which a window stays at the load at which its backend server refused more.
inline constexpr seconds kRefusalBackoff{5};

// Claims of calls that may run once.

/// Number of log streams that claims are split over by the hash of their key.
inline constexpr std::uint32_t kClaimStreams = 8;
/// Time from an offer to the start of its run within which a claim must be settled.
inline constexpr milliseconds kClaimTimeout{3000};
/// Interval between tries to append a release or a completion, or to read a stream at the start.
inline constexpr milliseconds kClaimRetryInterval{500};
/// Largest number of claim records in one append.
inline constexpr std::size_t kMaxClaimBatch = 256;
/// Largest number of releases and completions that wait for the log; one is dropped for each more.
inline constexpr std::size_t kMaxClaimOutbox = 4096;
/// Largest answer that is kept for calls with the same key, in bytes.
inline constexpr std::size_t kMaxStoredResponseBytes = 16U << 10U;
/// Largest number of kept answers in each stream.
inline constexpr std::size_t kMaxStoredResponses = 256;
/// Time that a finished answer is kept.
inline constexpr seconds kStoredResponseTtl{600};
/// Time in which an idempotency key is remembered unless its target's rule says otherwise.
inline constexpr seconds kDefaultIdempotencyWindow{24 * 3600};
/// Time beyond the window that claims are remembered; covers clock skew and waiting at entries.
inline constexpr seconds kClaimGrace{300};
/// Number of attempts that an agent remembers, so that an offer is taken once.
inline constexpr std::size_t kMaxSeenOffers = 16384;

// Metrics.

/// Number of customers that have series of their own; the rest share the series `other`.
inline constexpr std::size_t kMaxCustomerSeries = 200;

// Fair share.

/// Cost that a request is expected to have before any has ended, in units of service.
inline constexpr double kInitialRequestCost = 100;
/// Interval between an agent's reports to a ledger keeper.
inline constexpr milliseconds kLedgerReportInterval{1000};
/// Time after which an unanswered report is given up and sent again.
inline constexpr milliseconds kLedgerResponseTimeout{3000};
/// Number of parts that customers are divided into, each with its keeper.
inline constexpr std::uint32_t kLedgerShards = 32;
/// Number of agents, in the order of preference, that agents keep links to for each part.
inline constexpr std::size_t kLedgerCandidates = 2;
/// Time without demand anywhere after which a customer counts as newly backlogged.
inline constexpr milliseconds kLedgerIdleTime{5000};
/// Least interval between an agent's reports to a ledger keeper in a small fleet.
inline constexpr milliseconds kMinLedgerReportInterval{100};
/// Growth of that interval with each agent of the fleet.
inline constexpr milliseconds kLedgerReportIntervalPerAgent{10};
/// Largest lag behind the upper quartile of backlogged customers that is caught up: this many mean
/// requests of the customer with the dearest ones, and this many times the largest service in
/// flight of a customer.
inline constexpr double kCatchUpRequests = 16;
inline constexpr double kCatchUpInFlight = 4;

}  // namespace lagoonwind::limits
