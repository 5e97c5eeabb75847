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

// Fair share.

/// Interval between an agent's reports to a ledger keeper.
inline constexpr milliseconds kLedgerReportInterval{1000};
/// Time after which an unanswered report is given up and sent again.
inline constexpr milliseconds kLedgerAnswerTimeout{3000};
/// Number of parts that customers are divided into, each with its keeper.
inline constexpr std::uint32_t kLedgerParts = 32;
/// Number of agents, in the order of preference, that agents keep links to for each part.
inline constexpr std::size_t kLedgerChoices = 2;
/// Time without demand anywhere after which a customer counts as newly backlogged.
inline constexpr milliseconds kLedgerIdleTime{5000};
/// Least interval between an agent's reports to a ledger keeper in a small fleet.
inline constexpr milliseconds kLedgerLeastInterval{200};
/// Growth of that interval with each agent of the fleet.
inline constexpr milliseconds kLedgerIntervalPerAgent{20};
/// Largest lag behind the upper quartile of backlogged customers that is caught up: this many mean
/// requests of the customer with the dearest ones, and this many times the largest service in
/// flight of a customer.
inline constexpr double kCatchUpRequests = 16;
inline constexpr double kCatchUpInFlight = 4;

}  // namespace lagoonwind::limits
