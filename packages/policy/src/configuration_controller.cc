#include "controller.h"

namespace lagoonwind::policy {
namespace {

/// Keeps the newest accepted configuration; a version never goes back.
class ConfigurationController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    const auto* accepted = std::get_if<ConfigurationAccepted>(&event);
    if (accepted == nullptr || accepted->configuration->offset <= board.configuration->offset) {
      return;
    }
    board.configuration = accepted->configuration;
    board.Record({.kind = DecisionKind::kConfigurationAccepted,
                  .value = static_cast<double>(accepted->configuration->offset)});
  }
};

}  // namespace

std::unique_ptr<Controller> MakeConfigurationController() {
  return std::make_unique<ConfigurationController>();
}

}  // namespace lagoonwind::policy
