#include "ledger_owner_map.h"

#include <algorithm>

namespace lagoonwind::policy {

void LedgerOwnerMap::Rebuild(const Blackboard& board,
                             const absl::btree_map<MemberId, Time>& suspects) {
  std::vector<MemberId> agents{board.self};
  for (const auto& [id, state] : board.members) {
    const bool known = state.listed || state.linked;
    if (known && state.member.role == Role::kAgent && !state.member.leaving) {
      agents.push_back(id);
    }
  }
  agents_ = agents.size();
  wanted_.clear();
  for (std::uint32_t part = 0; part < limits::kLedgerShards; ++part) {
    parts_[part] = Choose(part, agents, suspects);
    wanted_.insert(wanted_.end(), parts_[part].begin(), parts_[part].end());
  }
  std::ranges::sort(wanted_);
  wanted_.erase(std::unique(wanted_.begin(), wanted_.end()), wanted_.end());
  self_keeps_ = std::erase(wanted_, board.self) > 0;
}

LedgerOwnerMap::Choices LedgerOwnerMap::Choose(std::uint32_t part, std::vector<MemberId> agents,
                                               const absl::btree_map<MemberId, Time>& suspects) {
  const auto score = [part](MemberId id) { return CombineHashes(id.value, part + 1); };
  std::ranges::sort(agents, std::ranges::greater{}, score);
  Choices choices;
  std::size_t reachable = 0;
  for (const MemberId id : agents) {
    choices.push_back(id);
    reachable += suspects.contains(id) ? 0 : 1;
    if (reachable == limits::kLedgerCandidates) {
      break;
    }
  }
  return choices;
}

MemberId LedgerOwnerMap::OwnerOf(CustomerId customer, const Blackboard& board) const {
  const Choices& choices = parts_[customer.value % limits::kLedgerShards];
  const auto found = std::ranges::find_if(
      choices, [&](MemberId id) { return id == board.self || board.Linked(id); });
  return found == choices.end() ? MemberId{} : *found;
}

}  // namespace lagoonwind::policy
