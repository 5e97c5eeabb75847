#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// \file
/// Limits, time-outs and intervals shared by the packages, with their units. Settings and rules can
/// override some of them; the others are fixed.
namespace lagoonwind::limits {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Caller-facing HTTP.

/// Maximum size of a caller's request body, in bytes.
inline constexpr std::size_t kMaxBodyBytes = 4UL << 20U;
/// Maximum size of a caller's request header, in bytes.
inline constexpr std::uint32_t kMaxHeaderBytes = 16U << 10U;
/// Maximum number of open caller connections at one entry.
inline constexpr std::size_t kMaxCallerConnections = 8192;
/// Maximum number of open connections at one server started by http::Serve.
inline constexpr std::size_t kMaxServerConnections = 1024;
/// Time in which a caller must send a complete request.
inline constexpr seconds kCallerReadTimeout{30};
/// Time without progress after which a write to a caller is aborted.
inline constexpr seconds kCallerWriteTimeout{60};

// Links between daemons.

/// Maximum size of a frame on a link, in bytes. Large enough for a complete request body and the
/// other fields of its message.
inline constexpr std::size_t kMaxFrameBytes = kMaxBodyBytes + (1UL << 20U);
/// Interval between the heartbeats on a link.
inline constexpr milliseconds kHeartbeatInterval{1000};
/// Time without received data after which a link is closed.
inline constexpr milliseconds kLinkTimeout{3000};
/// Delay before a lost link is reconnected.
inline constexpr milliseconds kReconnectDelay{200};
/// Time-out for connecting to a daemon or backend server, and for the handshake of a link.
inline constexpr milliseconds kConnectTimeout{1000};

// Platform.

/// Maximum number of records that one read of the log returns.
inline constexpr std::size_t kMaxLogReadRecords = 1024;
/// Interval between reads of the configuration stream by a daemon that follows it.
inline constexpr milliseconds kConfigurationPollInterval{500};
/// Maximum back-off between reads of the configuration stream after failed reads.
inline constexpr milliseconds kMaxLogRetryDelay{4000};
/// Minimum interval between reads of the host list.
inline constexpr milliseconds kHostListPollInterval{500};
/// Interval between reads of the host list for each listed host; bounds the load on the platform in
/// large fleets.
inline constexpr milliseconds kHostListPollIntervalPerHost{20};
/// Number of daemons that follow the configuration stream in normal operation. The others receive
/// configurations from their peers.
inline constexpr std::uint32_t kLogReaderCount = 3;
/// Maximum number of daemons that follow the stream when its readers appear to have failed.
inline constexpr std::uint32_t kMaxLogReaders = 24;
/// Age of the fleet's last complete read of the log above which additional daemons read it.
inline constexpr milliseconds kLogReadStaleAge{3000};
/// Interval at which the number of readers doubles above that age.
inline constexpr milliseconds kLogReaderDoublingInterval{2000};
/// Time for which a daemon that became an additional reader continues to read.
inline constexpr seconds kLogReaderTerm{30};
/// Time after its start for which a daemon waits for peers and for the host list before it reads
/// the log.
inline constexpr milliseconds kLogReadStartDelay{1000};
/// Interval between snapshots of the rules in the configuration stream.
inline constexpr seconds kSnapshotInterval{600};
/// Time for which a newly started reader waits for a snapshot by another reader, and delay between
/// the snapshots of readers of successive rank, so that usually only one of them writes it.
inline constexpr seconds kSnapshotDelay{30};
/// Number of records of the configuration stream after which a snapshot is written.
inline constexpr std::int64_t kSnapshotRecords = 16;
/// Number of the newest records of the configuration stream in which a newly started daemon first
/// searches for a snapshot.
inline constexpr std::int64_t kSnapshotSearchRecords = 32;
/// Time-out of one call to the platform.
inline constexpr milliseconds kPlatformTimeout{2000};

// Scheduling, membership and distribution of configurations.

/// Age of the last complete read of the log above which a daemon without a link to any other
/// availability zone accepts no new work.
inline constexpr milliseconds kCutOffTimeout{3000};
/// Time between two scheduling steps above which a daemon is considered to have been paused.
inline constexpr milliseconds kPauseThreshold{2500};
/// Time for which a daemon accepts no new work after a pause, so that it first receives the updates
/// that it missed.
inline constexpr milliseconds kPauseRecovery{1200};
/// Time after which a member that is neither listed nor linked is removed.
inline constexpr seconds kMemberRetention{60};
/// Time after which a configuration is requested from another member.
inline constexpr milliseconds kConfigurationRequestTimeout{1000};
/// Maximum size of a configuration change, in bytes, that is sent immediately. Larger changes are
/// rate limited.
inline constexpr std::size_t kSmallConfigurationChangeBytes = 4096;
/// Minimum interval between larger configuration changes sent by one member.
inline constexpr milliseconds kLargeConfigurationChangeInterval{50};
/// Number of former configurations that a daemon keeps as the base for sending differences.
inline constexpr std::size_t kMaxFormerConfigurations = 4;

/// Maximum interval between scheduling steps, reached when no event arrives.
inline constexpr milliseconds kStepInterval{20};
/// Maximum number of waiting requests of a customer at one entry, unless the customer's rule sets
/// another.
inline constexpr std::uint32_t kDefaultCustomerQueueLimit = 100;
/// Time after which a grant without an offer or a decline expires at the agent.
inline constexpr milliseconds kGrantTimeout{500};
/// Interval between the state reports that an agent sends to entries.
inline constexpr milliseconds kAgentReportInterval{500};
/// Maximum number of attempts at one request, including the first.
inline constexpr std::uint32_t kMaxAttempts = 3;
/// Maximum queueing time of a request at an entry. After it, the request ends as not run.
inline constexpr seconds kMaxQueueWait{120};
/// Number of recent scheduling decisions that a process keeps for `explain`.
inline constexpr std::size_t kDecisionRingSize = 4096;
/// Interval between an agent's health checks of its backend server.
inline constexpr milliseconds kBackendPollInterval{500};

// Retries, and quarantine of requests that crash backend servers.

/// Retries that an entry may make, as a ratio of the requests that arrive.
inline constexpr double kRetryBudgetRatio = 0.1;
/// Maximum number of retries that accumulate in an entry's retry budget, so that the loss of one
/// backend server does not exhaust it.
inline constexpr double kRetryBudgetCapacity = 64;
/// Maximum delay before the first retry. It doubles with each further retry.
inline constexpr milliseconds kRetryBaseDelay{50};
/// Maximum delay before any retry.
inline constexpr milliseconds kRetryMaxDelay{2000};
/// Time after which a suspected or quarantined request digest expires.
inline constexpr seconds kSuspectTtl{600};
/// Maximum number of suspected or quarantined request digests.
inline constexpr std::size_t kMaxSuspects = 256;

// Concurrency limit of a backend server, and time-outs of its responses.

/// Maximum concurrency limit that an agent sets for its backend server, in requests.
inline constexpr std::uint32_t kMaxConcurrencyLimit = 512;
/// Minimum time for which an agent without measurements observes one request before it admits two.
inline constexpr milliseconds kInitialObservationTime{1000};
/// Time after which a concurrency limit that was not reached is lowered to about the concurrency
/// that was observed.
inline constexpr seconds kUnusedLimitTimeout{5};
/// Time for which the concurrency limit stays below the concurrency at which the backend server
/// crashed. Doubles with each such crash, up to kMaxCrashBackoff.
inline constexpr seconds kMinCrashBackoff{10};
/// Upper bound of that time.
inline constexpr seconds kMaxCrashBackoff{1800};
/// Interval at which a call to a backend server checks for cancellation and time-outs.
inline constexpr milliseconds kCancelPollInterval{50};
/// Maximum time from a call to the first data of a streamed response.
inline constexpr seconds kFirstTokenTimeout{30};
/// Maximum time from a call to the first data of a response that is not streamed.
inline constexpr seconds kResponseStartTimeout{300};
/// Maximum time without data after the response has begun.
inline constexpr seconds kStallTimeout{15};
/// Time for which the concurrency limit stays at the concurrency at which the backend server
/// refused a request.
inline constexpr seconds kRefusalBackoff{5};

// Claims of idempotency keys, for requests that run at most once.

/// Number of log streams over which claims are distributed by the hash of their idempotency key.
inline constexpr std::uint32_t kClaimStreams = 8;
/// Maximum time from an offer until its claim is decided. Without a decision by then, the request
/// is not executed.
inline constexpr milliseconds kClaimTimeout{3000};
/// Interval between attempts to append a release or a completion, or to read a stream at start-up.
inline constexpr milliseconds kClaimRetryInterval{500};
/// Maximum number of claim records in one append.
inline constexpr std::size_t kMaxClaimBatch = 256;
/// Maximum number of releases and completions queued for the log. Each one beyond it causes one to
/// be dropped.
inline constexpr std::size_t kMaxClaimOutbox = 4096;
/// Maximum size of a response that is stored for requests with the same idempotency key, in bytes.
inline constexpr std::size_t kMaxStoredResponseBytes = 16U << 10U;
/// Maximum number of stored responses per stream.
inline constexpr std::size_t kMaxStoredResponses = 256;
/// Time for which a complete response is stored.
inline constexpr seconds kStoredResponseTtl{600};
/// Time for which an idempotency key is remembered, unless the rule of its target sets another.
inline constexpr seconds kDefaultIdempotencyWindow{24 * 3600};
/// Additional time for which claims are remembered; covers clock skew and queueing at entries.
inline constexpr seconds kClaimGrace{300};
/// Number of recent attempts that an agent remembers in order to discard duplicate offers.
inline constexpr std::size_t kMaxSeenOffers = 16384;

// Metrics.

/// Maximum number of customers with their own metric series. All others are counted in the series
/// `other`.
inline constexpr std::size_t kMaxCustomerSeries = 200;

// Fair queueing between customers.

/// Estimated cost of a request before the first request has ended, in units of service.
inline constexpr double kInitialRequestCost = 100;
/// Maximum interval between an agent's usage reports to a ledger owner, the agent that sums up the
/// usage of one shard of the customers.
inline constexpr milliseconds kLedgerReportInterval{1000};
/// Time after which a report without a response is sent again.
inline constexpr milliseconds kLedgerResponseTimeout{3000};
/// Number of shards into which customers are divided. Each shard has a ledger owner.
inline constexpr std::uint32_t kLedgerShards = 32;
/// Number of candidate owners per shard, in order of preference, to which agents keep links.
inline constexpr std::size_t kLedgerCandidates = 2;
/// Time without demand at any entry after which a customer is treated as newly backlogged.
inline constexpr milliseconds kLedgerIdleTime{5000};
/// Minimum interval between an agent's usage reports to a ledger owner.
inline constexpr milliseconds kMinLedgerReportInterval{100};
/// Increase of that interval for each agent of the fleet.
inline constexpr milliseconds kLedgerReportIntervalPerAgent{10};
/// A customer catches up on at most this lag behind the upper quartile of the backlogged customers:
/// kCatchUpRequests times the highest mean request cost of any customer, plus kCatchUpInFlight
/// times the largest service in flight of any customer.
inline constexpr double kCatchUpRequests = 16;
inline constexpr double kCatchUpInFlight = 4;

}  // namespace lagoonwind::limits
