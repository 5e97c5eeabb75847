#pragma once

#include <absl/strings/match.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace lagoonwind::gateway {

/// True for header fields that concern one connection or the framing of one message.
inline bool IsHopHeader(std::string_view name) {
  constexpr std::array<std::string_view, 10> kHopHeaders{
      "Connection",         "Keep-Alive", "Proxy-Connection",
      "Proxy-Authenticate", "TE",         "Trailer",
      "Transfer-Encoding",  "Upgrade",    "Proxy-Authorization",
      "Content-Length"};
  return std::ranges::any_of(kHopHeaders, [&](std::string_view hop) {
    return absl::EqualsIgnoreCase(absl::string_view(hop.data(), hop.size()),
                                  absl::string_view(name.data(), name.size()));
  });
}

}  // namespace lagoonwind::gateway
