#include <algorithm>
#include <utility>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Refuses new work while this process cannot know whether its availability zone is still in
/// service: while it is cut off from the log and from every other zone, and for a recovery time
/// after that or after a pause of the process. An outage of the log alone does not stop new work,
/// because links to other zones remain.
class ZoneController final : public Controller {
 public:
  void OnEvent(const Event& /*event*/, Blackboard& board, ActionList& /*actions*/) override {
    DetectPause(board);
  }

  void Update(Blackboard& board, ActionList& /*actions*/) override {
    DetectPause(board);
    const bool was_cut_off = std::exchange(board.cut_off, IsIsolated(board));
    if (was_cut_off && !board.cut_off && LogReadOverdue(board)) {
      board.paused_until = board.now + limits::kPauseRecovery;
    }
  }

 private:
  void DetectPause(Blackboard& board) {
    if (board.log.read_known && board.now - last_step_ > limits::kPauseThreshold) {
      board.paused_until = board.now + limits::kPauseRecovery;
    }
    last_step_ = board.now;
  }

  static bool LogReadOverdue(const Blackboard& board) {
    return board.log.read_known && board.now - board.log.last_read >= limits::kCutOffTimeout;
  }

  static bool IsIsolated(const Blackboard& board) {
    if (!LogReadOverdue(board)) {
      return false;
    }
    const auto in_other_zone = [&](const auto& item) {
      const MemberState& state = item.second;
      return state.ever_linked && state.member.zone != board.zone;
    };
    const auto linked = [&](const auto& item) { return in_other_zone(item) && item.second.linked; };
    return std::ranges::any_of(board.members, in_other_zone) &&
           std::ranges::none_of(board.members, linked);
  }

  Time last_step_;
};

}  // namespace

std::unique_ptr<Controller> MakeZoneController() { return std::make_unique<ZoneController>(); }

}  // namespace lagoonwind::policy
