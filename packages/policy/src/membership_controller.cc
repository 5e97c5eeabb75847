#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Maintains the member table from the host list, the links and the members' announcements. An
/// entry opens a link to every listed agent. The list may be delayed or wrong, so removal from it
/// does not close an open link.
class MembershipController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* listed = std::get_if<MembersListed>(&event)) {
      OnListed(*listed, board);
    } else if (const auto* up = std::get_if<LinkUp>(&event)) {
      OnLinkUp(*up, board, actions);
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      OnLinkDown(*down, board);
    } else if (const auto* leaving = std::get_if<MemberLeaving>(&event)) {
      OnLeaving(*leaving, board);
    } else if (std::holds_alternative<DrainRequested>(event)) {
      board.draining = true;
      actions.Add(SendLeaving{});
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    for (auto& [id, state] : board.members) {
      if (state.listed || state.linked) {
        state.last_seen = board.now;
      }
      if (NeedsLink(state, board)) {
        state.opening = true;
        actions.Add(OpenLink{.member = state.member});
      } else if (state.opening && IsExpired(state, board)) {
        actions.Add(CloseLink{.member = id});
      }
    }
    absl::erase_if(board.members, [&](const auto& item) { return IsExpired(item.second, board); });
  }

 private:
  static bool NeedsLink(const MemberState& state, const Blackboard& board) {
    return board.options.role == Role::kEntry && state.member.role == Role::kAgent &&
           state.listed && !state.member.leaving && !state.opening && !state.linked;
  }

  static bool IsExpired(const MemberState& state, const Blackboard& board) {
    return !state.listed && !state.linked &&
           board.now - state.last_seen >= limits::kMemberRetention;
  }

  /// Applies the host list. An empty list is ignored, since it indicates a failure of the platform.
  static void OnListed(const MembersListed& listed, Blackboard& board) {
    if (listed.members.empty()) {
      return;
    }
    for (auto& [id, state] : board.members) {
      state.listed = false;
    }
    for (const auto& member : listed.members) {
      if (member.id == board.self) {
        board.listed_leaving = member.leaving;
        continue;
      }
      MemberState& state = board.members[member.id];
      if (state.member.address != member.address) {
        state.opening = false;
      }
      state.member = member;
      state.member.leaving = member.leaving || state.announced_leaving;
      state.listed = true;
    }
  }

  static void OnLinkUp(const LinkUp& up, Blackboard& board, ActionList& actions) {
    MemberState& state = board.members[up.member.id];
    const std::string address = state.member.address;
    if (state.incarnation != up.incarnation) {
      state.announced_leaving = false;
    }
    state.member = up.member;
    state.member.leaving = state.announced_leaving;
    if (state.member.address.empty()) {
      state.member.address = address;
    }
    state.linked = true;
    state.ever_linked = true;
    state.incarnation = up.incarnation;
    board.Record({.kind = DecisionKind::kLinkUp, .member = up.member.id});
    if (board.draining) {
      actions.Add(SendLeaving{.member = up.member.id});
    }
  }

  static void OnLinkDown(const LinkDown& down, Blackboard& board) {
    const auto found = board.members.find(down.member);
    if (found == board.members.end() || !found->second.linked) {
      return;
    }
    found->second.linked = false;
    board.Record({.kind = DecisionKind::kLinkDown, .member = down.member});
  }

  static void OnLeaving(const MemberLeaving& leaving, Blackboard& board) {
    const auto found = board.members.find(leaving.member);
    if (found != board.members.end()) {
      found->second.announced_leaving = true;
      found->second.member.leaving = true;
    }
  }
};

}  // namespace

std::unique_ptr<Controller> MakeMembershipController() {
  return std::make_unique<MembershipController>();
}

}  // namespace lagoonwind::policy
