#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// Values that Rollout exchanges with its caller and, through reports, with other gateways.
namespace lagoonwind::policy {

/// A route of a service, named by the configuration.
using RouteId = Handle<struct RouteTag>;

/// Limits of all roll-outs of a deployment. Any values are accepted: a share or slack that is NaN
/// or negative counts as zero, a share above 1 as 1, and a rollback time is kept between 100 ms and
/// 60 s.
struct RolloutLimits {
  /// Fraction of the service's requests that a version on trial may receive (`canary_share`).
  double exposure_share = 0;
  /// Attempts that it may receive in addition, in the whole fleet (`canary_slack`).
  double exposure_slack = 0;
  /// Longest time from the 50th bad response to the last attempt at a bad version.
  Duration rollback_time = std::chrono::seconds(5);
};

/// An operator's order to move a service to another version.
struct RolloutOrder {
  std::string service;
  std::string target;
  /// Time from the writing of the order to its deadline. Kept between zero and 30 days; an order of
  /// zero or negative duration is reverted at once.
  Duration duration{};
  /// Identity of the order record: its content and position.
  std::uint64_t id = 0;
};

enum class RolloutState : std::uint8_t {
  /// How far the roll-out has progressed is not known; nothing is sent to the target.
  kUnknown,
  /// The target receives attempts within the exposure budget.
  kTrial,
  /// New requests go to the target, apart from a small part in the first two seconds, which old
  /// servers get
  /// for
  /// comparison; attempts on old servers are ending.
  kSwitching,
  /// The store holds the conclusion that the target serves all requests.
  kComplete,
  /// Nothing is sent to the target.
  kReverted,
};

enum class RolloutVersion : std::uint8_t { kOld, kTarget };

/// How an attempt at a backend server ended.
struct RolloutOutcome {
  RouteId route;
  /// The server failed: a 5xx status, a reset, a time-out or a truncated response.
  bool failed = false;
  /// From sending the request to the first and last byte of the response; absent if not received.
  std::optional<Duration> first_byte;
  std::optional<Duration> total;
  /// False if the end says nothing about the version: the caller left, the attempt was cancelled,
  /// or the server was never reached.
  bool judged = true;
};

/// Number of latency classes: class 0 is below 2 ms, class i from 2^i to 2^(i+1) ms, the last is
/// open-ended (from 32 s).
inline constexpr std::size_t kRolloutLatencyClasses = 16;
using RolloutHistogram = std::array<std::uint32_t, kRolloutLatencyClasses>;

/// Responses of one version; cumulative. At most 136 bytes, about 20 encoded as varints.
struct RolloutCounts {
  std::uint32_t responses = 0;
  std::uint32_t failures = 0;
  RolloutHistogram first_byte{};
  RolloutHistogram total{};
};

/// Responses on one route, indexed by RolloutVersion.
struct RolloutRouteCounts {
  RouteId route;
  std::array<RolloutCounts, 2> versions;
};

/// Responses that ended in one second since the order; indexed by RolloutVersion.
struct RolloutSecond {
  /// Number of the second, counted from the order.
  std::uint32_t second = 0;
  std::array<std::uint32_t, 2> responses{};
  std::array<std::uint32_t, 2> failures{};
  /// Responses much slower than the old version's median on their route.
  std::array<std::uint32_t, 2> slow{};
};

inline constexpr std::size_t kRolloutMaxRoutes = 8;
inline constexpr std::size_t kRolloutSeconds = 8;

/// What one gateway incarnation has seen of one order. All counters are cumulative, so that a newer
/// report replaces an older one. At most 8 routes of 280 bytes and 8 seconds of 28 bytes; encoded
/// as varints typically 300 bytes, since most histogram classes are zero.
struct RolloutReport {
  std::uint64_t order_id = 0;
  RolloutState state = RolloutState::kUnknown;
  /// Time since the order was written, as far as known. Never decreases; orders the reports of an
  /// incarnation and shows their age.
  Duration elapsed{};
  /// New requests of the service that the gateway received.
  std::uint64_t requests = 0;
  /// Attempts sent and attempts that have not ended, indexed by RolloutVersion.
  std::array<std::uint64_t, 2> sent{};
  std::array<std::uint32_t, 2> outstanding{};
  /// The gateway sends no attempts to old servers any more, unless the roll-out is reverted.
  bool left_old = false;
  /// Longest response of the old version among the last seconds.
  Duration longest_old{};
  /// At most kRolloutMaxRoutes; further routes are counted under the invalid handle.
  std::vector<RolloutRouteCounts> routes;
  /// At most kRolloutSeconds, ascending.
  std::vector<RolloutSecond> seconds;
};

/// A status record of the store, decoded.
struct RolloutStatus {
  /// Order that the status belongs to. Statuses of other orders are ignored.
  std::uint64_t order_id = 0;
  /// kTrial for `serving`, kComplete or kReverted. Other values are ignored.
  RolloutState state = RolloutState::kTrial;
};

/// Evidence in total over all gateways, for log lines and metrics.
struct RolloutEvidence {
  std::uint64_t requests = 0;
  /// Indexed by RolloutVersion.
  std::array<std::uint64_t, 2> sent{};
  std::array<std::uint64_t, 2> responses{};
  std::array<std::uint64_t, 2> failures{};
  /// Responses much slower than the old version's median on their route.
  std::array<std::uint64_t, 2> slow{};
  /// Gateways with a report, this one included, and the age of the oldest report of a live one.
  std::size_t gateways = 0;
  Duration oldest_report{};
};

/// A status that should be written now.
struct RolloutConclusion {
  std::uint64_t order_id = 0;
  /// kComplete or kReverted.
  RolloutState state = RolloutState::kReverted;
  /// Reason in a few words, for the log and the status record.
  std::string reason;
  RolloutEvidence evidence;
};

}  // namespace lagoonwind::policy
