#include <algorithm>
#include <iterator>
#include <optional>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Reports the targets and free slots of this agent to the entries.
class ReportController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& /*board*/, ActionList& /*actions*/) override {
    if (std::holds_alternative<LinkUp>(event)) {
      last_report_.reset();
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    AgentReport report = MakeReport(board);
    if (last_report_ && !IsUrgent(report) &&
        (report == *last_report_ || board.now < next_report_)) {
      return;
    }
    next_report_ = board.now + limits::kAgentReportInterval;
    actions.Add(SendAgentReport{.report = report});
    last_report_ = std::move(report);
  }

 private:
  static AgentReport MakeReport(const Blackboard& board) {
    AgentReport report{.concurrency_limit = board.backend.concurrency_limit,
                       .draining = board.RefusesNewWork(),
                       .configuration_offset = board.configuration->offset};
    std::ranges::copy_if(board.backend.targets, std::back_inserter(report.targets),
                         [&](TargetId target) { return board.Serves(target); });
    const bool waiting = std::ranges::any_of(
        board.demand, [](const auto& item) { return item.second.count > item.second.granted; });
    report.free_slots = waiting ? 0 : board.FreeSlots();
    return report;
  }

  /// True if the report contains a change that entries must receive without delay.
  [[nodiscard]] bool IsUrgent(const AgentReport& report) const {
    return report.targets != last_report_->targets || report.draining != last_report_->draining ||
           (report.free_slots > 0) != (last_report_->free_slots > 0);
  }

  std::optional<AgentReport> last_report_;
  Time next_report_;
};

}  // namespace

std::unique_ptr<Controller> MakeReportController() { return std::make_unique<ReportController>(); }

}  // namespace lagoonwind::policy
