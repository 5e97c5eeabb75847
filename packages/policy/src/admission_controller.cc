#include <algorithm>

#include "controller.h"

namespace lagoonwind::policy {
namespace {

/// Starts, queues or refuses offered attempts and tracks running ones until they end.
class AdmissionController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* offer = std::get_if<OfferReceived>(&event)) {
      OnOffer(*offer, board, actions);
    } else if (const auto* cancel = std::get_if<CancelReceived>(&event)) {
      if (board.running.contains(cancel->attempt)) {
        actions.Add(CancelAttempt{.attempt = cancel->attempt});
      }
    } else if (const auto* response = std::get_if<BackendResponseStarted>(&event)) {
      if (const auto found = board.running.find(response->attempt); found != board.running.end()) {
        found->second.response_started = true;
      }
    } else if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      OnFinished(*finished, board);
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      OnLinkDown(*down, board, actions);
    }
  }

 private:
  static void OnOffer(const OfferReceived& offer, Blackboard& board, ActionList& actions) {
    if (!board.offer_history.Add(offer.attempt)) {
      return;
    }
    const bool granted = UseGrant(offer, board);
    if (board.resolved_offers.contains(offer.attempt)) {
      return;
    }
    if (!board.Serves(offer.traits.target)) {
      Refuse(offer, Reason::kNotServed, board, actions);
    } else if (board.RefusesNewWork()) {
      Refuse(offer, board.RefusalReason(), board, actions);
    } else if (board.Quarantined(offer.traits.digest)) {
      Refuse(offer, Reason::kQuarantined, board, actions);
    } else if (board.MustDefer(offer.traits.digest)) {
      Refuse(offer, Reason::kNoRoom, board, actions);
    } else if (board.FreeSlots() > 0 && (granted || !HasWaitingDemand(board))) {
      Start(offer, board, actions);
    } else {
      Queue(offer, board, actions);
    }
  }

  /// Releases the slot reserved by the offer's grant, so that the offer can use it.
  /// \return False if there is no grant or it has expired.
  static bool UseGrant(const OfferReceived& offer, Blackboard& board) {
    const auto grant = board.grants.find(offer.grant);
    if (grant == board.grants.end()) {
      return false;
    }
    const auto demand = board.demand.find(grant->second.demand);
    if (demand != board.demand.end()) {
      demand->second.granted -= std::min(demand->second.granted, 1U);
      demand->second.count -= std::min(demand->second.count, 1U);
    }
    board.grants.erase(grant);
    return true;
  }

  static bool HasWaitingDemand(const Blackboard& board) {
    return std::ranges::any_of(board.demand, [&](const auto& item) {
      return item.second.count > item.second.granted && board.Serves(item.first.target);
    });
  }

  static void Start(const OfferReceived& offer, Blackboard& board, ActionList& actions) {
    const bool needs_claim = NeedsClaim(offer.traits);
    board.running[offer.attempt] = RunningAttempt{.entry = offer.entry,
                                                  .traits = offer.traits,
                                                  .started = board.now,
                                                  .awaits_claim = needs_claim};
    if (!needs_claim) {
      actions.Add(StartAttempt{.entry = offer.entry, .attempt = offer.attempt});
    }
    Record(DecisionKind::kAttemptAdmitted, offer, Reason::kNone, board);
  }

  static void Queue(const OfferReceived& offer, Blackboard& board, ActionList& actions) {
    actions.Add(QueueAttempt{.entry = offer.entry, .attempt = offer.attempt});
    Record(DecisionKind::kAttemptQueued, offer, Reason::kNoRoom, board);
  }

  static void Refuse(const OfferReceived& offer, Reason reason, Blackboard& board,
                     ActionList& actions) {
    actions.Add(RefuseAttempt{.entry = offer.entry, .attempt = offer.attempt, .reason = reason});
    Record(DecisionKind::kAttemptRefused, offer, reason, board);
  }

  static void Record(DecisionKind kind, const OfferReceived& offer, Reason reason,
                     Blackboard& board) {
    board.Record({.kind = kind,
                  .request = offer.attempt.request,
                  .customer = offer.traits.customer,
                  .member = offer.entry,
                  .reason = reason});
  }

  static void OnFinished(const AttemptFinished& finished, Blackboard& board) {
    const auto found = board.running.find(finished.attempt);
    if (found == board.running.end()) {
      return;
    }
    board.Record({.kind = DecisionKind::kAttemptFinished,
                  .request = finished.attempt.request,
                  .customer = found->second.traits.customer,
                  .member = found->second.entry,
                  .reason = finished.reason,
                  .value = found->second.service});
    board.running.erase(found);
  }

  /// Cancels repeatable attempts of the lost entry: their responses can no longer reach the caller.
  static void OnLinkDown(const LinkDown& down, Blackboard& board, ActionList& actions) {
    for (const auto& [id, attempt] : board.running) {
      if (attempt.entry == down.member && attempt.traits.repeatable) {
        actions.Add(CancelAttempt{.attempt = id});
      }
    }
  }
};

}  // namespace

std::unique_ptr<Controller> MakeAdmissionController() {
  return std::make_unique<AdmissionController>();
}

}  // namespace lagoonwind::policy
