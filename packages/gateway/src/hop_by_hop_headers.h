#pragma once

#include <absl/strings/match.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace lagoonwind::gateway {

/// True for header fields that apply to a single connection or to the framing of one message.
inline bool IsHopByHopHeader(std::string_view name) {
  constexpr std::array<std::string_view, 10> kHopByHopHeaders{
      "Connection",         "Keep-Alive", "Proxy-Connection",
      "Proxy-Authenticate", "TE",         "Trailer",
      "Transfer-Encoding",  "Upgrade",    "Proxy-Authorization",
      "Content-Length"};
  return std::ranges::any_of(kHopByHopHeaders, [&](std::string_view header) {
    return absl::EqualsIgnoreCase(absl::string_view(header.data(), header.size()),
                                  absl::string_view(name.data(), name.size()));
  });
}

}  // namespace lagoonwind::gateway
