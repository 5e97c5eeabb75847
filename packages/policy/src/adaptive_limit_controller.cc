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
    } else if (const auto* response = std::get_if<BackendResponseStarted>(&event)) {
      OnResponseStarted(*response, board);
    } else if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      OnFinished(*finished, board);
    }
    Track(board);
    PublishLimit(board);
  }

  void Update(Blackboard& board, ActionList& /*actions*/) override {
    Track(board);
    limit_.ExpireUnused(board.now);
    DetectStall(board);
    PublishLimit(board);
  }

 private:
  static std::uint32_t RunningCount(const Blackboard& board) {
    return static_cast<std::uint32_t>(board.running.size());
  }

  void Track(Blackboard& board) {
    own_peak_running_ = std::max(own_peak_running_, RunningCount(board));
    limit_.Track(board.now, RunningCount(board) + board.backend.external_requests);
  }

  void PublishLimit(Blackboard& board) const {
    board.backend.stalled = limit_.held();
    if (limit_.size() == board.backend.concurrency_limit) {
      return;
    }
    board.backend.concurrency_limit = limit_.size();
    board.Record({.kind = DecisionKind::kConcurrencyLimitChanged,
                  .value = static_cast<double>(board.backend.concurrency_limit)});
  }

  void OnObserved(const BackendObserved& observed, Blackboard& board) {
    BackendState& backend = board.backend;
    if (!observed.reachable) {
      ResetLimit(board, backend.reachable ? RunningCount(board) : 0);
      backend.reachable = false;
      return;
    }
    if (observed.incarnation != backend.incarnation) {
      ResetLimit(board, RunningCount(board));
      backend.incarnation = observed.incarnation;
      board.Record({.kind = DecisionKind::kBackendRestarted,
                    .value = static_cast<double>(RunningCount(board))});
    }
    backend.reachable = true;
    backend.targets = observed.targets;
    // The count may include any request that this process ran since the last observation.
    backend.external_requests =
        observed.running > own_peak_running_ ? observed.running - own_peak_running_ : 0;
    own_peak_running_ = RunningCount(board);
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
      limit_.AddToken(board.now, accrued.generation_time / accrued.tokens);
    }
  }

  void SelectThresholds(TargetId target, const Blackboard& board) {
    const TargetRule* rule = board.configuration->Target(target);
    const bool is_model = rule == nullptr || rule->is_model;
    limit_.set_thresholds(is_model ? kEngineSlowdown : kServiceSlowdown);
  }

  void OnResponseStarted(const BackendResponseStarted& response, Blackboard& board) {
    const auto found = board.running.find(response.attempt);
    if (found == board.running.end()) {
      return;
    }
    last_response_streamed_ = response.time_to_first_token.count() > 0;
    if (!last_response_streamed_) {
      return;
    }
    found->second.last_token = board.now;
    limit_.AddFirstToken(board.now, response.time_to_first_token);
  }

  void OnFinished(const AttemptFinished& finished, Blackboard& board) {
    if (!board.running.contains(finished.attempt)) {
      return;
    }
    switch (finished.reason) {
      case Reason::kBackendRefused:
        // The attempt never ran; AdmissionController removes it after this event.
        limit_.Track(board.now, RunningCount(board) + board.backend.external_requests - 1);
        limit_.OnRefusal(board.now);
        break;
      case Reason::kBackendCrashed:
      case Reason::kTimeout:
        ResetLimit(board, RunningCount(board));
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
    limit_.OnRestart(board.now, running);
    board.backend.external_requests = 0;
  }

  /// Holds new attempts while tokens of more than half of the streams are overdue: the backend
  /// server may have become cold without restarting visibly.
  void DetectStall(Blackboard& board) {
    if (limit_.best_interval().count() > 0 && MostStreamsOverdue(board)) {
      limit_.HoldNewRequests();
    }
  }

  [[nodiscard]] bool MostStreamsOverdue(const Blackboard& board) const {
    std::size_t overdue = 0;
    std::size_t streams = 0;
    for (const auto& [id, attempt] : board.running) {
      const Time deadline = NextTokenDeadline(attempt);
      streams += deadline != kNever ? 1 : 0;
      overdue += deadline < board.now ? 1 : 0;
    }
    return 2 * overdue > streams;
  }

  /// Time from which the next token of an attempt is overdue.
  [[nodiscard]] Time NextTokenDeadline(const RunningAttempt& attempt) const {
    if (attempt.last_token) {
      return *attempt.last_token + OverdueAfter(limit_.best_interval());
    }
    const bool known = last_response_streamed_ && limit_.best_first_token().count() > 0;
    return known ? attempt.started + OverdueAfter(limit_.best_first_token()) : kNever;
  }

  static Duration OverdueAfter(Duration best) {
    return best * kOverdueFactorHalves / 2 + kOverdueMargin;
  }

  static constexpr Time kNever = Time::max();

  AdaptiveLimit limit_;
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
