#include "lagoonwind/request_memory.h"

#include <tuple>

namespace lagoonwind::policy {

UploadNumber RequestMemory::Add(Time now) {
  uploads_[++last_number_] = {.last_progress = now};
  return last_number_;
}

void RequestMemory::Update(UploadNumber upload, std::uint64_t bytes, Time now) {
  Upload& known = uploads_.at(upload);
  bytes_ += bytes - known.bytes;
  known.bytes = bytes;
  known.last_progress = now;
}

void RequestMemory::Remove(UploadNumber upload) {
  const auto found = uploads_.find(upload);
  if (found != uploads_.end()) {
    bytes_ -= found->second.bytes;
    uploads_.erase(found);
  }
}

std::optional<UploadNumber> RequestMemory::Excess(Time now) const {
  if (bytes_ <= limit_bytes_) {
    return std::nullopt;
  }
  const bool spares_small = bytes_ <= limit_bytes_ + reserve_bytes_;
  std::optional<UploadNumber> next;
  std::tuple<bool, std::uint64_t, UploadNumber> next_rank{};
  for (const auto& [number, upload] : uploads_) {
    if (upload.complete || upload.bytes == 0 || (spares_small && upload.bytes <= kSmallBytes)) {
      continue;
    }
    const bool stalled = now - upload.last_progress >= kStallTime;
    const std::tuple rank(stalled, upload.bytes, number);
    if (!next || rank > next_rank) {
      next = number;
      next_rank = rank;
    }
  }
  return next;
}

}  // namespace lagoonwind::policy
