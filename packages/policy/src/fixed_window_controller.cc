#include "controller.h"

namespace lagoonwind::policy {
namespace {

/// Follows the backend server under a stated window.
class FixedWindowController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    const auto* observed = std::get_if<BackendObserved>(&event);
    if (observed == nullptr) {
      return;
    }
    board.backend.window = board.init.fixed_window;
    board.backend.reachable = observed->reachable;
    board.backend.instance = observed->instance;
    board.backend.targets = observed->targets;
  }
};

}  // namespace

std::unique_ptr<Controller> MakeFixedWindowController() {
  return std::make_unique<FixedWindowController>();
}

}  // namespace lagoonwind::policy
