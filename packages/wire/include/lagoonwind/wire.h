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
/// Messages between daemons: Thrift compact encoding inside length-prefixed frames.
namespace lagoonwind::wire {

/// Version of the protocol; a link between different versions is refused.
inline constexpr std::int32_t kProtocolVersion = 1;
/// Bytes of the big-endian length before each frame.
inline constexpr std::size_t kFrameHeaderBytes = 4;

using Message = gen::Message;

/// Encodes a message as one frame, its length included. Thread safe.
std::string EncodeFrame(const Message& message);

/// Length of the frame body that a header announces. Thread safe.
/// \param header  Exactly kFrameHeaderBytes bytes.
/// \return Invalid argument if the frame is larger than limits::kMaxFrameBytes.
absl::StatusOr<std::size_t> DecodeFrameLength(std::string_view header);

/// Decodes the body of a frame. Thread safe.
/// \return Invalid argument if the bytes are no message.
absl::StatusOr<Message> DecodeMessage(std::string_view body);

// Conversions between messages and the typed values of decisions. All thread safe.

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
/// Values outside the enumeration give kUnknown and kNone.
policy::AttemptResult ResultFromWire(std::int32_t value);
policy::Reason ReasonFromWire(std::int32_t value);

/// Encodes a claim record as text for the platform's log. Thread safe.
/// \param written_us  Unix time in microseconds.
std::string EncodeClaim(const policy::ClaimRecord& record, std::int64_t written_us);

/// Decodes EncodeClaim's text. Thread safe.
/// \param now_us  Unix time in microseconds; gives the record its age.
/// \return A record with an invalid nonce if the text is no claim; it counts as a gap in the
/// stream.
policy::StoredClaim DecodeClaim(std::int64_t offset, std::string_view text, std::int64_t now_us);

}  // namespace lagoonwind::wire
