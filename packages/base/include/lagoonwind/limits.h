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
inline constexpr milliseconds kConfigurationPollInterval{300};
/// Interval between reads of the host list.
inline constexpr milliseconds kHostListPollInterval{500};
/// Time that one call to the platform may take.
inline constexpr milliseconds kPlatformTimeout{2000};

// Decisions.

/// Interval between frame steps when no event arrives.
inline constexpr milliseconds kStepInterval{20};
/// Number of requests that a customer may have waiting at one entry unless its rule says otherwise.
inline constexpr std::uint32_t kDefaultCustomerQueue = 100;
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
inline constexpr double kRetryShare = 0.1;
/// Retries that an entry can save up, so that one lost backend server doesn't use up the budget.
inline constexpr double kMaxSavedRetries = 64;
/// Longest delay before the first retry; doubles with each further one.
inline constexpr milliseconds kRetryBaseDelay{50};
/// Longest delay before any retry.
inline constexpr milliseconds kRetryMaxDelay{2000};
/// Time for which a suspect or a quarantined digest is remembered.
inline constexpr seconds kSuspectTime{600};
/// Largest number of digests that are remembered.
inline constexpr std::size_t kMaxSuspects = 256;

// Capacity of a backend server.

/// Largest window that an agent ever opens, in requests.
inline constexpr std::uint32_t kMaxWindow = 512;
/// Least time that an agent without memory watches one request before it admits two.
inline constexpr milliseconds kFirstLook{1000};
/// Time after which a window that wasn't used up is lowered to what was used.
inline constexpr seconds kEvidenceTime{5};
/// Time for which a window stays below the load at which its backend server crashed; doubles with
/// each such crash.
inline constexpr seconds kMinCeilingTime{10};
inline constexpr seconds kMaxCeilingTime{1800};
/// Interval at which a call looks whether it was cancelled or has stalled.
inline constexpr milliseconds kCancelPollInterval{50};
/// Longest time from a call to the first token of a stream.
inline constexpr seconds kFirstTokenTimeout{30};
/// Longest time from a call to the first part of an answer that doesn't stream.
inline constexpr seconds kWholeAnswerTimeout{300};
/// Longest silence between two parts of an answer.
inline constexpr seconds kStallTimeout{15};
/// Time for which a window stays at the load at which its backend server refused more.
inline constexpr seconds kRefusalTime{5};

}  // namespace lagoonwind::limits
