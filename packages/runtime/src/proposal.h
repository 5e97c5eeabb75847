#pragma once

#include <string>
#include <vector>

#include "configuration_store.h"
#include "lagoonwind/http.h"
#include "lagoonwind/platform.h"
#include "lagoonwind/rules_diff.h"
#include "lagoonwind/rules_history.h"

namespace lagoonwind::runtime {

/// Result of a proposal. Every process reaches the same verdict.
struct ProposalOutcome {
  Verdict verdict = Verdict::kUndecided;
  /// Offset of the record that the verdict refers to; the accepted one if there are several copies.
  std::int64_t offset = -1;
  /// Offset of the configuration in force: for a stale base or an undecided proposal the latest
  /// known one, otherwise the one after the record.
  std::int64_t in_force = kNoBase;
  /// For a stale base: how the configuration in force differs from the one proposed.
  std::vector<RuleChange> changes;
};

/// Appends a proposal and determines its verdict by searching the stream for its nonce. If the
/// result of an append is lost and the record is not found, the same proposal is appended again:
/// all copies have the same base, so at most one can be accepted.
/// \param view  State known before the append; the stream is read from its end on.
/// \return Unavailable if the verdict cannot be determined now; proposing again with the same nonce
///         determines it.
http::asio::awaitable<absl::StatusOr<ProposalOutcome>> Propose(platform::LogService& log,
                                                               ConfigurationView view,
                                                               RulesProposal proposal);

/// Replays the stream from its oldest record and returns the most recent verdicts, oldest first; a
/// bounded number of them.
http::asio::awaitable<absl::StatusOr<std::vector<EvaluatedRecord>>> ReadRulesHistory(
    platform::LogService& log);

}  // namespace lagoonwind::runtime
