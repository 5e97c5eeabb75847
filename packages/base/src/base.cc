#include "lagoonwind/base.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <array>
#include <charconv>
#include <optional>

namespace lagoonwind {
namespace {

constexpr int kHexBase = 16;

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, kHexBase);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  const std::uint64_t hash = XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
  return hash == 0 ? 1 : hash;
}

std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> words{first, second};
  return XXH3_64bits(words.data(), sizeof(words));
}

std::string FormatRequestId(const RequestId& id) {
  return absl::StrFormat("%016x-%x", id.entry.value, id.number);
}

RequestId ParseRequestId(std::string_view text) {
  const auto dash = text.find('-');
  if (dash == std::string_view::npos) {
    return {};
  }
  const auto entry = ParseHex(text.substr(0, dash));
  const auto number = ParseHex(text.substr(dash + 1));
  if (!entry || !number) {
    return {};
  }
  return RequestId{.entry = {*entry}, .number = *number};
}

}  // namespace lagoonwind
