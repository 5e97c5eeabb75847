#pragma once

#include <array>
#include <deque>
#include <mutex>

#include "lagoonwind/limits.h"
#include "lagoonwind/platform.h"
#include "policy_runner.h"

namespace lagoonwind::runtime {

/// Appends and reads claim records in the platform's log on behalf of the policy. Each stream has
/// at most one append in flight; records that arrive meanwhile are batched into the next one.
/// Thread safe; its mutex is a leaf in the lock order.
class ClaimLog {
 public:
  ClaimLog(http::asio::io_context& io, platform::LogService& log, PolicyRunner& policy);

  /// Appends a record; posts ClaimAppended or ClaimAppendFailed.
  void Append(const policy::AppendClaim& append);
  /// Reads records from an offset on; posts ClaimsRead or ClaimsReadFailed.
  void Read(const policy::ReadClaims& read);
  /// Returns true if no record is pending or being appended.
  [[nodiscard]] bool idle() const;

 private:
  using Batch = std::vector<policy::ClaimRecord>;
  struct Stream {
    std::deque<policy::ClaimRecord> pending;
    bool append_in_flight = false;
  };

  http::asio::awaitable<void> RunAppends(std::uint32_t stream);
  http::asio::awaitable<void> RunRead(policy::ReadClaims read);
  /// Removes the next records to append; marks the stream as idle if there are none.
  Batch TakeBatch(std::uint32_t stream);
  /// Posts ClaimAppended or ClaimAppendFailed for each record of a batch.
  /// \param first  Offset of the first record, or why the append failed.
  void PostResults(std::uint32_t stream, const Batch& batch,
                   const absl::StatusOr<std::int64_t>& first);

  http::asio::io_context& io_;
  platform::LogService& log_;
  PolicyRunner& policy_;
  mutable std::mutex mutex_;
  std::array<Stream, limits::kClaimStreams> streams_;
};

}  // namespace lagoonwind::runtime
