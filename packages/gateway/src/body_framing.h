#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace lagoonwind::gateway {

/// How a response shows where its body ends.
struct BodyFraming {
  enum class Kind {
    /// No response has been received.
    kNone,
    /// The head states the length.
    kLength,
    /// The last chunk ends the body.
    kChunked,
    /// The connection ends with the body. Whether the body is whole can't be told.
    kUntilClose,
  };
  Kind kind = Kind::kNone;
  /// Length of the body in bytes; for kLength only.
  std::uint64_t length = 0;
};

/// Name of a framing in logs.
inline std::string_view Name(BodyFraming::Kind kind) {
  constexpr std::array<std::string_view, 4> kNames{"", "length", "chunked", "close"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace lagoonwind::gateway
