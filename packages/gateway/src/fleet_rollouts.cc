// Roll-out orders of the fleet state.
#include <absl/strings/str_cat.h>

#include "clock.h"
#include "fleet_state.h"

namespace lagoonwind::gateway {

bool FleetState::RepeatsRollout(const Record& record) const {
  const auto known = rollout_offsets_.find(record.key);
  return known != rollout_offsets_.end() && record.offset && *record.offset != known->second;
}

void FleetState::ApplyRollout(const Record& record, const OperatorChange& change,
                              std::string_view source, bool is_change, Time now) {
  const std::string& service = change.rollout_service;
  if (!change.rollout) {
    rollout_offsets_.erase(record.key);
    if (rollouts_.erase(service) > 0) {
      log_.Write(Severity::kState, "rollout_order_deleted",
                 {{"service", service}, {"source", source}});
    }
    return;
  }
  const std::int64_t offset = record.offset.value_or(0);
  const std::uint64_t id =
      StableHash(absl::StrCat(record.key, "\n", record.value.value_or(""), "\n", offset));
  rollout_offsets_[record.key] = offset;
  rollouts_[service] = {
      .request = *change.rollout, .id = id, .learned_at = now, .is_change = is_change};
  log_.Write(Severity::kState, "rollout_ordered",
             {{"service", service},
              {"target", change.rollout->target},
              {"over_ms", change.rollout->duration.count()},
              {"order", id},
              {"offset", offset},
              {"is_change", is_change},
              {"source", source}});
}

}  // namespace lagoonwind::gateway
