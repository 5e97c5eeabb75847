#include "quarantine_list.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Largest number of quarantined requests that are stored.
constexpr std::size_t kMaxStoredRequests = 256;

Quarantine FromSegment(const policy::QuarantinedSegment& segment) {
  return {.id = segment.segment.value, .last_crash = segment.last_crash, .trials = segment.trials};
}

}  // namespace

std::vector<Quarantine> SegmentList::Entries() const {
  std::vector<Quarantine> entries;
  std::ranges::transform(segments_.Quarantined(), std::back_inserter(entries), FromSegment);
  return entries;
}

std::optional<Quarantine> SegmentList::Find(std::uint64_t id) const {
  const auto found = segments_.Find({id});
  return found ? std::optional(FromSegment(*found)) : std::nullopt;
}

void SegmentList::Merge(const Quarantine& quarantine) {
  const policy::QuarantinedSegment segment{
      .segment = {quarantine.id}, .last_crash = quarantine.last_crash, .trials = quarantine.trials};
  if (segments_.MergeQuarantine(segment, Now())) {
    on_quarantined_(segment.segment);
  }
}

void SegmentList::MergeResponse(std::uint64_t id, Time at) {
  segments_.MergePeerResponse({.segment = {id}, .at = at});
}

bool SegmentList::RespondedAfter(std::uint64_t id, Time time) const {
  return segments_.RespondedAfter({id}, time);
}

std::vector<Quarantine> RequestList::Entries() const {
  std::vector<Quarantine> entries;
  for (const policy::SuspectRequest& request : suspects_.Quarantined(kMaxStoredRequests, Now())) {
    entries.push_back(
        {.id = request.digest.value, .last_crash = request.last_crash, .trials = request.trials});
  }
  return entries;
}

std::optional<Quarantine> RequestList::Find(std::uint64_t id) const {
  const auto found = suspects_.Find({id}, Now());
  return found && found->quarantined
             ? std::optional(
                   Quarantine{.id = id, .last_crash = found->last_crash, .trials = found->trials})
             : std::nullopt;
}

void RequestList::Merge(const Quarantine& quarantine) {
  const policy::SuspectRequest request{.digest = {quarantine.id},
                                       .last_crash = quarantine.last_crash,
                                       .trials = quarantine.trials,
                                       .quarantined = true};
  if (suspects_.Merge(request, Now())) {
    on_quarantined_(request.digest);
  }
}

void RequestList::MergeResponse(std::uint64_t id, Time at) {
  suspects_.MergePeerResponse({.digest = {id}, .at = at});
}

bool RequestList::RespondedAfter(std::uint64_t id, Time time) const {
  return suspects_.RespondedAfter({id}, time);
}

}  // namespace lagoonwind::gateway
