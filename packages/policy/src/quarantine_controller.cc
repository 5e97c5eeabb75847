#include <algorithm>
#include <utility>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Tracks the digests of requests that were running when a backend server crashed, reports them to
/// processes of the other role, and ends waiting requests whose digest is quarantined.
class QuarantineController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      OnFinished(*finished, board);
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      OnEnded(*ended, board);
    } else if (const auto* received = std::get_if<SuspectsReceived>(&event)) {
      OnSuspectsReceived(*received, board);
    } else if (std::holds_alternative<LinkUp>(event)) {
      send_all_ = true;
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    absl::erase_if(board.suspects,
                   [&](const auto& item) { return item.second.expires <= board.now; });
    SendChanges(board, actions);
    FinishQuarantinedRequests(board, actions);
  }

 private:
  void OnFinished(const AttemptFinished& finished, Blackboard& board) {
    const auto found = board.running.find(finished.attempt);
    if (found == board.running.end()) {
      return;
    }
    const RunningAttempt& attempt = found->second;
    if (finished.reason == Reason::kBackendCrashed) {
      RecordCrash(attempt.traits.digest, attempt.started, board);
    } else if (finished.result == AttemptResult::kComplete) {
      RecordSuccess(attempt.traits.digest, attempt.started, board);
    }
  }

  /// An entry is notified of the crash by the end of its attempt, before suspects are reported.
  void OnEnded(const AttemptEnded& ended, Blackboard& board) {
    const auto found = board.requests.find(ended.attempt.request);
    if (ended.reason != Reason::kBackendCrashed || found == board.requests.end() ||
        found->second.attempt != ended.attempt.attempt || found->second.agent != ended.agent) {
      return;
    }
    RecordCrash(found->second.traits.digest, found->second.started, board);
  }

  /// Ignores executions that started before the last change of level: their crash was already
  /// counted.
  void RecordCrash(Digest digest, Time started, Blackboard& board) {
    const auto found = board.suspects.find(digest);
    if (found == board.suspects.end()) {
      SetLevel(digest, 1, board.now + limits::kSuspectTtl, board);
    } else if (started > found->second.changed) {
      const SuspectState& state = found->second;
      const std::uint32_t level = state.suspected() ? kQuarantineLevel : state.level + 1;
      SetLevel(digest, level, board.now + limits::kSuspectTtl, board);
    }
  }

  void RecordSuccess(Digest digest, Time started, Blackboard& board) {
    const auto found = board.suspects.find(digest);
    if (found != board.suspects.end() && found->second.suspected() &&
        started > found->second.changed) {
      SetLevel(digest, found->second.level + 1, found->second.expires, board);
    }
  }

  void OnSuspectsReceived(const SuspectsReceived& received, Blackboard& board) {
    for (const auto& suspect : received.suspects) {
      const auto found = board.suspects.find(suspect.digest);
      if (found == board.suspects.end() || found->second.level < suspect.level) {
        const Duration max_remaining = limits::kSuspectTtl;
        SetLevel(suspect.digest, suspect.level,
                 board.now + std::min(suspect.remaining, max_remaining), board);
      }
    }
  }

  void SetLevel(Digest digest, std::uint32_t level, Time expires, Blackboard& board) {
    if (!digest.valid()) {
      return;
    }
    EvictIfFull(digest, board);
    SuspectState& state = board.suspects[digest];
    state = SuspectState{.level = level, .changed = board.now, .expires = expires};
    changed_digests_.push_back(digest);
    board.Record({.kind = state.quarantined() ? DecisionKind::kDigestQuarantined
                                              : DecisionKind::kDigestSuspected,
                  .value = static_cast<double>(level)});
  }

  /// Evicts the suspect that expires first, quarantined ones last, if the table is full.
  static void EvictIfFull(Digest digest, Blackboard& board) {
    if (board.suspects.size() < limits::kMaxSuspects || board.suspects.contains(digest)) {
      return;
    }
    const auto rank = [](const auto& item) {
      return std::pair(item.second.quarantined(), item.second.expires);
    };
    board.suspects.erase(std::ranges::min_element(board.suspects, {}, rank));
  }

  void SendChanges(const Blackboard& board, ActionList& actions) {
    SendSuspects message;
    for (const auto& [digest, state] : board.suspects) {
      if (send_all_ || std::ranges::count(changed_digests_, digest) > 0) {
        message.suspects.push_back(Suspect{
            .digest = digest, .level = state.level, .remaining = state.expires - board.now});
      }
    }
    send_all_ = false;
    changed_digests_.clear();
    if (!message.suspects.empty()) {
      actions.Add(std::move(message));
    }
  }

  /// Ends waiting requests with a quarantined digest: with outcome kUnknown if an attempt may have
  /// run, otherwise with kNotRun.
  static void FinishQuarantinedRequests(Blackboard& board, ActionList& actions) {
    absl::erase_if(board.requests, [&](const auto& item) {
      const auto& [id, request] = item;
      const bool is_waiting =
          request.phase == RequestPhase::kWaiting || request.phase == RequestPhase::kBackingOff;
      if (!is_waiting || board.suspects.empty() || !board.Quarantined(request.traits.digest)) {
        return false;
      }
      const bool may_have_run = request.possible_executions > 0;
      const Reason reason = may_have_run ? Reason::kBackendCrashed : Reason::kQuarantined;
      actions.Add(FinishRequest{.id = id,
                                .outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
                                .reason = reason});
      board.Record({.kind = DecisionKind::kRequestFinished,
                    .request = id,
                    .customer = request.traits.customer,
                    .reason = reason});
      return true;
    });
  }

  /// Digests whose level changed since suspects were last sent.
  std::vector<Digest> changed_digests_;
  bool send_all_ = false;
};

}  // namespace

std::unique_ptr<Controller> MakeQuarantineController() {
  return std::make_unique<QuarantineController>();
}

}  // namespace lagoonwind::policy
