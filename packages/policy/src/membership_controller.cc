#include "controller.h"

namespace lagoonwind::policy {
namespace {

/// Follows the host list and the links. An entry opens a link to every listed agent.
class MembershipController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    if (const auto* listed = std::get_if<MembersListed>(&event)) {
      OnListed(*listed, board);
    } else if (const auto* up = std::get_if<LinkUp>(&event)) {
      OnLinkUp(*up, board);
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      OnLinkDown(*down, board);
    } else if (std::holds_alternative<DrainRequested>(event)) {
      board.draining = true;
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    if (board.init.role != Role::kEntry) {
      return;
    }
    for (auto& [id, state] : board.members) {
      if (WantsLink(state)) {
        state.opening = true;
        actions.Add(OpenLink{.member = state.member});
      } else if (state.opening && !state.listed && !state.linked) {
        state.opening = false;
        actions.Add(CloseLink{.member = id});
      }
    }
  }

 private:
  static bool WantsLink(const MemberState& state) {
    return state.member.role == Role::kAgent && state.listed && !state.member.leaving &&
           !state.opening && !state.linked;
  }

  static void OnListed(const MembersListed& listed, Blackboard& board) {
    for (auto& [id, state] : board.members) {
      state.listed = false;
    }
    for (const auto& member : listed.members) {
      if (member.id == board.self) {
        continue;
      }
      MemberState& state = board.members[member.id];
      if (state.member.address != member.address) {
        state.opening = false;
      }
      state.member = member;
      state.listed = true;
    }
    absl::erase_if(board.members, [](const auto& item) {
      const MemberState& state = item.second;
      return !state.listed && !state.linked && !state.opening;
    });
  }

  static void OnLinkUp(const LinkUp& up, Blackboard& board) {
    MemberState& state = board.members[up.member.id];
    const std::string address = state.member.address;
    state.member = up.member;
    if (state.member.address.empty()) {
      state.member.address = address;
    }
    state.linked = true;
    state.incarnation = up.incarnation;
    board.Record({.kind = DecisionKind::kLinkUp, .member = up.member.id});
  }

  static void OnLinkDown(const LinkDown& down, Blackboard& board) {
    const auto found = board.members.find(down.member);
    if (found == board.members.end() || !found->second.linked) {
      return;
    }
    found->second.linked = false;
    board.Record({.kind = DecisionKind::kLinkDown, .member = down.member});
  }
};

}  // namespace

std::unique_ptr<Controller> MakeMembershipController() {
  return std::make_unique<MembershipController>();
}

}  // namespace lagoonwind::policy
