#pragma once

#include <array>
#include <vector>

#include "blackboard.h"

namespace lagoonwind::policy {

/// Assigns customers' ledgers to agents by rendezvous hashing over the known agents. Agents with
/// the same member list compute the same assignment. Not thread safe.
class LedgerOwnerMap {
 public:
  /// Recomputes the assignment. Must be called when the member list, a link or the set of suspects
  /// has changed.
  /// \param suspects  Unreachable agents; further agents are selected in addition to them.
  void Rebuild(const Blackboard& board, const absl::btree_map<MemberId, Time>& suspects);
  /// First reachable agent in the customer's order of preference; invalid if there is none.
  [[nodiscard]] MemberId OwnerOf(CustomerId customer, const Blackboard& board) const;
  /// Agents to which this agent needs a link, excluding itself; sorted.
  [[nodiscard]] const std::vector<MemberId>& required_peers() const { return required_peers_; }
  /// Number of known agents, including this one.
  [[nodiscard]] std::size_t agent_count() const { return agent_count_; }
  /// True if this agent is selected as a ledger owner.
  [[nodiscard]] bool is_owner() const { return is_owner_; }

 private:
  using Candidates = std::vector<MemberId>;
  static Candidates SelectCandidates(std::uint32_t shard, std::vector<MemberId> agents,
                                     const absl::btree_map<MemberId, Time>& suspects);

  std::array<Candidates, limits::kLedgerShards> candidates_;
  std::vector<MemberId> required_peers_;
  std::size_t agent_count_ = 1;
  bool is_owner_ = false;
};

}  // namespace lagoonwind::policy
