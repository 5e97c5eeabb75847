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
  agent_count_ = agents.size();
  required_peers_.clear();
  for (std::uint32_t shard = 0; shard < limits::kLedgerShards; ++shard) {
    candidates_[shard] = SelectCandidates(shard, agents, suspects);
    required_peers_.insert(required_peers_.end(), candidates_[shard].begin(),
                           candidates_[shard].end());
  }
  std::ranges::sort(required_peers_);
  required_peers_.erase(std::unique(required_peers_.begin(), required_peers_.end()),
                        required_peers_.end());
  is_owner_ = std::erase(required_peers_, board.self) > 0;
}

LedgerOwnerMap::Candidates LedgerOwnerMap::SelectCandidates(
    std::uint32_t shard, std::vector<MemberId> agents,
    const absl::btree_map<MemberId, Time>& suspects) {
  const auto score = [shard](MemberId id) { return CombineHashes(id.value, shard + 1); };
  std::ranges::sort(agents, std::ranges::greater{}, score);
  Candidates candidates;
  std::size_t reachable = 0;
  for (const MemberId id : agents) {
    candidates.push_back(id);
    reachable += suspects.contains(id) ? 0 : 1;
    if (reachable == limits::kLedgerCandidates) {
      break;
    }
  }
  return candidates;
}

MemberId LedgerOwnerMap::OwnerOf(CustomerId customer, const Blackboard& board) const {
  const Candidates& candidates = candidates_[customer.value % limits::kLedgerShards];
  const auto found = std::ranges::find_if(
      candidates, [&](MemberId id) { return id == board.self || board.Linked(id); });
  return found == candidates.end() ? MemberId{} : *found;
}

}  // namespace lagoonwind::policy
