#include <algorithm>

#include "controller.h"
#include "warm_up_window.h"

namespace lagoonwind::policy {
namespace {

/// A token is overdue after 5/2 of the best time, and the margin.
constexpr int kOverdueHalves = 5;
constexpr Duration kOverdueMargin = std::chrono::milliseconds(20);

/// Finds out how many requests the backend server bears.
class WarmUpController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    if (const auto* observed = std::get_if<BackendObserved>(&event)) {
      OnObserved(*observed, board);
    } else if (const auto* accrued = std::get_if<ServiceAccrued>(&event)) {
      OnAccrued(*accrued, board);
    } else if (const auto* answer = std::get_if<AnswerStarted>(&event)) {
      OnAnswer(*answer, board);
    } else if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      OnFinished(*finished, board);
    }
    Track(board);
    Publish(board);
  }

  void Update(Blackboard& board, ActionList& /*actions*/) override {
    Track(board);
    window_.Expire(board.now);
    WatchForStall(board);
    Publish(board);
  }

 private:
  static std::uint32_t Running(const Blackboard& board) {
    return static_cast<std::uint32_t>(board.running.size());
  }

  void Track(Blackboard& board) {
    own_peak_ = std::max(own_peak_, Running(board));
    window_.Track(board.now, Running(board) + board.backend.foreign);
  }

  void Publish(Blackboard& board) const {
    board.backend.stalled = window_.held();
    if (window_.size() == board.backend.window) {
      return;
    }
    board.backend.window = window_.size();
    board.Record(
        {.kind = DecisionKind::kWindowChanged, .value = static_cast<double>(board.backend.window)});
  }

  void OnObserved(const BackendObserved& observed, Blackboard& board) {
    BackendState& backend = board.backend;
    if (!observed.reachable) {
      Restart(board, backend.reachable ? Running(board) : 0);
      backend.reachable = false;
      return;
    }
    if (observed.instance != backend.instance) {
      Restart(board, Running(board));
      backend.instance = observed.instance;
      board.Record(
          {.kind = DecisionKind::kBackendRestarted, .value = static_cast<double>(Running(board))});
    }
    backend.reachable = true;
    backend.targets = observed.targets;
    // What this process ran at any time since the last observation may be in the count.
    backend.foreign = observed.running > own_peak_ ? observed.running - own_peak_ : 0;
    own_peak_ = Running(board);
  }

  void OnAccrued(const ServiceAccrued& accrued, Blackboard& board) {
    const auto found = board.running.find(accrued.attempt);
    if (found == board.running.end() || accrued.tokens == 0) {
      return;
    }
    UseLimitsOf(found->second.traits.target, board);
    if (found->second.last_token) {
      found->second.last_token = board.now;
    }
    if (accrued.took.count() > 0) {
      window_.AddToken(board.now, accrued.took / accrued.tokens);
    }
  }

  void UseLimitsOf(TargetId target, const Blackboard& board) {
    const TargetRule* rule = board.configuration->Target(target);
    const bool is_model = rule == nullptr || rule->is_model;
    window_.set_limits(is_model ? kEngineSlowdown : kServiceSlowdown);
  }

  void OnAnswer(const AnswerStarted& answer, Blackboard& board) {
    const auto found = board.running.find(answer.attempt);
    if (found == board.running.end()) {
      return;
    }
    only_streams_ = answer.first_token.count() > 0;
    if (!only_streams_) {
      return;
    }
    found->second.last_token = board.now;
    window_.AddFirstToken(board.now, answer.first_token);
  }

  void OnFinished(const AttemptFinished& finished, Blackboard& board) {
    if (!board.running.contains(finished.attempt)) {
      return;
    }
    switch (finished.reason) {
      case Reason::kBackendRefused:
        // AdmissionController removes the attempt after this; it never ran.
        window_.Track(board.now, Running(board) + board.backend.foreign - 1);
        window_.Refused(board.now);
        break;
      case Reason::kBackendCrashed:
      case Reason::kBackendFailed:
      case Reason::kTimeout:
        Restart(board, Running(board));
        break;
      default:
        break;
    }
  }

  void Restart(Blackboard& board, std::uint32_t running) {
    window_.Restarted(board.now, running);
    board.backend.foreign = 0;
  }

  /// Nothing is started once most streams lack a token that is due: the backend server may have
  /// gone cold without a word.
  void WatchForStall(Blackboard& board) {
    if (window_.best_interval().count() > 0 && MostAreSilent(board)) {
      window_.Hold();
    }
  }

  [[nodiscard]] bool MostAreSilent(const Blackboard& board) const {
    std::size_t silent = 0;
    std::size_t streams = 0;
    for (const auto& [id, attempt] : board.running) {
      const Time due = Due(attempt);
      streams += due != kNever ? 1 : 0;
      silent += due < board.now ? 1 : 0;
    }
    return 2 * silent > streams;
  }

  /// When the next token of an attempt is overdue.
  [[nodiscard]] Time Due(const RunningAttempt& attempt) const {
    if (attempt.last_token) {
      return *attempt.last_token + Overdue(window_.best_interval());
    }
    const bool known = only_streams_ && window_.best_first_token().count() > 0;
    return known ? attempt.started + Overdue(window_.best_first_token()) : kNever;
  }

  static Duration Overdue(Duration best) { return best * kOverdueHalves / 2 + kOverdueMargin; }

  static constexpr Time kNever = Time::max();

  WarmUpWindow window_;
  /// True while every answer streams, so that a first token is due at some time.
  bool only_streams_ = true;
  /// Most of this process's own requests that ran since the last observation.
  std::uint32_t own_peak_ = 0;
};

}  // namespace

std::unique_ptr<Controller> MakeWarmUpController() { return std::make_unique<WarmUpController>(); }

}  // namespace lagoonwind::policy
