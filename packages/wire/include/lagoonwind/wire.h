#pragma once

#include <absl/status/statusor.h>
#include <lagoonwind_types.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/policy.h"

/// \file
/// Encoding of the messages between daemons: length-prefixed frames that each hold one message in
/// Thrift compact encoding. Also encodes claim records for the platform's log.
namespace lagoonwind::wire {

/// Version of the protocol. A daemon refuses links from daemons with another version.
inline constexpr std::int32_t kProtocolVersion = 1;
/// Size of the frame header in bytes. It holds the length of the frame body in big-endian order.
inline constexpr std::size_t kFrameHeaderBytes = 4;

using Message = gen::Message;

/// Encodes a message as a frame: header and body. Thread safe.
std::string EncodeFrame(const Message& message);

/// Returns the length of the frame body from its header. Thread safe.
/// \param header  Exactly kFrameHeaderBytes bytes.
/// \return InvalidArgument if the body is larger than limits::kMaxFrameBytes.
absl::StatusOr<std::size_t> DecodeFrameLength(std::string_view header);

/// Decodes the body of a frame. Thread safe.
/// \return InvalidArgument if the body is malformed.
absl::StatusOr<Message> DecodeMessage(std::string_view body);

// Conversions between generated message types and the types of the policy package. Values from the
// wire are clamped to their valid range. All thread safe.

gen::Attempt ToWire(const AttemptId& attempt);
AttemptId FromWire(const gen::Attempt& attempt);
gen::Demand ToWire(std::span<const policy::Demand> demand);
std::vector<policy::Demand> FromWire(const gen::Demand& demand);
gen::AgentReport ToWire(const policy::AgentReport& report);
policy::AgentReport FromWire(const gen::AgentReport& report);
gen::LedgerReport ToWire(const policy::LedgerReport& report);
policy::LedgerReport FromWire(const gen::LedgerReport& report);
gen::LedgerTotals ToWire(const policy::LedgerTotals& totals);
policy::LedgerTotals FromWire(const gen::LedgerTotals& totals);
gen::Suspects ToWire(std::span<const policy::Suspect> suspects);
std::vector<policy::Suspect> FromWire(const gen::Suspects& suspects);
/// Converts the result of an attempt. Other values than kComplete and kNotRun give kUnknown.
policy::AttemptResult ResultFromWire(std::int32_t value);
/// Converts a reason. Values outside the enumeration give kNone.
policy::Reason ReasonFromWire(std::int32_t value);

/// Encodes a claim record as base64 text for the platform's log. Thread safe.
/// \param written_us  Current Unix time in microseconds.
std::string EncodeClaim(const policy::ClaimRecord& record, std::int64_t written_us);

/// Decodes the output of EncodeClaim. Thread safe.
/// \param offset  Offset of the record in its stream.
/// \param now_us  Current Unix time in microseconds, for the age of the record.
/// \return A record with an invalid nonce if `text` is not a claim; readers treat it as a gap in
///         the stream.
policy::StoredClaim DecodeClaim(std::int64_t offset, std::string_view text, std::int64_t now_us);

}  // namespace lagoonwind::wire
