#pragma once

#include <string>
#include <vector>

#include "configuration_store.h"
#include "lagoonwind/http.h"
#include "lagoonwind/platform.h"
#include "lagoonwind/rules_diff.h"
#include "lagoonwind/rules_history.h"

namespace lagoonwind::runtime {

/// What became of a proposal. A verdict is the same in every process.
struct ProposalOutcome {
  Verdict verdict = Verdict::kUndecided;
  /// Offset of the record that the verdict is about; the accepted one if there are several.
  std::int64_t offset = -1;
  /// Offset of the configuration in force after it.
  std::int64_t in_force = kNoBase;
  /// For a stale base: how the configuration in force differs from the one proposed.
  std::vector<RuleChange> changes;
};

/// Appends a proposal and settles its verdict by reading the stream for its nonce. If an append's
/// answer is lost and the record isn't found, the same proposal is appended again: copies share
/// their base, so at most one can be accepted.
/// \param view  Known before the append; the stream is read from there on.
/// \return Unavailable if the verdict can't be known now; proposing again with the same nonce
///         settles it.
http::asio::awaitable<absl::StatusOr<ProposalOutcome>> Propose(platform::LogService& log,
                                                               ConfigurationView view,
                                                               RulesProposal proposal);

/// Replays the stream from its oldest record and gives the verdicts, oldest first; a bounded number
/// of them.
http::asio::awaitable<absl::StatusOr<std::vector<EvaluatedRecord>>> ReadRulesHistory(
    platform::LogService& log);

}  // namespace lagoonwind::runtime
