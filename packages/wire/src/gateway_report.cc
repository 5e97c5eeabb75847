#include "lagoonwind/gateway_report.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <memory>

#include "lagoonwind_types.h"
#include "rollout_report.h"

namespace lagoonwind::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Maximum size of an encoded report, in bytes; the maximum size of a UDP datagram.
constexpr std::int32_t kMaxReportBytes = 64 << 10;

std::int64_t ToSigned(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t ToUnsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

/// Ages beyond a day are stated as a day.
std::int32_t ToWireAge(std::chrono::milliseconds age) {
  constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(24);
  return static_cast<std::int32_t>(std::clamp(age, std::chrono::milliseconds(0), kMaxAge).count());
}

gen::EngineLoadReport ToWire(const policy::EngineReport& report) {
  gen::EngineLoadReport out;
  out.server = ToSigned(report.server.value);
  out.read_tokens = ToSigned(report.prefill_tokens);
  out.running = report.running;
  out.running_tokens = report.running_tokens;
  if (report.measured_tokens > 0) {
    out.__set_measured_tokens(ToSigned(report.measured_tokens));
    out.__set_measured_us(report.measured_time.count());
  }
  return out;
}

policy::EngineReport FromWire(const gen::EngineLoadReport& report) {
  return {.server = {ToUnsigned(report.server)},
          .prefill_tokens = ToUnsigned(report.read_tokens),
          .running = report.running,
          .running_tokens = report.running_tokens,
          .measured_tokens = ToUnsigned(report.measured_tokens),
          .measured_time = std::chrono::microseconds(report.measured_us)};
}

gen::PromptPartReport ToWire(const policy::SegmentReport& report) {
  gen::PromptPartReport out;
  out.server = ToSigned(report.server.value);
  out.part = ToSigned(report.prefix_hash);
  return out;
}

policy::SegmentReport FromWire(const gen::PromptPartReport& report) {
  return {.server = {ToUnsigned(report.server)}, .prefix_hash = ToUnsigned(report.part)};
}

gen::CustomerShareReport ToWire(const policy::CustomerReport& report) {
  gen::CustomerShareReport out;
  out.customer = ToSigned(report.customer.value);
  out.asked_tokens = ToSigned(report.requested_tokens);
  out.admitted_tokens = ToSigned(report.admitted_tokens);
  return out;
}

policy::CustomerReport FromWire(const gen::CustomerShareReport& report) {
  return {.customer = {ToUnsigned(report.customer)},
          .requested_tokens = ToUnsigned(report.asked_tokens),
          .admitted_tokens = ToUnsigned(report.admitted_tokens)};
}

gen::CrashReport ToWire(const CrashReport& crash) {
  gen::CrashReport out;
  out.digest = ToSigned(crash.digest.value);
  out.server = ToSigned(crash.server.value);
  out.__set_age_ms(ToWireAge(crash.age));
  return out;
}

CrashReport FromWire(const gen::CrashReport& crash) {
  return {.digest = {ToUnsigned(crash.digest)},
          .server = {ToUnsigned(crash.server)},
          .age = std::chrono::milliseconds(crash.__isset.age_ms ? crash.age_ms : 0)};
}

gen::QuarantinedRequestReport ToWire(const QuarantinedRequestReport& report) {
  gen::QuarantinedRequestReport out;
  out.digest = ToSigned(report.digest.value);
  out.age_ms = ToWireAge(report.age);
  out.trials = report.trials;
  return out;
}

QuarantinedRequestReport FromWire(const gen::QuarantinedRequestReport& report) {
  return {.digest = {ToUnsigned(report.digest)},
          .age = std::chrono::milliseconds(report.age_ms),
          .trials = report.trials};
}

gen::RequestResponseReport ToWire(const RequestResponseReport& response) {
  gen::RequestResponseReport out;
  out.digest = ToSigned(response.digest.value);
  out.age_ms = ToWireAge(response.age);
  return out;
}

RequestResponseReport FromWire(const gen::RequestResponseReport& response) {
  return {.digest = {ToUnsigned(response.digest)},
          .age = std::chrono::milliseconds(response.age_ms)};
}

template <class Out, class In, class Function>
std::vector<Out> TransformAll(const std::vector<In>& in, Function function) {
  std::vector<Out> out;
  out.reserve(in.size());
  std::ranges::transform(in, std::back_inserter(out), function);
  return out;
}

gen::CrashVictimReport ToWire(const CrashVictimReport& victim) {
  gen::CrashVictimReport out;
  out.server = ToSigned(victim.server.value);
  out.request = ToSigned(victim.request.value);
  out.segments = TransformAll<std::int64_t>(
      victim.segments, [](policy::SegmentId segment) { return ToSigned(segment.value); });
  out.sent_age_ms = ToWireAge(victim.sent_age);
  out.crash_age_ms = ToWireAge(victim.crash_age);
  return out;
}

CrashVictimReport FromWire(const gen::CrashVictimReport& victim) {
  return {.server = {ToUnsigned(victim.server)},
          .request = {ToUnsigned(victim.request)},
          .segments = TransformAll<policy::SegmentId>(
              victim.segments,
              [](std::int64_t segment) { return policy::SegmentId{ToUnsigned(segment)}; }),
          .sent_age = std::chrono::milliseconds(victim.sent_age_ms),
          .crash_age = std::chrono::milliseconds(victim.crash_age_ms)};
}

gen::SegmentEventReport ToWire(const SegmentEventReport& event) {
  gen::SegmentEventReport out;
  out.segment = ToSigned(event.segment.value);
  out.age_ms = ToWireAge(event.age);
  return out;
}

SegmentEventReport FromWire(const gen::SegmentEventReport& event) {
  return {.segment = {ToUnsigned(event.segment)}, .age = std::chrono::milliseconds(event.age_ms)};
}

gen::QuarantinedSegmentReport ToWire(const QuarantinedSegmentReport& report) {
  gen::QuarantinedSegmentReport out;
  out.segment = ToSigned(report.segment.value);
  out.age_ms = ToWireAge(report.age);
  out.__set_trials(report.trials);
  return out;
}

QuarantinedSegmentReport FromWire(const gen::QuarantinedSegmentReport& report) {
  return {.segment = {ToUnsigned(report.segment)},
          .age = std::chrono::milliseconds(report.age_ms),
          .trials = report.__isset.trials ? report.trials : policy::kUnknownTrials};
}

/// Largest count that a gateway can reach; sums over all gateways and engines do not overflow.
constexpr std::int64_t kMaxCount = std::int64_t{1} << 48U;

bool IsPlausible(const gen::GatewayReport& report) {
  const auto in_range = [](std::int64_t count) { return count >= 0 && count <= kMaxCount; };
  const auto has_age = [](const auto& event) { return event.age_ms >= 0; };
  const auto has_trials = [](const auto& quarantine) { return quarantine.trials >= 0; };
  return in_range(report.store_steady_ms) && in_range(report.number) &&
         in_range(report.operator_generation) && in_range(report.servers_generation) &&
         in_range(report.held_evacuations) && std::isfinite(report.cpu_cores) &&
         std::ranges::all_of(report.engines,
                             [&](const gen::EngineLoadReport& engine) {
                               return in_range(engine.read_tokens) && in_range(engine.running) &&
                                      in_range(engine.running_tokens) &&
                                      in_range(engine.measured_tokens) &&
                                      in_range(engine.measured_us);
                             }) &&
         std::ranges::all_of(report.customers,
                             [&](const gen::CustomerShareReport& customer) {
                               return in_range(customer.asked_tokens) &&
                                      in_range(customer.admitted_tokens);
                             }) &&
         std::ranges::all_of(report.crash_victims,
                             [&](const gen::CrashVictimReport& victim) {
                               return in_range(victim.sent_age_ms) && in_range(victim.crash_age_ms);
                             }) &&
         std::ranges::all_of(report.crashes, has_age) &&
         std::ranges::all_of(report.quarantined_requests, has_age) &&
         std::ranges::all_of(report.quarantined_requests, has_trials) &&
         std::ranges::all_of(report.request_responses, has_age) &&
         std::ranges::all_of(report.segment_responses, has_age) &&
         std::ranges::all_of(report.quarantined_segments, has_age) &&
         std::ranges::all_of(report.quarantined_segments, has_trials) &&
         std::ranges::all_of(report.rollouts, IsPlausibleRollout);
}

template <class Out, class In>
std::vector<Out> ListToWire(const std::vector<In>& in) {
  return TransformAll<Out>(in, [](const In& item) { return ToWire(item); });
}

template <class Out, class In>
std::vector<Out> ListFromWire(const std::vector<In>& in) {
  return TransformAll<Out>(in, [](const In& item) { return FromWire(item); });
}

void EncodeStatus(const GatewayStatus& status, gen::GatewayReport& out) {
  out.__set_operator_offset(status.operator_offset);
  out.__set_servers_offset(status.servers_offset);
  out.__set_store_steady_ms(status.store_available_for.count());
  out.__set_leaving(status.leaving);
  out.__set_address(status.address);
  out.__set_zone(status.zone);
  out.__set_cpu_cores(status.cpu_cores);
  out.__set_operator_generation(status.operator_generation);
  out.__set_servers_generation(status.servers_generation);
  out.__set_configuration_version(status.configuration_version);
  out.__set_held_evacuations(status.held_evacuations);
}

std::optional<GatewayStatus> DecodeStatus(const gen::GatewayReport& in) {
  if (!in.__isset.operator_offset) {
    return std::nullopt;
  }
  return GatewayStatus{
      .operator_offset = in.operator_offset,
      .servers_offset = in.servers_offset,
      .operator_generation = in.operator_generation,
      .servers_generation = in.servers_generation,
      .configuration_version = in.__isset.configuration_version ? in.configuration_version : -1,
      .held_evacuations = in.held_evacuations,
      .store_available_for = std::chrono::milliseconds(in.store_steady_ms),
      .leaving = in.leaving,
      .address = in.address,
      .zone = in.zone,
      .cpu_cores = in.cpu_cores};
}

}  // namespace

std::string EncodeGatewayReport(const GatewayReport& report) {
  gen::GatewayReport out;
  out.incarnation = ToSigned(report.sender.value);
  out.number = report.number;
  if (report.status) {
    EncodeStatus(*report.status, out);
  }
  if (report.wants_relay) {
    out.__set_wants_relay(true);
  }
  out.relayed = report.relayed;
  out.__isset.relayed = !out.relayed.empty();
  out.heard = TransformAll<std::int64_t>(report.heard,
                                         [](policy::GatewayId id) { return ToSigned(id.value); });
  out.__isset.heard = !out.heard.empty();
  out.known_peers = report.known_peers;
  out.__isset.known_peers = !out.known_peers.empty();
  out.engines = ListToWire<gen::EngineLoadReport>(report.engines);
  out.__isset.engines = !out.engines.empty();
  out.parts = ListToWire<gen::PromptPartReport>(report.segments);
  out.__isset.parts = !out.parts.empty();
  out.customers = ListToWire<gen::CustomerShareReport>(report.customers);
  out.__isset.customers = !out.customers.empty();
  out.crashes = ListToWire<gen::CrashReport>(report.crashes);
  out.__isset.crashes = !out.crashes.empty();
  out.crash_victims = ListToWire<gen::CrashVictimReport>(report.crash_victims);
  out.__isset.crash_victims = !out.crash_victims.empty();
  out.segment_responses = ListToWire<gen::SegmentEventReport>(report.segment_responses);
  out.__isset.segment_responses = !out.segment_responses.empty();
  if (report.quarantined_segments) {
    out.__set_quarantined_segments(
        ListToWire<gen::QuarantinedSegmentReport>(*report.quarantined_segments));
  }
  out.quarantined_requests = ListToWire<gen::QuarantinedRequestReport>(report.quarantined_requests);
  out.__isset.quarantined_requests = !out.quarantined_requests.empty();
  out.request_responses = ListToWire<gen::RequestResponseReport>(report.request_responses);
  out.__isset.request_responses = !out.request_responses.empty();
  out.rollouts = TransformAll<gen::RolloutReport>(report.rollouts, RolloutToWire);
  out.__isset.rollouts = !out.rollouts.empty();
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  out.write(&protocol);
  return buffer->getBufferAsString();
}

absl::StatusOr<GatewayReport> DecodeGatewayReport(std::string_view bytes) {
  // The buffer only reads the bytes.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, kMaxReportBytes, kMaxReportBytes);
  gen::GatewayReport in;
  try {
    in.read(&protocol);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  if (!IsPlausible(in)) {
    return absl::InvalidArgumentError("a count of the report is negative or too large");
  }
  std::optional<std::vector<QuarantinedSegmentReport>> quarantined_segments;
  if (in.__isset.quarantined_segments) {
    quarantined_segments = ListFromWire<QuarantinedSegmentReport>(in.quarantined_segments);
  }
  return GatewayReport{
      .sender = {ToUnsigned(in.incarnation)},
      .status = DecodeStatus(in),
      .number = in.number,
      .wants_relay = in.wants_relay,
      .relayed = std::move(in.relayed),
      .heard = TransformAll<policy::GatewayId>(
          in.heard, [](std::int64_t id) { return policy::GatewayId{ToUnsigned(id)}; }),
      .known_peers = std::move(in.known_peers),
      .engines = ListFromWire<policy::EngineReport>(in.engines),
      .segments = ListFromWire<policy::SegmentReport>(in.parts),
      .customers = ListFromWire<policy::CustomerReport>(in.customers),
      .crashes = ListFromWire<CrashReport>(in.crashes),
      .crash_victims = ListFromWire<CrashVictimReport>(in.crash_victims),
      .segment_responses = ListFromWire<SegmentEventReport>(in.segment_responses),
      .quarantined_segments = std::move(quarantined_segments),
      .quarantined_requests = ListFromWire<QuarantinedRequestReport>(in.quarantined_requests),
      .request_responses = ListFromWire<RequestResponseReport>(in.request_responses),
      .rollouts = TransformAll<policy::RolloutReport>(in.rollouts, RolloutFromWire)};
}

}  // namespace lagoonwind::wire
