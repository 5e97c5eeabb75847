#include <algorithm>

#include "adaptive_limit.h"
#include "controller.h"

namespace lagoonwind::policy {
namespace {

/// A token is overdue after 5/2 of the best time plus the margin.
constexpr int kOverdueFactorHalves = 5;
constexpr Duration kOverdueMargin = std::chrono::milliseconds(20);

/// Adapts the concurrency limit of the backend server to its measured speed.
class AdaptiveLimitController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    if (const auto* observed = std::get_if<BackendObserved>(&event)) {
      OnObserved(*observed, board);
    } else if (const auto* accrued = std::get_if<ServiceAccrued>(&event)) {
      OnAccrued(*accrued, board);
    } else if (const auto* answer = std::get_if<BackendResponseStarted>(&event)) {
      OnAnswer(*answer, board);
    } else if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      OnFinished(*finished, board);
    }
    Track(board);
    PublishLimit(board);
  }

  void Update(Blackboard& board, ActionList& /*actions*/) override {
    Track(board);
    window_.Expire(board.now);
    DetectStall(board);
    PublishLimit(board);
  }

 private:
  static std::uint32_t Running(const Blackboard& board) {
    return static_cast<std::uint32_t>(board.running.size());
  }

  void Track(Blackboard& board) {
    own_peak_running_ = std::max(own_peak_running_, Running(board));
    window_.Track(board.now, Running(board) + board.backend.external_requests);
  }

  void PublishLimit(Blackboard& board) const {
    board.backend.stalled = window_.held();
    if (window_.size() == board.backend.concurrency_limit) {
      return;
    }
    board.backend.concurrency_limit = window_.size();
    board.Record({.kind = DecisionKind::kConcurrencyLimitChanged,
                  .value = static_cast<double>(board.backend.concurrency_limit)});
  }

  void OnObserved(const BackendObserved& observed, Blackboard& board) {
    BackendState& backend = board.backend;
    if (!observed.reachable) {
      ResetLimit(board, backend.reachable ? Running(board) : 0);
      backend.reachable = false;
      return;
    }
    if (observed.incarnation != backend.incarnation) {
      ResetLimit(board, Running(board));
      backend.incarnation = observed.incarnation;
      board.Record(
          {.kind = DecisionKind::kBackendRestarted, .value = static_cast<double>(Running(board))});
    }
    backend.reachable = true;
    backend.targets = observed.targets;
    // The count may include any request that this process ran since the last observation.
    backend.external_requests =
        observed.running > own_peak_running_ ? observed.running - own_peak_running_ : 0;
    own_peak_running_ = Running(board);
  }

  void OnAccrued(const ServiceAccrued& accrued, Blackboard& board) {
    const auto found = board.running.find(accrued.attempt);
    if (found == board.running.end() || accrued.tokens == 0) {
      return;
    }
    SelectThresholds(found->second.traits.target, board);
    if (found->second.last_token) {
      found->second.last_token = board.now;
    }
    if (accrued.generation_time.count() > 0) {
      window_.AddToken(board.now, accrued.generation_time / accrued.tokens);
    }
  }

  void SelectThresholds(TargetId target, const Blackboard& board) {
    const TargetRule* rule = board.configuration->Target(target);
    const bool is_model = rule == nullptr || rule->is_model;
    window_.set_limits(is_model ? kEngineSlowdown : kServiceSlowdown);
  }

  void OnAnswer(const BackendResponseStarted& answer, Blackboard& board) {
    const auto found = board.running.find(answer.attempt);
    if (found == board.running.end()) {
      return;
    }
    last_response_streamed_ = answer.time_to_first_token.count() > 0;
    if (!last_response_streamed_) {
      return;
    }
    found->second.last_token = board.now;
    window_.AddFirstToken(board.now, answer.time_to_first_token);
  }

  void OnFinished(const AttemptFinished& finished, Blackboard& board) {
    if (!board.running.contains(finished.attempt)) {
      return;
    }
    switch (finished.reason) {
      case Reason::kBackendRefused:
        // The attempt never ran; AdmissionController removes it after this event.
        window_.Track(board.now, Running(board) + board.backend.external_requests - 1);
        window_.Refused(board.now);
        break;
      case Reason::kBackendCrashed:
      case Reason::kTimeout:
        ResetLimit(board, Running(board));
        break;
      case Reason::kBackendFailed:
        // A response broken off by a live incarnation does not indicate a restart; a refused
        // connection does.
        if (finished.result == AttemptResult::kNotRun) {
          ResetLimit(board, 0);
        }
        break;
      default:
        break;
    }
  }

  void ResetLimit(Blackboard& board, std::uint32_t running) {
    window_.Restarted(board.now, running);
    board.backend.external_requests = 0;
  }

  /// Holds new attempts while tokens of more than half of the streams are overdue: the backend
  /// server may have become cold without restarting visibly.
  void DetectStall(Blackboard& board) {
    if (window_.best_interval().count() > 0 && MostStreamsOverdue(board)) {
      window_.HoldNewRequests();
    }
  }

  [[nodiscard]] bool MostStreamsOverdue(const Blackboard& board) const {
    std::size_t silent = 0;
    std::size_t streams = 0;
    for (const auto& [id, attempt] : board.running) {
      const Time due = NextTokenDeadline(attempt);
      streams += due != kNever ? 1 : 0;
      silent += due < board.now ? 1 : 0;
    }
    return 2 * silent > streams;
  }

  /// Time from which the next token of an attempt is overdue.
  [[nodiscard]] Time NextTokenDeadline(const RunningAttempt& attempt) const {
    if (attempt.last_token) {
      return *attempt.last_token + OverdueAfter(window_.best_interval());
    }
    const bool known = last_response_streamed_ && window_.best_first_token().count() > 0;
    return known ? attempt.started + OverdueAfter(window_.best_first_token()) : kNever;
  }

  static Duration OverdueAfter(Duration best) {
    return best * kOverdueFactorHalves / 2 + kOverdueMargin;
  }

  static constexpr Time kNever = Time::max();

  AdaptiveLimit window_;
  /// True if the last response was streamed. First tokens are overdue only then.
  bool last_response_streamed_ = true;
  /// Maximum number of this process's own attempts running since the last observation.
  std::uint32_t own_peak_running_ = 0;
};

}  // namespace

std::unique_ptr<Controller> MakeAdaptiveLimitController() {
  return std::make_unique<AdaptiveLimitController>();
}

}  // namespace lagoonwind::policy
