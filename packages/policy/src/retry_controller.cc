#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Follows each attempt to its end and decides whether the request is tried again.
class RetryController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* queued = std::get_if<AttemptQueued>(&event)) {
      OnQueued(*queued, board);
    } else if (const auto* started = std::get_if<AttemptStarted>(&event)) {
      OnStarted(*started, board);
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      OnEnded(*ended, board, actions);
    } else if (const auto* began = std::get_if<AnswerBegan>(&event)) {
      if (const auto found = board.requests.find(began->id); found != board.requests.end()) {
        found->second.answer_began = true;
      }
    } else if (const auto* left = std::get_if<CallerLeft>(&event)) {
      OnCallerLeft(*left, board, actions);
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      OnLinkDown(*down, board, actions);
    }
  }

 private:
  static OwnedRequest* FindCurrent(Blackboard& board, MemberId agent, AttemptId attempt) {
    const auto found = board.requests.find(attempt.request);
    if (found == board.requests.end() || found->second.attempt != attempt.attempt ||
        found->second.agent != agent || found->second.phase == RequestPhase::kWaiting) {
      return nullptr;
    }
    return &found->second;
  }

  static void OnQueued(const AttemptQueued& queued, Blackboard& board) {
    OwnedRequest* request = FindCurrent(board, queued.agent, queued.attempt);
    if (request == nullptr || request->phase != RequestPhase::kOffered) {
      return;
    }
    request->phase = RequestPhase::kWaiting;
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
    request->phase = RequestPhase::kRunning;
    board.Record({.kind = DecisionKind::kRequestStarted,
                  .request = started.attempt.request,
                  .customer = request->traits.customer,
                  .member = started.agent});
  }

  static void OnEnded(const AttemptEnded& ended, Blackboard& board, ActionList& actions) {
    if (FindCurrent(board, ended.agent, ended.attempt) != nullptr) {
      EndAttempt(ended.attempt.request, ended.result, ended.reason, board, actions);
    }
  }

  static void EndAttempt(RequestId id, AttemptResult result, Reason reason, Blackboard& board,
                         ActionList& actions) {
    OwnedRequest& request = board.requests[id];
    if (result == AttemptResult::kComplete) {
      Finish(id, Outcome::kComplete, Reason::kNone, board, actions);
      return;
    }
    if (result == AttemptResult::kUnknown) {
      ++request.started_attempts;
    }
    if (MayRetry(request, result, reason)) {
      request.phase = RequestPhase::kWaiting;
      request.agent = MemberId{};
      board.Record({.kind = DecisionKind::kRequestRetried,
                    .request = id,
                    .customer = request.traits.customer,
                    .reason = reason});
      return;
    }
    const bool ran = request.started_attempts > 0;
    Finish(id, ran ? Outcome::kUnknown : Outcome::kNotRun, reason, board, actions);
  }

  /// An attempt that provably never ran may always be tried again; one that may have run only if
  /// the call is repeatable and the caller has seen nothing of an answer.
  static bool MayRetry(const OwnedRequest& request, AttemptResult result, Reason reason) {
    if (IsFinal(reason) || request.attempt >= limits::kMaxAttempts || request.answer_began) {
      return false;
    }
    return result == AttemptResult::kNotRun || request.traits.repeatable;
  }

  /// True if no other agent can say anything else.
  static bool IsFinal(Reason reason) {
    return reason == Reason::kLogUnavailable || reason == Reason::kKeyConflict ||
           reason == Reason::kKeyRunning || reason == Reason::kKeyExpired;
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

  static void OnCallerLeft(const CallerLeft& left, Blackboard& board, ActionList& actions) {
    const auto found = board.requests.find(left.id);
    if (found == board.requests.end()) {
      return;
    }
    const OwnedRequest& request = found->second;
    if (request.phase != RequestPhase::kWaiting) {
      const AttemptId attempt{.request = left.id, .attempt = request.attempt};
      actions.Add(SendCancel{.agent = request.agent, .attempt = attempt});
    }
    board.Record({.kind = DecisionKind::kRequestFinished,
                  .request = left.id,
                  .customer = request.traits.customer,
                  .reason = Reason::kCallerLeft});
    board.requests.erase(found);
  }

  static void OnLinkDown(const LinkDown& down, Blackboard& board, ActionList& actions) {
    std::vector<RequestId> lost;
    for (const auto& [id, request] : board.requests) {
      if (request.phase != RequestPhase::kWaiting && request.agent == down.member) {
        lost.push_back(id);
      }
    }
    for (const RequestId id : lost) {
      EndAttempt(id, AttemptResult::kUnknown, Reason::kLinkLost, board, actions);
    }
  }
};

}  // namespace

std::unique_ptr<Controller> MakeRetryController() { return std::make_unique<RetryController>(); }

}  // namespace lagoonwind::policy
