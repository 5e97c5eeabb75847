#include "link_traffic.h"

#include <algorithm>

namespace lagoonwind::runtime {
namespace {

using KindPredicate = bool (*)(const wire::Message&);

/// Predicates in the order of kMessageKinds, without `other`.
constexpr std::array<KindPredicate, kMessageKinds.size() - 1> kKindPredicates{
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.ping); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.leaving); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.offer); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.queued); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.started); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.head); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.chunk); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.ended); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.cancel); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.demand); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.grant); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.decline); },
    [](const wire::Message& message) { return static_cast<bool>(message.__isset.agent_report); },
    [](const wire::Message& message) {
      return static_cast<bool>(message.__isset.hello) || static_cast<bool>(message.__isset.proof);
    }};

}  // namespace

std::size_t MessageKindIndex(const wire::Message& message) {
  const auto found =
      std::ranges::find_if(kKindPredicates, [&](KindPredicate test) { return test(message); });
  return static_cast<std::size_t>(found - kKindPredicates.begin());
}

}  // namespace lagoonwind::runtime
