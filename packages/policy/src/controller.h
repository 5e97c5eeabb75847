#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "blackboard.h"
#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// Collects the actions of one step, in order. Not thread safe.
class ActionList {
 public:
  template <class ActionType>
  void Add(ActionType action) {
    actions_.emplace_back(std::move(action));
  }
  std::vector<Action> Take() { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
};

/// One aspect of the decision logic. Controllers communicate only through the blackboard.
/// Not thread safe: the policy calls its controllers one at a time, in a fixed order.
class Controller {
 public:
  virtual ~Controller() = default;
  /// Processes one event. Every controller receives every event.
  virtual void OnEvent(const Event& event, Blackboard& board, ActionList& actions);
  /// Called once per step, after all of its events.
  virtual void Update(Blackboard& board, ActionList& actions);
};

// Both roles.
std::unique_ptr<Controller> MakeConfigurationController();
std::unique_ptr<Controller> MakeMembershipController();
std::unique_ptr<Controller> MakeLogReaderController();
std::unique_ptr<Controller> MakeConfigurationGossipController();
std::unique_ptr<Controller> MakeZoneController();
std::unique_ptr<Controller> MakeQuarantineController();
// Entry.
std::unique_ptr<Controller> MakeRetryController(const PolicyOptions& options);
std::unique_ptr<Controller> MakeRoutingController();
// Agent.
std::unique_ptr<Controller> MakeAdaptiveLimitController();
std::unique_ptr<Controller> MakeFixedLimitController();
std::unique_ptr<Controller> MakeFairShareController();
std::unique_ptr<Controller> MakeClaimsController();
std::unique_ptr<Controller> MakeLedgerController();
std::unique_ptr<Controller> MakeAdmissionController();
std::unique_ptr<Controller> MakeReportController();

}  // namespace lagoonwind::policy
