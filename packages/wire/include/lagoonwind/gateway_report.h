#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/crash_suspects.h"
#include "lagoonwind/customer_share.h"
#include "lagoonwind/engine_load.h"
#include "lagoonwind/report_router.h"
#include "lagoonwind/rollout_types.h"
#include "lagoonwind/segment_quarantine.h"

/// \file
/// The report that gateways send each other in UDP datagrams: configuration offsets, liveness of
/// the store, and recent load and usage.
namespace lagoonwind::wire {

/// State of a gateway that changes rarely.
struct GatewayStatus {
  /// Offsets up to which the gateway has read the topics of the store.
  std::int64_t operator_offset = 0;
  std::int64_t servers_offset = 0;
  /// Generations of the store's history that the offsets belong to; 0 in reports of older versions.
  std::int64_t operator_generation = 0;
  std::int64_t servers_generation = 0;
  /// Version of the configuration in force; -1 if there is none and in reports of older versions.
  std::int64_t configuration_version = -1;
  /// Identifies the evacuations in force that the restored store lacks; 0 if there are none.
  std::int64_t held_evacuations = 0;
  /// Time for which all of its calls to the store have succeeded; zero after a failure.
  std::chrono::milliseconds store_available_for{0};
  /// True if it is shutting down.
  bool leaving = false;
  /// IP address, availability zone and CPU cores of its host. Address and zone are empty in reports
  /// of older versions.
  std::string address;
  std::string zone;
  double cpu_cores = 0;
};

/// A request that an engine had not begun to respond to when it crashed. Gateways have no common
/// clock, so reports state ages instead of times.
struct CrashVictimReport {
  policy::ServerId server;
  Digest request;
  std::vector<policy::SegmentId> segments;
  std::chrono::milliseconds sent_age{0};
  std::chrono::milliseconds crash_age{0};

  /// The request in terms of the clock of the recipient, who received the report at `now`.
  [[nodiscard]] policy::CrashVictim ToVictim(Time now) const {
    return {.server = server,
            .request = request,
            .segments = segments,
            .sent_at = now - sent_age,
            .crashed_at = now - crash_age};
  }
};

/// A request that a backend server ran as it crashed.
struct CrashReport {
  Digest digest;
  policy::ServerId server;
  std::chrono::milliseconds age{0};
};

/// A quarantined request, with the time since its last crash.
struct QuarantinedRequestReport {
  Digest digest;
  std::chrono::milliseconds age{0};
  int trials = 0;
};

/// A response to a request that was a suspect.
struct RequestResponseReport {
  Digest digest;
  std::chrono::milliseconds age{0};
};

/// An event that concerns a prompt segment.
struct SegmentEventReport {
  policy::SegmentId segment;
  std::chrono::milliseconds age{0};
};

/// A quarantined prompt segment, with the time since its last crash.
struct QuarantinedSegmentReport {
  policy::SegmentId segment;
  std::chrono::milliseconds age{0};
  int trials = 0;
};

/// Report of one gateway. Counters are cumulative, so that lost or repeated reports do no harm.
struct GatewayReport {
  /// Incarnation of the sending gateway.
  Incarnation sender;
  /// Absent if an earlier report of the incarnation stated it recently.
  std::optional<GatewayStatus> status;
  /// Number of the report within the incarnation, from 1; 0 in reports of older versions. Reports
  /// can arrive twice and out of order.
  std::int64_t number = 0;
  /// True if the sender asks the recipient to distribute the report to other gateways.
  bool wants_relay = false;
  /// Encoded reports of other gateways, which the sender distributes.
  std::vector<std::string> relayed;
  /// Gateways that the sender hears directly; only with relayed reports.
  std::vector<policy::GatewayId> heard;
  /// IP addresses of other gateways; empty in most reports.
  std::vector<std::string> known_peers;
  /// Load that the sender has put on inference engines.
  std::vector<policy::EngineReport> engines;
  /// Prompt segments that the sender has recently sent to inference engines.
  std::vector<policy::SegmentReport> segments;
  /// Tokens that customers have requested from the sender and that it has admitted.
  std::vector<policy::CustomerReport> customers;
  /// Crashes of backend servers that the sender has recently observed.
  std::vector<CrashReport> crashes;
  /// Requests that the sender has recently lost to crashes of inference engines.
  std::vector<CrashVictimReport> crash_victims;
  /// Recent responses that clear prompt segments of the suspicion that they crash engines.
  std::vector<SegmentEventReport> segment_responses;
  /// All prompt segments that the sender has quarantined; absent in most reports.
  std::optional<std::vector<QuarantinedSegmentReport>> quarantined_segments;
  /// Requests that the sender has quarantined; empty in most reports.
  std::vector<QuarantinedRequestReport> quarantined_requests;
  /// Recent responses that clear requests of the suspicion that they crash backend servers.
  std::vector<RequestResponseReport> request_responses;
  /// Roll-outs in progress at the sender; empty in most reports.
  std::vector<policy::RolloutReport> rollouts;
};

/// Encodes a report with the Thrift compact protocol. Thread safe.
std::string EncodeGatewayReport(const GatewayReport& report);

/// Decodes the output of EncodeGatewayReport. Thread safe.
/// \return InvalidArgument if the bytes are malformed.
absl::StatusOr<GatewayReport> DecodeGatewayReport(std::string_view bytes);

}  // namespace lagoonwind::wire
