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
  [[nodiscard]] const std::vector<MemberId>& required_peers() const { return wanted_; }
  /// Number of known agents, including this one.
  [[nodiscard]] std::size_t agents() const { return agents_; }
  /// True if this agent is selected as a ledger owner.
  [[nodiscard]] bool is_owner() const { return self_keeps_; }

 private:
  using Choices = std::vector<MemberId>;
  static Choices Choose(std::uint32_t part, std::vector<MemberId> agents,
                        const absl::btree_map<MemberId, Time>& suspects);

  std::array<Choices, limits::kLedgerShards> parts_;
  std::vector<MemberId> wanted_;
  std::size_t agents_ = 1;
  bool self_keeps_ = false;
};

}  // namespace lagoonwind::policy
