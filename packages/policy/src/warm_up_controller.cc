#include "controller.h"

namespace lagoonwind::policy {
namespace {

/// Admits one request at a time, whatever the backend server may bear.
class WarmUpController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    const auto* observed = std::get_if<BackendObserved>(&event);
    if (observed == nullptr) {
      return;
    }
    BackendState& backend = board.backend;
    if (observed->reachable && observed->instance != backend.instance) {
      backend.window = 1;
      backend.instance = observed->instance;
      board.Record({.kind = DecisionKind::kBackendRestarted, .value = 1});
    }
    backend.reachable = observed->reachable;
    if (observed->reachable) {
      backend.targets = observed->targets;
    }
  }
};

}  // namespace

std::unique_ptr<Controller> MakeWarmUpController() { return std::make_unique<WarmUpController>(); }

}  // namespace lagoonwind::policy
