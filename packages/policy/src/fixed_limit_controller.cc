#include "controller.h"

namespace lagoonwind::policy {
namespace {

/// Tracks the state of a backend server whose concurrency limit is configured.
class FixedLimitController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    const auto* observed = std::get_if<BackendObserved>(&event);
    if (observed == nullptr) {
      return;
    }
    board.backend.concurrency_limit = board.options.fixed_concurrency_limit;
    board.backend.reachable = observed->reachable;
    board.backend.incarnation = observed->incarnation;
    board.backend.targets = observed->targets;
  }
};

}  // namespace

std::unique_ptr<Controller> MakeFixedLimitController() {
  return std::make_unique<FixedLimitController>();
}

}  // namespace lagoonwind::policy
