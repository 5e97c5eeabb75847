#pragma once

#include <array>
#include <vector>

#include "blackboard.h"

namespace lagoonwind::policy {

/// Which agents keep the ledger of which customers: rendezvous hashing over the listed agents, the
/// same at every agent that sees the same list. Not thread safe.
class LedgerOwnerMap {
 public:
  /// Orders the agents anew. Call when the list, a link or the set of suspects has changed.
  /// \param suspects  Agents that can't be reached; others are chosen besides them.
  void Rebuild(const Blackboard& board, const absl::btree_map<MemberId, Time>& suspects);
  /// The first reachable agent in the customer's order; invalid if none is.
  [[nodiscard]] MemberId OwnerOf(CustomerId customer, const Blackboard& board) const;
  /// Agents that this one must reach, itself left out; sorted.
  [[nodiscard]] const std::vector<MemberId>& required_peers() const { return wanted_; }
  /// Number of agents known, this one included.
  [[nodiscard]] std::size_t agents() const { return agents_; }
  /// True if other agents reach this one as a keeper.
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
