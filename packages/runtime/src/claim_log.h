#pragma once

#include <array>
#include <deque>
#include <mutex>

#include "lagoonwind/limits.h"
#include "lagoonwind/platform.h"
#include "policy_runner.h"

namespace lagoonwind::runtime {

/// Carries claim records between the decisions and the platform's log. Each stream has one append
/// in flight; records that come meanwhile go together into the next. Thread safe; its mutex is a
/// leaf of the lock order.
class ClaimLog {
 public:
  ClaimLog(http::asio::io_context& io, platform::LogService& log, PolicyRunner& policy);

  /// Appends a record; posts ClaimAppended or ClaimAppendFailed.
  void Append(const policy::AppendClaim& append);
  /// Reads on from an offset; posts ClaimsRead or ClaimsReadFailed.
  void Read(const policy::ReadClaims& read);
  /// True if no record waits or is on its way.
  [[nodiscard]] bool idle() const;

 private:
  using Batch = std::vector<policy::ClaimRecord>;
  struct Stream {
    std::deque<policy::ClaimRecord> pending;
    bool append_in_flight = false;
  };

  http::asio::awaitable<void> RunAppends(std::uint32_t stream);
  http::asio::awaitable<void> RunRead(policy::ReadClaims read);
  /// Next records to append; an empty batch ends the appending.
  Batch TakeBatch(std::uint32_t stream);
  void PostResults(std::uint32_t stream, const Batch& batch,
                   const absl::StatusOr<std::int64_t>& first);

  http::asio::io_context& io_;
  platform::LogService& log_;
  PolicyRunner& policy_;
  mutable std::mutex mutex_;
  std::array<Stream, limits::kClaimStreams> streams_;
};

}  // namespace lagoonwind::runtime
