#include "claim_table.h"

#include <algorithm>

namespace lagoonwind::policy {

void ClaimStream::Apply(const ClaimsRead& read, Time now) {
  if (read.first_offset > position_) {
    if (!read.records.empty() && read.records.front().offset != read.first_offset) {
      return;
    }
    Skip(read, now);
  }
  for (const auto& stored : read.records) {
    if (stored.offset == position_) {
      Apply(stored, now);
      ++position_;
    }
  }
  caught_up_ = caught_up_ || position_ >= read.next_offset;
}

void ClaimStream::Skip(const ClaimsRead& read, Time now) {
  position_ = read.first_offset;
  // Time stamps only roughly follow the order of offsets; the grace period covers clock skew.
  const bool empty = read.records.empty();
  covered_since_ = empty ? now : now - read.records.front().age + limits::kClaimGrace;
}

void ClaimStream::Apply(const StoredClaim& stored, Time now) {
  if (!stored.record.nonce.valid()) {
    return;
  }
  const Time written = now - stored.age;
  switch (stored.record.kind) {
    case ClaimKind::kClaim:
      Claim(stored, written);
      break;
    case ClaimKind::kRelease:
      Release(stored.record, written);
      break;
    case ClaimKind::kCompletion:
      Complete(stored.record, written);
      break;
  }
}

void ClaimStream::Claim(const StoredClaim& stored, Time written) {
  const ClaimRecord& record = stored.record;
  if (!nonces_.try_emplace(record.nonce, written).second) {
    return;
  }
  keys_.try_emplace(record.idempotency_key, ClaimState{.holder = record.nonce,
                                                       .request_digest = record.request_digest,
                                                       .claimed = written});
}

void ClaimStream::Release(const ClaimRecord& record, Time written) {
  nonces_.try_emplace(record.nonce, written);
  const auto found = keys_.find(record.idempotency_key);
  if (found != keys_.end() && found->second.holder == record.nonce && !found->second.complete) {
    keys_.erase(found);
  }
}

void ClaimStream::Complete(const ClaimRecord& record, Time written) {
  ClaimState& state = keys_[record.idempotency_key];
  if (!state.holder.valid()) {
    state.claimed = written;
  }
  state.holder = record.nonce;
  state.request_digest = record.request_digest;
  state.complete = true;
  if (record.response == nullptr || state.response != nullptr) {
    return;
  }
  state.response = record.response;
  retained_responses_.push_back(
      RetainedResponse{.key = record.idempotency_key, .completed = written});
  if (retained_responses_.size() > limits::kMaxStoredResponses) {
    DropResponse(retained_responses_.front().key);
    retained_responses_.pop_front();
  }
}

void ClaimStream::DropResponse(Digest key) {
  if (const auto found = keys_.find(key); found != keys_.end()) {
    found->second.response = nullptr;
  }
}

void ClaimStream::Expire(Time horizon, Time now) {
  while (!retained_responses_.empty() &&
         retained_responses_.front().completed + limits::kStoredResponseTtl < now) {
    DropResponse(retained_responses_.front().key);
    retained_responses_.pop_front();
  }
  absl::erase_if(keys_, [&](const auto& item) { return item.second.claimed < horizon; });
  absl::erase_if(nonces_, [&](const auto& item) { return item.second < horizon; });
  covered_since_ = std::max(covered_since_, horizon);
}

const ClaimState* ClaimStream::Find(Digest key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &found->second;
}

bool NeedsClaim(const RequestTraits& traits) {
  return !traits.repeatable && traits.idempotency_key.valid();
}

}  // namespace lagoonwind::policy
