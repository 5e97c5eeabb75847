#include <algorithm>
#include <array>

#include "lagoonwind/gateway_types.h"

namespace lagoonwind::gateway {

std::string_view Name(RouteKind kind) {
  constexpr std::array<std::string_view, 3> kNames{"idempotent", "mutating", "streaming"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::shared_ptr<const Route> Configuration::FindRoute(std::string_view host,
                                                      std::string_view path) const {
  const auto found = routes.find(absl::string_view(host.data(), host.size()));
  if (found == routes.end()) {
    return nullptr;
  }
  const auto route = std::ranges::find_if(found->second, [&](const auto& candidate) {
    return path.starts_with(candidate->path_prefix);
  });
  return route == found->second.end() ? nullptr : *route;
}

}  // namespace lagoonwind::gateway
