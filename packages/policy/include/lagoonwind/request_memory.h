#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

#include "lagoonwind/base.h"

/// \file
/// Bound on the memory that requests of callers occupy.
namespace lagoonwind::policy {

/// Identifies a request that is being received or served.
using UploadNumber = std::uint64_t;

/// Bounds the memory of all requests' bodies together. Callers that send many bodies of legal size,
/// or leave them unfinished, fill what one request may occupy on each connection, so limits on
/// single requests don't bound the process. Not thread safe.
class RequestMemory {
 public:
  /// Time without a byte after which an upload makes no progress.
  static constexpr Duration kStallTime = std::chrono::milliseconds(500);
  /// Memory up to which a request counts as small.
  static constexpr std::uint64_t kSmallBytes = 160UL << 10U;

  /// \param limit_bytes    Memory that all requests together may occupy.
  /// \param reserve_bytes  Memory beyond the limit that only small requests may occupy.
  RequestMemory(std::uint64_t limit_bytes, std::uint64_t reserve_bytes)
      : limit_bytes_(limit_bytes), reserve_bytes_(reserve_bytes) {}

  /// Adds a request without any bytes.
  UploadNumber Add(Time now);
  /// Records how much memory a request occupies now, and that bytes of it have just arrived.
  /// Precondition: the request was added and is not removed.
  void Update(UploadNumber upload, std::uint64_t bytes, Time now);
  /// Records that the request is whole and held while it is served.
  /// Precondition: the request was added and is not removed.
  void Complete(UploadNumber upload) { uploads_.at(upload).complete = true; }
  /// Removes a request; no effect if it was removed before.
  void Remove(UploadNumber upload);
  /// Returns the incomplete request to be refused next: the largest of those that make no progress,
  /// otherwise the largest of all. Absent while the limit holds, and if no incomplete request is
  /// to be refused: small ones aren't while the reserve suffices.
  [[nodiscard]] std::optional<UploadNumber> Excess(Time now) const;
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  [[nodiscard]] std::uint64_t limit_bytes() const { return limit_bytes_; }

 private:
  struct Upload {
    std::uint64_t bytes = 0;
    Time last_progress{};
    bool complete = false;
  };

  std::uint64_t limit_bytes_;
  std::uint64_t reserve_bytes_;
  std::uint64_t bytes_ = 0;
  UploadNumber last_number_ = 0;
  absl::flat_hash_map<UploadNumber, Upload> uploads_;
};

}  // namespace lagoonwind::policy
