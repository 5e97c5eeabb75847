#pragma once

#include <absl/container/btree_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>

#include "lagoonwind/limits.h"
#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// State of one idempotency key according to the log.
struct ClaimState {
  /// First claim that was not released; only its agent may run the request.
  ClaimNonce holder;
  Digest request_digest;
  Time claimed;
  bool complete = false;
  /// Null while the execution is not complete, or if its response is not retained.
  std::shared_ptr<const StoredResponse> response;
};

/// Replica of one claim stream up to `position()`. All agents that read the same records in order
/// of offsets determine the same holder of each idempotency key. Not thread safe.
class ClaimStream {
 public:
  /// Applies the result of a read from `position()`. Records that were already applied are ignored.
  void Apply(const ClaimsRead& read, Time now);
  /// Removes claims from before `horizon` and responses older than limits::kStoredResponseTtl.
  void Expire(Time horizon, Time now);

  /// Offset of the next record to apply.
  [[nodiscard]] std::int64_t position() const { return position_; }
  /// True once a read has reached the end of the stream.
  [[nodiscard]] bool caught_up() const { return caught_up_; }
  /// All claims written at or after this time, up to `position()`, are known.
  [[nodiscard]] Time covered_since() const { return covered_since_; }
  /// State of an idempotency key, or nullptr if it is not claimed.
  [[nodiscard]] const ClaimState* Find(Digest key) const;
  /// True if a claim or a release with this nonce was applied.
  [[nodiscard]] bool Seen(ClaimNonce nonce) const { return nonces_.contains(nonce); }

 private:
  /// Skips records that the log dropped before they were read.
  void Skip(const ClaimsRead& read, Time now);
  void Apply(const StoredClaim& stored, Time now);
  void Claim(const StoredClaim& stored, Time written);
  void Release(const ClaimRecord& record, Time written);
  void Complete(const ClaimRecord& record, Time written);
  void DropResponse(Digest key);

  std::int64_t position_ = 0;
  bool caught_up_ = false;
  Time covered_since_ = Time::min();
  absl::btree_map<Digest, ClaimState> keys_;
  /// Time of the first claim or release with each nonce. Later claims with the same nonce are void.
  absl::btree_map<ClaimNonce, Time> nonces_;
  struct RetainedResponse {
    Digest key;
    Time completed;
  };
  /// Keys with a retained response, oldest first.
  std::deque<RetainedResponse> retained_responses_;
};

/// All claim streams. Not thread safe.
class ClaimTable {
 public:
  /// Index of the stream that holds the claims of an idempotency key.
  static std::uint32_t StreamOf(Digest key) {
    return static_cast<std::uint32_t>(key.value % limits::kClaimStreams);
  }
  [[nodiscard]] ClaimStream& stream(std::uint32_t number) { return streams_.at(number); }
  [[nodiscard]] const ClaimStream& stream(std::uint32_t number) const {
    return streams_.at(number);
  }

 private:
  std::array<ClaimStream, limits::kClaimStreams> streams_;
};

/// True if a request has at-most-once semantics and an idempotency key, which must be claimed
/// before the request runs. Thread safe.
bool NeedsClaim(const RequestTraits& traits);

}  // namespace lagoonwind::policy
