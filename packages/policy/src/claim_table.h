#pragma once

#include <absl/container/btree_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>

#include "lagoonwind/limits.h"
#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// What the log says of one key.
struct ClaimState {
  /// The first claim that wasn't released; only its agent may run the call.
  ClaimNonce holder;
  Digest request_digest;
  Time claimed;
  bool complete = false;
  /// Null if the run isn't over, or its answer is no longer kept.
  std::shared_ptr<const StoredResponse> response;
};

/// One claim stream as far as it was read. Every agent that reads the same records in the order of
/// their offsets comes to the same holder of each key. Not thread safe.
class ClaimStream {
 public:
  /// Takes in the answer to a read from `position()`. Records that were taken in before are
  /// ignored.
  void Apply(const ClaimsRead& read, Time now);
  /// Forgets what was claimed before `horizon`, and answers older than limits::kStoredResponseTtl.
  void Expire(Time horizon, Time now);

  /// Offset of the next record to take in.
  [[nodiscard]] std::int64_t position() const { return position_; }
  /// True once a read reached the end of the stream.
  [[nodiscard]] bool caught_up() const { return caught_up_; }
  /// Every claim that was written at or after this time is known.
  [[nodiscard]] Time covered_since() const { return covered_since_; }
  /// The key's state, or nullptr if nobody holds it.
  [[nodiscard]] const ClaimState* Find(Digest key) const;
  /// True if a claim or a release with this nonce was taken in.
  [[nodiscard]] bool Seen(ClaimNonce nonce) const { return nonces_.contains(nonce); }

 private:
  /// Notes that the log dropped records which weren't read.
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
  /// When the first record with each nonce was written. A claim is void if its nonce is here.
  absl::btree_map<ClaimNonce, Time> nonces_;
  struct RetainedResponse {
    Digest key;
    Time completed;
  };
  /// Keys with a kept answer, oldest first.
  std::deque<RetainedResponse> retained_responses_;
};

/// All claim streams. Not thread safe.
class ClaimTable {
 public:
  /// Number of the stream that holds a key's claims.
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

/// True if a call may run once and names a key, so that it is claimed before it runs. Thread safe.
bool NeedsClaim(const RequestTraits& traits);

}  // namespace lagoonwind::policy
