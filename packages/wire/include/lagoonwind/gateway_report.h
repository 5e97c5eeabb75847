#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/attempt_limits.h"
#include "lagoonwind/customer_share.h"
#include "lagoonwind/engine_load.h"

/// \file
/// The datagram that gateways send each other.
namespace lagoonwind::wire {

struct GatewayReport {
  Incarnation sender;
  /// Offsets up to which the sender knows the store's topics.
  std::int64_t operator_offset = 0;
  std::int64_t servers_offset = 0;
  /// Time for which the store has answered all of the sender's calls; zero while it doesn't.
  std::chrono::milliseconds store_available_for{0};
  /// True if the sender is about to stop.
  bool leaving = false;
  /// IP addresses of other gateways.
  std::vector<std::string> known_peers;
  std::vector<policy::EngineReport> engines;
  std::vector<policy::SegmentReport> segments;
  std::vector<policy::CustomerReport> customers;
  std::vector<policy::CrashSuspects::Crash> crashes;
};

/// Thrift compact encoding. Thread safe.
std::string EncodeGatewayReport(const GatewayReport& report);

/// \return Invalid argument if the bytes aren't a report.
absl::StatusOr<GatewayReport> DecodeGatewayReport(std::string_view bytes);

}  // namespace lagoonwind::wire
