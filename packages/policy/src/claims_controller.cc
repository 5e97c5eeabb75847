#include <algorithm>
#include <optional>
#include <utility>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Interval between removals of expired claims.
constexpr std::chrono::seconds kSweepInterval{10};

enum class ClaimPhase {
  /// Not yet sent to the log.
  kPreparing,
  kAppending,
  /// In the log; the stream is read up to the claim's own record.
  kReadingBack,
  /// The result of the append is unknown; the stream is searched for the claim's nonce.
  kVerifying,
};

/// A claim that is not yet decided. Its request has not started.
struct PendingClaim {
  AttemptId attempt;
  MemberId entry;
  RequestTraits traits;
  ClaimRecord record;
  ClaimPhase phase = ClaimPhase::kPreparing;
  Time deadline;
  std::int64_t offset = 0;
  std::uint32_t append_count = 0;
  /// True if the claim is in the log or may still be appended.
  bool may_be_in_log = false;
  /// The attempt was cancelled, or the link to its entry was lost.
  bool cancelled = false;
};

/// A release or completion to be appended to the log.
struct OutboxRecord {
  ClaimRecord record;
  bool in_flight = false;
  Time next_try;
};

/// An attempt that did not run; its entry is notified once the release of its claim was appended.
struct PendingRelease {
  AttemptId attempt;
  MemberId entry;
  Reason reason = Reason::kNone;
};

/// State of the reads of one claim stream.
struct StreamReads {
  bool in_flight = false;
  Time next_try;
};

/// Claims the idempotency keys of at-most-once requests before they start: only the first claim of
/// a key in the log that was not released may run. See docs/OUTCOMES.md.
class ClaimsController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* offer = std::get_if<OfferReceived>(&event)) {
      OnOffer(*offer, board, actions);
    } else if (const auto* cancel = std::get_if<CancelReceived>(&event)) {
      MarkCancelled([&](const PendingClaim& claim) { return claim.attempt == cancel->attempt; });
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      MarkCancelled([&](const PendingClaim& claim) { return claim.entry == down->member; });
    } else if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      OnFinished(*finished, board);
    } else if (const auto* appended = std::get_if<ClaimAppended>(&event)) {
      OnAppended(*appended, board, actions);
    } else if (const auto* failed = std::get_if<ClaimAppendFailed>(&event)) {
      OnAppendFailed(*failed, board, actions);
    } else if (const auto* read = std::get_if<ClaimsRead>(&event)) {
      OnRead(*read, board, actions);
    } else if (const auto* read_failed = std::get_if<ClaimsReadFailed>(&event)) {
      OnReadFailed(read_failed->stream, board, actions);
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    board.resolved_offers.clear();
    UpdateKeyWindows(board);
    StartClaims(board);
    AppendPrepared(board, actions);
    AbandonOverdue(board, actions);
    FlushOutbox(board, actions);
    ReadStreams(board, actions);
  }

 private:
  static std::chrono::seconds KeyWindow(const TargetRule& rule) {
    return rule.key_retention.count() > 0 ? rule.key_retention : limits::kDefaultIdempotencyWindow;
  }

  static std::chrono::seconds KeyWindow(const Blackboard& board, TargetId target) {
    const TargetRule* rule = board.configuration->Target(target);
    return rule != nullptr ? KeyWindow(*rule) : limits::kDefaultIdempotencyWindow;
  }

  static bool IsAtMostOnce(const TargetRule& rule) {
    return rule.execution_semantics == ExecutionSemantics::kAtMostOnce;
  }

  /// True if all claims of the key within its window are known, up to the stream's position.
  static bool CoversKeyWindow(const Blackboard& board, const RequestTraits& traits) {
    const auto& stream = board.claims.stream(ClaimTable::StreamOf(traits.idempotency_key));
    return stream.covered_since() <= board.now - KeyWindow(board, traits.target);
  }

  /// Resolves offers whose key is complete or expired without a slot and without the log. For every
  /// other offer the log must be read first, because a known claim may since have been released.
  static void OnOffer(const OfferReceived& offer, Blackboard& board, ActionList& actions) {
    const RequestTraits& traits = offer.traits;
    if (!NeedsClaim(traits) || board.offer_history.Contains(offer.attempt)) {
      return;
    }
    const ClaimState* state = board.claims.stream(ClaimTable::StreamOf(traits.idempotency_key))
                                  .Find(traits.idempotency_key);
    if (state != nullptr && state->complete) {
      RespondToUsedKey(*state, offer.entry, offer.attempt, traits, board, actions);
    } else if (traits.idempotency_key_age > KeyWindow(board, traits.target)) {
      Refuse(offer.entry, offer.attempt, AttemptResult::kUnknown, Reason::kKeyExpired, actions);
    } else {
      return;
    }
    board.resolved_offers.insert(offer.attempt);
  }

  static void Refuse(MemberId entry, AttemptId attempt, AttemptResult result, Reason reason,
                     ActionList& actions) {
    actions.Add(
        RefuseAttempt{.entry = entry, .attempt = attempt, .reason = reason, .result = result});
  }

  static void RespondToUsedKey(const ClaimState& state, MemberId entry, AttemptId attempt,
                               const RequestTraits& traits, Blackboard& board,
                               ActionList& actions) {
    const bool expired = state.claimed + KeyWindow(board, traits.target) < board.now;
    Reason reason = Reason::kKeyRunning;
    if (expired) {
      reason = Reason::kKeyExpired;
    } else if (state.request_digest != traits.digest) {
      reason = Reason::kKeyConflict;
    } else if (state.response != nullptr) {
      actions.Add(ReplayResponse{.entry = entry, .attempt = attempt, .response = state.response});
      Record(DecisionKind::kResponseReplayed, entry, attempt, traits, Reason::kNone, board);
      return;
    }
    // Only the request of the holder runs, so a request with another digest has not run.
    const bool known_not_run = reason == Reason::kKeyConflict && CoversKeyWindow(board, traits);
    Refuse(entry, attempt, known_not_run ? AttemptResult::kNotRun : AttemptResult::kUnknown, reason,
           actions);
    Record(DecisionKind::kClaimLost, entry, attempt, traits, reason, board);
  }

  static void Record(DecisionKind kind, MemberId entry, AttemptId attempt,
                     const RequestTraits& traits, Reason reason, Blackboard& board) {
    board.Record({.kind = kind,
                  .request = attempt.request,
                  .customer = traits.customer,
                  .member = entry,
                  .reason = reason});
  }

  template <class Predicate>
  void MarkCancelled(Predicate predicate) {
    for (auto& [nonce, claim] : pending_) {
      claim.cancelled = claim.cancelled || predicate(claim);
    }
  }

  /// Creates claims for the attempts that were admitted in this step.
  void StartClaims(Blackboard& board) {
    for (const auto& [id, attempt] : board.running) {
      if (!attempt.awaits_claim || claiming_attempts_.contains(id)) {
        continue;
      }
      const ClaimNonce nonce{CombineHashes(board.options.incarnation.value, ++last_nonce_)};
      claiming_attempts_.insert(id);
      pending_[nonce] = PendingClaim{.attempt = id,
                                     .entry = attempt.entry,
                                     .traits = attempt.traits,
                                     .record = {.idempotency_key = attempt.traits.idempotency_key,
                                                .request_digest = attempt.traits.digest,
                                                .customer = attempt.traits.customer,
                                                .nonce = nonce,
                                                .agent = board.options.incarnation},
                                     .deadline = board.now + limits::kClaimTimeout};
    }
  }

  void AppendPrepared(Blackboard& board, ActionList& actions) {
    for (auto& [nonce, claim] : pending_) {
      const std::uint32_t index = ClaimTable::StreamOf(claim.record.idempotency_key);
      if (claim.phase == ClaimPhase::kPreparing && !claim.cancelled &&
          board.claims.stream(index).caught_up() && CoversKeyWindow(board, claim.traits)) {
        Append(claim, actions);
      }
    }
  }

  static void Append(PendingClaim& claim, ActionList& actions) {
    claim.phase = ClaimPhase::kAppending;
    ++claim.append_count;
    actions.Add(AppendClaim{.stream = ClaimTable::StreamOf(claim.record.idempotency_key),
                            .record = claim.record});
  }

  void OnAppended(const ClaimAppended& appended, Blackboard& board, ActionList& actions) {
    if (appended.kind != ClaimKind::kClaim) {
      outbox_.erase(appended.nonce);
      FinishRelease(appended.nonce, std::nullopt, board, actions);
      return;
    }
    const auto found = pending_.find(appended.nonce);
    if (found != pending_.end() && found->second.phase != ClaimPhase::kReadingBack) {
      found->second.phase = ClaimPhase::kReadingBack;
      found->second.offset = appended.offset;
      found->second.may_be_in_log = true;
    }
  }

  void OnAppendFailed(const ClaimAppendFailed& failed, Blackboard& board, ActionList& actions) {
    if (failed.kind != ClaimKind::kClaim) {
      if (const auto found = outbox_.find(failed.nonce); found != outbox_.end()) {
        found->second.in_flight = false;
        found->second.next_try = board.now + limits::kClaimRetryInterval;
      }
      FinishRelease(failed.nonce, Reason::kLogUnavailable, board, actions);
      return;
    }
    const auto found = pending_.find(failed.nonce);
    if (found == pending_.end() || found->second.phase != ClaimPhase::kAppending) {
      return;
    }
    if (failed.certain) {
      Abandon(found->first, Reason::kLogUnavailable, board, actions);
    } else {
      found->second.may_be_in_log = true;
      found->second.phase = ClaimPhase::kVerifying;
    }
  }

  void OnRead(const ClaimsRead& read, Blackboard& board, ActionList& actions) {
    ClaimStream& stream = board.claims.stream(read.stream);
    const std::int64_t before = stream.position();
    stream.Apply(read, board.now);
    StreamReads& reads = reads_.at(read.stream);
    reads.in_flight = false;
    reads.next_try =
        stream.position() > before ? board.now : board.now + limits::kClaimRetryInterval;
    for (const ClaimNonce nonce : PendingOn(read.stream)) {
      Advance(nonce, stream, read, board, actions);
    }
  }

  std::vector<ClaimNonce> PendingOn(std::uint32_t stream) const {
    std::vector<ClaimNonce> nonces;
    for (const auto& [nonce, claim] : pending_) {
      if (ClaimTable::StreamOf(claim.record.idempotency_key) == stream) {
        nonces.push_back(nonce);
      }
    }
    return nonces;
  }

  void Advance(ClaimNonce nonce, const ClaimStream& stream, const ClaimsRead& read,
               Blackboard& board, ActionList& actions) {
    PendingClaim& claim = pending_.at(nonce);
    const bool read_back =
        claim.phase == ClaimPhase::kReadingBack && stream.position() > claim.offset;
    if (read_back || (claim.phase == ClaimPhase::kVerifying && stream.Seen(nonce))) {
      Decide(nonce, stream, board, actions);
    } else if (claim.phase == ClaimPhase::kVerifying && stream.position() >= read.next_offset) {
      // The first append may still take effect. Appending the same nonce again is safe, because
      // only the first record with a nonce counts.
      if (claim.append_count == 1) {
        Append(claim, actions);
      } else {
        Abandon(nonce, Reason::kLogUnavailable, board, actions);
      }
    }
  }

  /// Decides a claim that was read back: starts the attempt if the claim is the first of its key,
  /// and refuses it or returns the stored response otherwise.
  void Decide(ClaimNonce nonce, const ClaimStream& stream, Blackboard& board, ActionList& actions) {
    const PendingClaim claim = pending_.at(nonce);
    const ClaimState* state = stream.Find(claim.record.idempotency_key);
    const bool is_first = state != nullptr && state->holder == nonce && !state->complete;
    if (is_first &&
        (claim.cancelled || !CoversKeyWindow(board, claim.traits) || board.now >= claim.deadline)) {
      Abandon(nonce, claim.cancelled ? Reason::kCallerLeft : Reason::kLogUnavailable, board,
              actions);
      return;
    }
    RemovePending(nonce);
    if (is_first) {
      held_[claim.attempt] = claim;
      board.running.at(claim.attempt).awaits_claim = false;
      actions.Add(StartAttempt{.entry = claim.entry, .attempt = claim.attempt});
      Record(DecisionKind::kClaimHeld, claim.entry, claim.attempt, claim.traits, Reason::kNone,
             board);
      return;
    }
    board.running.erase(claim.attempt);
    if (state == nullptr) {
      // The claim lost to one that has since been released; the entry may retry.
      Refuse(claim.entry, claim.attempt, AttemptResult::kNotRun, Reason::kNoRoom, actions);
      return;
    }
    RespondToUsedKey(*state, claim.entry, claim.attempt, claim.traits, board, actions);
  }

  void OnReadFailed(std::uint32_t stream, Blackboard& board, ActionList& actions) {
    StreamReads& reads = reads_.at(stream);
    reads.in_flight = false;
    reads.next_try = board.now + limits::kClaimRetryInterval;
    for (const ClaimNonce nonce : PendingOn(stream)) {
      if (pending_.at(nonce).phase != ClaimPhase::kAppending) {
        Abandon(nonce, Reason::kLogUnavailable, board, actions);
      }
    }
  }

  void AbandonOverdue(Blackboard& board, ActionList& actions) {
    std::vector<ClaimNonce> overdue;
    for (const auto& [nonce, claim] : pending_) {
      const bool idle = claim.phase == ClaimPhase::kPreparing && claim.cancelled;
      if (idle || board.now >= claim.deadline) {
        overdue.push_back(nonce);
      }
    }
    for (const ClaimNonce nonce : overdue) {
      Abandon(nonce, Reason::kLogUnavailable, board, actions);
    }
  }

  /// Abandons a claim and refuses its attempt. A release is appended if the claim may be in the
  /// log.
  void Abandon(ClaimNonce nonce, Reason reason, Blackboard& board, ActionList& actions) {
    const PendingClaim claim = pending_.at(nonce);
    RemovePending(nonce);
    board.running.erase(claim.attempt);
    if (claim.may_be_in_log || claim.phase == ClaimPhase::kAppending) {
      Release(claim.record, board);
    }
    Refuse(claim.entry, claim.attempt, AttemptResult::kNotRun, reason, actions);
    Record(DecisionKind::kClaimReleased, claim.entry, claim.attempt, claim.traits, reason, board);
  }

  void RemovePending(ClaimNonce nonce) {
    claiming_attempts_.erase(pending_.at(nonce).attempt);
    pending_.erase(nonce);
  }

  void OnFinished(const AttemptFinished& finished, Blackboard& board) {
    const auto found = held_.find(finished.attempt);
    if (found == held_.end()) {
      return;
    }
    const PendingClaim claim = found->second;
    held_.erase(found);
    if (finished.result == AttemptResult::kComplete) {
      ClaimRecord record = claim.record;
      record.kind = ClaimKind::kCompletion;
      record.response = finished.response;
      Enqueue(std::move(record), board);
    } else if (finished.result == AttemptResult::kNotRun) {
      pending_releases_[claim.record.nonce] =
          PendingRelease{.attempt = claim.attempt, .entry = claim.entry, .reason = finished.reason};
      Release(claim.record, board);
    }
  }

  void Release(ClaimRecord record, Blackboard& board) {
    record.kind = ClaimKind::kRelease;
    Enqueue(std::move(record), board);
  }

  void Enqueue(ClaimRecord record, Blackboard& board) {
    if (outbox_.size() >= limits::kMaxClaimOutbox) {
      outbox_.erase(outbox_.begin());
    }
    const ClaimNonce nonce = record.nonce;
    outbox_[nonce] = OutboxRecord{.record = std::move(record), .next_try = board.now};
  }

  /// Notifies the entry that the attempt did not run. If appending the release failed, the reason
  /// prevents a retry, which would lose to the claim that is still in the log.
  void FinishRelease(ClaimNonce nonce, std::optional<Reason> failure, Blackboard& board,
                     ActionList& actions) {
    const auto found = pending_releases_.find(nonce);
    if (found == pending_releases_.end()) {
      return;
    }
    const PendingRelease release = found->second;
    pending_releases_.erase(found);
    Refuse(release.entry, release.attempt, AttemptResult::kNotRun, failure.value_or(release.reason),
           actions);
    board.Record({.kind = DecisionKind::kClaimReleased,
                  .request = release.attempt.request,
                  .member = release.entry,
                  .reason = release.reason});
  }

  void FlushOutbox(Blackboard& board, ActionList& actions) {
    for (auto& [nonce, item] : outbox_) {
      if (!item.in_flight && item.next_try <= board.now) {
        item.in_flight = true;
        actions.Add(AppendClaim{.stream = ClaimTable::StreamOf(item.record.idempotency_key),
                                .record = item.record});
      }
    }
  }

  void ReadStreams(Blackboard& board, ActionList& actions) {
    for (std::uint32_t index = 0; index < limits::kClaimStreams; ++index) {
      StreamReads& reads = reads_.at(index);
      if (!reads.in_flight && reads.next_try <= board.now && NeedsRead(index, board)) {
        reads.in_flight = true;
        actions.Add(ReadClaims{.stream = index, .from = board.claims.stream(index).position()});
      }
    }
  }

  bool NeedsRead(std::uint32_t index, const Blackboard& board) const {
    if (!board.claims.stream(index).caught_up()) {
      return ServesAtMostOnceTarget(board);
    }
    return std::ranges::any_of(pending_, [index](const auto& item) {
      const PendingClaim& claim = item.second;
      return ClaimTable::StreamOf(claim.record.idempotency_key) == index &&
             (claim.phase == ClaimPhase::kReadingBack || claim.phase == ClaimPhase::kVerifying);
    });
  }

  static bool ServesAtMostOnceTarget(const Blackboard& board) {
    return std::ranges::any_of(board.configuration->targets, [&](const auto& item) {
      return IsAtMostOnce(item.second) && board.Serves(item.first);
    });
  }

  /// Removes claims older than the longest key window. Rereads all streams when that window grows,
  /// because older claims then matter again.
  void UpdateKeyWindows(Blackboard& board) {
    std::chrono::seconds longest_window{0};
    for (const auto& [id, rule] : board.configuration->targets) {
      longest_window =
          std::max(longest_window, IsAtMostOnce(rule) ? KeyWindow(rule) : longest_window);
    }
    if (longest_window > longest_window_) {
      board.claims = ClaimTable{};
    }
    longest_window_ = longest_window;
    if (longest_window.count() == 0 || board.now < next_sweep_) {
      return;
    }
    next_sweep_ = board.now + kSweepInterval;
    for (std::uint32_t index = 0; index < limits::kClaimStreams; ++index) {
      board.claims.stream(index).Expire(board.now - longest_window - limits::kClaimGrace,
                                        board.now);
    }
  }

  std::uint64_t last_nonce_ = 0;
  absl::btree_map<ClaimNonce, PendingClaim> pending_;
  /// Attempts with a pending claim.
  absl::btree_set<AttemptId> claiming_attempts_;
  /// Claims that won their key and whose attempts were started.
  absl::btree_map<AttemptId, PendingClaim> held_;
  absl::btree_map<ClaimNonce, OutboxRecord> outbox_;
  absl::btree_map<ClaimNonce, PendingRelease> pending_releases_;
  std::array<StreamReads, limits::kClaimStreams> reads_{};
  std::chrono::seconds longest_window_{0};
  Time next_sweep_;
};

}  // namespace

std::unique_ptr<Controller> MakeClaimsController() { return std::make_unique<ClaimsController>(); }

}  // namespace lagoonwind::policy
