#include <algorithm>

#include "controller.h"
#include "lagoonwind/limits.h"
#include "retry_budget.h"

namespace lagoonwind::policy {
namespace {

/// Tracks each attempt until it ends and decides whether its request is retried.
class RetryController final : public Controller {
 public:
  explicit RetryController(const PolicyOptions& options)
      : budget_(options.retry_ratio), backoff_(options.seed) {}

  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* queued = std::get_if<AttemptQueued>(&event)) {
      OnQueued(*queued, board);
    } else if (const auto* started = std::get_if<AttemptStarted>(&event)) {
      OnStarted(*started, board);
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      OnEnded(*ended, board, actions);
    } else if (const auto* response = std::get_if<CallerResponseStarted>(&event)) {
      if (const auto found = board.requests.find(response->id); found != board.requests.end()) {
        found->second.response_started = true;
      }
    } else if (const auto* disconnected = std::get_if<CallerDisconnected>(&event)) {
      OnCallerDisconnected(*disconnected, board, actions);
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      OnLinkDown(*down, board, actions);
    } else if (std::holds_alternative<RequestArrived>(event)) {
      budget_.RequestArrived();
    }
  }

  void Update(Blackboard& board, ActionList& /*actions*/) override {
    for (auto& [id, request] : board.requests) {
      if (request.phase == RequestPhase::kBackingOff && request.retry_at <= board.now) {
        request.TransitionTo(RequestPhase::kWaiting);
      }
    }
  }

 private:
  /// Retry rule for an attempt without a complete response.
  enum class RetryClass {
    /// The attempt neither ran nor failed: retry regardless of the attempt limit and the budget.
    kUnlimited,
    /// Retry within the attempt limit and the retry budget.
    kBudgeted,
    /// A retry would have the same result.
    kNoRetry,
  };

  static RetryClass ClassifyAttempt(AttemptResult result, Reason reason) {
    if (result != AttemptResult::kNotRun) {
      return IsAboutKey(reason) ? RetryClass::kNoRetry : RetryClass::kBudgeted;
    }
    switch (reason) {
      case Reason::kDraining:
      case Reason::kZoneOut:
      case Reason::kCutOff:
      case Reason::kNoRoom:
      case Reason::kNotServed:
      case Reason::kGrantExpired:
        return RetryClass::kUnlimited;
      case Reason::kQuarantined:
      case Reason::kCallerLeft:
        return RetryClass::kNoRetry;
      default:
        return IsAboutKey(reason) ? RetryClass::kNoRetry : RetryClass::kBudgeted;
    }
  }

  /// True if the reason concerns the idempotency key, so that every agent would respond the same.
  static bool IsAboutKey(Reason reason) {
    return reason == Reason::kLogUnavailable || reason == Reason::kKeyConflict ||
           reason == Reason::kKeyRunning || reason == Reason::kKeyExpired;
  }

  static OwnedRequest* FindCurrent(Blackboard& board, MemberId agent, AttemptId attempt) {
    const auto found = board.requests.find(attempt.request);
    if (found == board.requests.end() || found->second.attempt != attempt.attempt ||
        found->second.agent != agent || found->second.phase == RequestPhase::kWaiting ||
        found->second.phase == RequestPhase::kBackingOff) {
      return nullptr;
    }
    return &found->second;
  }

  static void OnQueued(const AttemptQueued& queued, Blackboard& board) {
    OwnedRequest* request = FindCurrent(board, queued.agent, queued.attempt);
    if (request == nullptr || request->phase != RequestPhase::kOffered) {
      return;
    }
    request->TransitionTo(RequestPhase::kWaiting);
    request->agent = MemberId{};
    board.Record({.kind = DecisionKind::kRequestQueued,
                  .request = queued.attempt.request,
                  .customer = request->traits.customer,
                  .member = queued.agent});
  }

  static void OnStarted(const AttemptStarted& started, Blackboard& board) {
    OwnedRequest* request = FindCurrent(board, started.agent, started.attempt);
    if (request == nullptr || request->phase != RequestPhase::kOffered) {
      return;
    }
    request->TransitionTo(RequestPhase::kRunning);
    request->started = board.now;
    board.Record({.kind = DecisionKind::kRequestStarted,
                  .request = started.attempt.request,
                  .customer = request->traits.customer,
                  .member = started.agent});
  }

  void OnEnded(const AttemptEnded& ended, Blackboard& board, ActionList& actions) {
    if (FindCurrent(board, ended.agent, ended.attempt) != nullptr) {
      EndAttempt(ended.attempt.request, ended.result, ended.reason, board, actions);
    }
  }

  void EndAttempt(RequestId id, AttemptResult result, Reason reason, Blackboard& board,
                  ActionList& actions) {
    OwnedRequest& request = board.requests[id];
    if (result == AttemptResult::kComplete) {
      Finish(id, Outcome::kComplete, Reason::kNone, board, actions);
      return;
    }
    if (result == AttemptResult::kUnknown) {
      ++request.possible_executions;
    }
    if (MayRetry(request, result, reason, board)) {
      request.TransitionTo(RequestPhase::kBackingOff);
      request.retry_at = board.now + backoff_.Next(request.counted_attempts);
      request.agent = MemberId{};
      board.Record({.kind = DecisionKind::kRequestRetried,
                    .request = id,
                    .customer = request.traits.customer,
                    .reason = reason});
      return;
    }
    Finish(id, OutcomeWithoutResponse(request.facts()), reason, board, actions);
  }

  /// True if the request may be retried. An attempt that may have run is retried only if the
  /// request is repeatable. Nothing is retried after a part of a response was forwarded to the
  /// caller.
  bool MayRetry(OwnedRequest& request, AttemptResult result, Reason reason, Blackboard& board) {
    const RetryClass retry_class = ClassifyAttempt(result, reason);
    const bool repeatable = result == AttemptResult::kNotRun || request.traits.repeatable;
    if (retry_class == RetryClass::kNoRetry || request.response_started || !repeatable) {
      return false;
    }
    if (retry_class == RetryClass::kUnlimited) {
      return true;
    }
    if (++request.counted_attempts >= limits::kMaxAttempts) {
      return false;
    }
    const bool allowed = !HasWaitingRequest(board) || budget_.TryTake();
    ++(allowed ? board.counters.retries : board.counters.retries_denied);
    return allowed;
  }

  /// True if a request is waiting. Otherwise a retry displaces no other request and needs no
  /// budget.
  static bool HasWaitingRequest(const Blackboard& board) {
    return std::ranges::any_of(board.requests, [](const auto& item) {
      return item.second.phase == RequestPhase::kWaiting;
    });
  }

  static void Finish(RequestId id, Outcome outcome, Reason reason, Blackboard& board,
                     ActionList& actions) {
    board.Record({.kind = DecisionKind::kRequestFinished,
                  .request = id,
                  .customer = board.requests[id].traits.customer,
                  .member = board.requests[id].agent,
                  .reason = reason});
    board.requests.erase(id);
    actions.Add(FinishRequest{.id = id, .outcome = outcome, .reason = reason});
  }

  static void OnCallerDisconnected(const CallerDisconnected& disconnected, Blackboard& board,
                                   ActionList& actions) {
    const auto found = board.requests.find(disconnected.id);
    if (found == board.requests.end()) {
      return;
    }
    const OwnedRequest& request = found->second;
    if (request.agent.valid()) {
      const AttemptId attempt{.request = disconnected.id, .attempt = request.attempt};
      actions.Add(SendCancel{.agent = request.agent, .attempt = attempt});
    }
    board.Record({.kind = DecisionKind::kRequestFinished,
                  .request = disconnected.id,
                  .customer = request.traits.customer,
                  .reason = Reason::kCallerLeft});
    board.requests.erase(found);
  }

  void OnLinkDown(const LinkDown& down, Blackboard& board, ActionList& actions) {
    std::vector<RequestId> lost;
    for (const auto& [id, request] : board.requests) {
      if (request.agent == down.member) {
        lost.push_back(id);
      }
    }
    for (const RequestId id : lost) {
      EndAttempt(id, AttemptResult::kUnknown, Reason::kLinkLost, board, actions);
    }
  }

  RetryBudget budget_;
  Backoff backoff_;
};

}  // namespace

std::unique_ptr<Controller> MakeRetryController(const PolicyOptions& options) {
  return std::make_unique<RetryController>(options);
}

}  // namespace lagoonwind::policy
