#include "proposal.h"

#include <algorithm>
#include <ranges>

#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;

/// Number of times that a proposal is appended or searched for before Propose() gives up.
constexpr int kMaxTries = 5;
constexpr std::chrono::milliseconds kRetryInterval{300};

/// Replays the stream up to its end. Unavailable if the log does not respond.
asio::awaitable<absl::Status> ReplayToEnd(platform::LogService& log, RulesHistory& history) {
  for (;;) {
    const auto read = co_await log.Read(std::string(kRulesStream), history.next());
    if (!read.ok()) {
      co_return read.status();
    }
    history.SetFirstAvailable(read->first_offset);
    for (const auto& record : read->records) {
      history.Replay(record.offset, record.data);
    }
    if (read->records.empty() || history.next() >= read->next_offset) {
      co_return absl::OkStatus();
    }
  }
}

/// Returns the record that decides the proposal: an accepted copy, else the first copy.
const EvaluatedRecord* FindProposalRecord(const RulesHistory& history, const std::string& nonce) {
  const auto& evaluated = history.evaluated();
  const auto accepted = std::ranges::find_if(evaluated, [&](const EvaluatedRecord& record) {
    return record.nonce == nonce && record.verdict == Verdict::kAccepted;
  });
  const auto found = accepted != evaluated.end()
                         ? accepted
                         : std::ranges::find(evaluated, nonce, &EvaluatedRecord::nonce);
  return found == evaluated.end() ? nullptr : &*found;
}

ProposalOutcome OutcomeOf(const EvaluatedRecord& record, const RulesHistory& history,
                          const RulesProposal& proposal) {
  ProposalOutcome outcome{
      .verdict = record.verdict, .offset = record.offset, .in_force = record.in_force};
  if (record.verdict == Verdict::kStaleBase) {
    outcome.in_force = history.current()->offset;
    outcome.changes = DiffRules(ParseRules(proposal.text).configuration, *history.current());
  }
  return outcome;
}

}  // namespace

asio::awaitable<absl::StatusOr<ProposalOutcome>> Propose(platform::LogService& log,
                                                         ConfigurationView view,
                                                         RulesProposal proposal) {
  RulesHistory history;
  history.Adopt(view.configuration, view.applied_end);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  bool appended = false;
  absl::Status status = absl::OkStatus();
  for (int tries = 0; tries < kMaxTries; ++tries) {
    if (!appended) {
      std::vector<std::string> records{EncodeProposal(proposal)};
      const auto offset = co_await log.Append(std::string(kRulesStream), std::move(records));
      appended = offset.ok();
      status = offset.status();
    }
    const absl::Status caught_up = co_await ReplayToEnd(log, history);
    if (caught_up.ok()) {
      if (const EvaluatedRecord* record = FindProposalRecord(history, proposal.nonce)) {
        co_return OutcomeOf(*record, history, proposal);
      }
      if (appended && !history.gap_free()) {
        co_return ProposalOutcome{.in_force = history.current()->offset};
      }
    } else {
      status = caught_up;
    }
    timer.expires_after(kRetryInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return absl::UnavailableError(status.message());
}

asio::awaitable<absl::StatusOr<std::vector<EvaluatedRecord>>> ReadRulesHistory(
    platform::LogService& log) {
  RulesHistory history;
  absl::Status status = co_await ReplayToEnd(log, history);
  if (!status.ok()) {
    co_return status;
  }
  co_return history.evaluated();
}

}  // namespace lagoonwind::runtime
