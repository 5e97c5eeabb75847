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
  // Records are written about in order of their offsets; the grace covers the clocks' skew.
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
  keys_.try_emplace(
      record.key,
      ClaimState{.holder = record.nonce, .content = record.content, .claimed = written});
}

void ClaimStream::Release(const ClaimRecord& record, Time written) {
  nonces_.try_emplace(record.nonce, written);
  const auto found = keys_.find(record.key);
  if (found != keys_.end() && found->second.holder == record.nonce && !found->second.complete) {
    keys_.erase(found);
  }
}

void ClaimStream::Complete(const ClaimRecord& record, Time written) {
  ClaimState& state = keys_[record.key];
  if (!state.holder.valid()) {
    state.claimed = written;
  }
  state.holder = record.nonce;
  state.content = record.content;
  state.complete = true;
  if (record.answer == nullptr || state.answer != nullptr) {
    return;
  }
  state.answer = record.answer;
  kept_.push_back(Kept{.key = record.key, .completed = written});
  if (kept_.size() > limits::kMaxStoredResponses) {
    DropAnswer(kept_.front().key);
    kept_.pop_front();
  }
}

void ClaimStream::DropAnswer(Digest key) {
  if (const auto found = keys_.find(key); found != keys_.end()) {
    found->second.answer = nullptr;
  }
}

void ClaimStream::Expire(Time horizon, Time now) {
  while (!kept_.empty() && kept_.front().completed + limits::kStoredResponseTtl < now) {
    DropAnswer(kept_.front().key);
    kept_.pop_front();
  }
  absl::erase_if(keys_, [&](const auto& item) { return item.second.claimed < horizon; });
  absl::erase_if(nonces_, [&](const auto& item) { return item.second < horizon; });
  covered_since_ = std::max(covered_since_, horizon);
}

const ClaimState* ClaimStream::Find(Digest key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &found->second;
}

bool NeedsClaim(const RequestTraits& traits) { return !traits.repeatable && traits.key.valid(); }

}  // namespace lagoonwind::policy
