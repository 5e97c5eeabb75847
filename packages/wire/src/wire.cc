#include "lagoonwind/wire.h"

#include <absl/strings/escaping.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <iterator>
#include <memory>

#include "lagoonwind/limits.h"

namespace lagoonwind::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr unsigned kByteBits = 8;

std::int64_t ToSigned(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t ToUnsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

std::uint32_t ToCount(std::int32_t value) { return static_cast<std::uint32_t>(std::max(value, 0)); }

void WriteFrameHeader(std::size_t length, std::string& frame) {
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame[kFrameHeaderBytes - 1 - i] = static_cast<char>(length >> (kByteBits * i));
  }
}

}  // namespace

std::string EncodeFrame(const Message& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  std::string frame(kFrameHeaderBytes, '\0');
  message.write(&protocol);
  buffer->appendBufferToString(frame);
  WriteFrameHeader(frame.size() - kFrameHeaderBytes, frame);
  return frame;
}

absl::StatusOr<std::size_t> DecodeFrameLength(std::string_view header) {
  std::size_t length = 0;
  for (const char byte : header) {
    length = (length << kByteBits) | static_cast<unsigned char>(byte);
  }
  if (length > limits::kMaxFrameBytes) {
    return absl::InvalidArgumentError("the frame exceeds the size limit");
  }
  return length;
}

absl::StatusOr<Message> DecodeMessage(std::string_view body) {
  auto bytes = std::string(body);
  auto buffer = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(bytes.data()),
                                                static_cast<std::uint32_t>(bytes.size()));
  const auto limit = static_cast<std::int32_t>(limits::kMaxFrameBytes);
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
  Message message;
  try {
    message.read(&protocol);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return message;
}

gen::Attempt ToWire(const AttemptId& attempt) {
  gen::Attempt out;
  out.entry_incarnation = ToSigned(attempt.request.entry.value);
  out.number = ToSigned(attempt.request.number);
  out.attempt = static_cast<std::int32_t>(attempt.attempt);
  return out;
}

AttemptId FromWire(const gen::Attempt& attempt) {
  const RequestId request{.entry = {ToUnsigned(attempt.entry_incarnation)},
                          .number = ToUnsigned(attempt.number)};
  return AttemptId{.request = request, .attempt = ToCount(attempt.attempt)};
}

gen::Demand ToWire(std::span<const policy::Demand> demand) {
  gen::Demand out;
  std::ranges::transform(demand, std::back_inserter(out.items), [](const policy::Demand& from) {
    gen::DemandItem item;
    item.customer = ToSigned(from.customer.value);
    item.target = ToSigned(from.target.value);
    item.count = static_cast<std::int32_t>(from.count);
    item.oldest_age_us = from.oldest_age.count();
    item.reach = static_cast<std::int32_t>(from.agent_count);
    return item;
  });
  return out;
}

std::vector<policy::Demand> FromWire(const gen::Demand& demand) {
  std::vector<policy::Demand> out;
  std::ranges::transform(demand.items, std::back_inserter(out), [](const gen::DemandItem& item) {
    return policy::Demand{.customer = {ToUnsigned(item.customer)},
                          .target = {ToUnsigned(item.target)},
                          .count = ToCount(item.count),
                          .oldest_age = Duration(std::max<std::int64_t>(item.oldest_age_us, 0)),
                          .agent_count = std::max(ToCount(item.reach), 1U)};
  });
  return out;
}

gen::AgentReport ToWire(const policy::AgentReport& report) {
  gen::AgentReport out;
  std::ranges::transform(report.targets, std::back_inserter(out.targets),
                         [](TargetId target) { return ToSigned(target.value); });
  out.free = static_cast<std::int32_t>(report.free_slots);
  out.window = static_cast<std::int32_t>(report.concurrency_limit);
  out.draining = report.draining;
  out.configuration_offset = report.configuration_offset;
  return out;
}

policy::AgentReport FromWire(const gen::AgentReport& report) {
  policy::AgentReport out{.free_slots = ToCount(report.free),
                          .concurrency_limit = ToCount(report.window),
                          .draining = report.draining,
                          .configuration_offset = report.configuration_offset};
  std::ranges::transform(report.targets, std::back_inserter(out.targets),
                         [](std::int64_t target) { return TargetId{ToUnsigned(target)}; });
  return out;
}

gen::Suspects ToWire(std::span<const policy::Suspect> suspects) {
  gen::Suspects out;
  std::ranges::transform(suspects, std::back_inserter(out.items), [](const policy::Suspect& from) {
    gen::SuspectItem item;
    item.digest = ToSigned(from.digest.value);
    item.level = static_cast<std::int32_t>(from.level);
    item.remaining_us = from.remaining.count();
    return item;
  });
  return out;
}

std::vector<policy::Suspect> FromWire(const gen::Suspects& suspects) {
  std::vector<policy::Suspect> out;
  std::ranges::transform(suspects.items, std::back_inserter(out), [](const gen::SuspectItem& item) {
    return policy::Suspect{.digest = {ToUnsigned(item.digest)},
                           .level = ToCount(item.level),
                           .remaining = Duration(std::max<std::int64_t>(item.remaining_us, 0))};
  });
  return out;
}

policy::AttemptResult ResultFromWire(std::int32_t value) {
  using policy::AttemptResult;
  const auto result = static_cast<AttemptResult>(value);
  const bool known = result == AttemptResult::kComplete || result == AttemptResult::kNotRun;
  return known ? result : AttemptResult::kUnknown;
}

policy::Reason ReasonFromWire(std::int32_t value) {
  const bool known = value >= 0 && value <= static_cast<std::int32_t>(policy::Reason::kUnframedEnd);
  return known ? static_cast<policy::Reason>(value) : policy::Reason::kNone;
}

std::string EncodeClaim(const policy::ClaimRecord& record, std::int64_t written_us) {
  Message message;
  message.__set_claim({});
  message.claim.kind = static_cast<std::int32_t>(record.kind);
  message.claim.key = ToSigned(record.idempotency_key.value);
  message.claim.content = ToSigned(record.request_digest.value);
  message.claim.customer = ToSigned(record.customer.value);
  message.claim.nonce = ToSigned(record.nonce.value);
  message.claim.agent = ToSigned(record.agent.value);
  message.claim.written_us = written_us;
  if (record.response != nullptr) {
    message.claim.__set_answer({});
    message.claim.answer.status = static_cast<std::int32_t>(record.response->status);
    message.claim.answer.content_type = record.response->content_type;
    message.claim.answer.body = record.response->body;
  }
  return absl::Base64Escape(EncodeFrame(message).substr(kFrameHeaderBytes));
}

policy::StoredClaim DecodeClaim(std::int64_t offset, std::string_view text, std::int64_t now_us) {
  policy::StoredClaim stored{.offset = offset};
  std::string bytes;
  if (!absl::Base64Unescape({text.data(), text.size()}, &bytes)) {
    return stored;
  }
  const auto message = DecodeMessage(bytes);
  if (!message.ok() || !message->__isset.claim) {
    return stored;
  }
  const gen::Claim& claim = message->claim;
  stored.age = Duration(now_us - claim.written_us);
  stored.record = policy::ClaimRecord{.kind = static_cast<policy::ClaimKind>(claim.kind),
                                      .idempotency_key = {ToUnsigned(claim.key)},
                                      .request_digest = {ToUnsigned(claim.content)},
                                      .customer = {ToUnsigned(claim.customer)},
                                      .nonce = {ToUnsigned(claim.nonce)},
                                      .agent = {ToUnsigned(claim.agent)}};
  if (claim.__isset.answer) {
    stored.record.response = std::make_shared<const policy::StoredResponse>(
        policy::StoredResponse{.status = static_cast<unsigned>(claim.answer.status),
                               .content_type = claim.answer.content_type,
                               .body = claim.answer.body});
  }
  return stored;
}

}  // namespace lagoonwind::wire
