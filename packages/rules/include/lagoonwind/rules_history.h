#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lagoonwind/rules.h"

/// \file
/// Replay of the rules stream in the platform's log. Verdicts depend on the stream only, so every
/// process reaches the same verdicts and the same configuration in force.
///
/// The stream contains proposals and snapshots. A proposal is accepted if its text is valid and its
/// base is the offset of the configuration in force at the proposal's position in the stream. A
/// snapshot states which configuration was in force before a given offset and does not change it. A
/// process that finds the oldest records of the stream deleted starts from a snapshot: it leaves
/// proposals undecided until it reads a snapshot that covers every deleted record.
namespace lagoonwind {

/// Name of the rules stream in the platform's log.
inline constexpr std::string_view kRulesStream = "rules";
/// Base of the first proposal on an empty stream.
inline constexpr std::int64_t kNoBase = -1;
/// Base of a proposal that is accepted regardless of the configuration in force. Recovers a fleet
/// whose stream has lost every snapshot; overrides concurrent proposals.
inline constexpr std::int64_t kAnyBase = -2;

/// Proposed rules, as stored in a log record.
struct RulesProposal {
  /// Offset of the configuration that the text is based on, kNoBase or kAnyBase.
  std::int64_t base = kNoBase;
  /// Chosen by the proposer to identify its own record in the stream.
  std::string nonce;
  std::string text;
};

/// The configuration in force before an offset, as stored in a log record.
struct RulesSnapshot {
  /// Offset of the last proposal accepted before `applied_end`.
  std::int64_t offset = kNoBase;
  /// Exclusive end of the records that the snapshot covers.
  std::int64_t applied_end = 0;
  std::string text;
};

/// Encodes a log record as JSON. Thread safe.
std::string EncodeProposal(const RulesProposal& proposal);
std::string EncodeSnapshot(const RulesSnapshot& snapshot);
/// Decodes a log record. Invalid argument if it is neither a proposal nor a snapshot. Thread safe.
absl::StatusOr<std::variant<RulesProposal, RulesSnapshot>> DecodeRulesRecord(
    std::string_view record);
/// Decodes a proposal. Invalid argument if the record is not a proposal. Thread safe.
absl::StatusOr<RulesProposal> DecodeProposal(std::string_view record);

/// Result of evaluating a log record.
enum class Verdict {
  kAccepted,
  kStaleBase,
  kInvalidRules,
  kMalformed,
  kSnapshot,
  /// Earlier records are missing; a later snapshot may decide the proposal.
  kUndecided,
};

/// Returns the name of a verdict as used in responses and logs. Thread safe.
std::string_view Name(Verdict verdict);

/// A record of the stream with its verdict.
struct EvaluatedRecord {
  std::int64_t offset = 0;
  Verdict verdict = Verdict::kMalformed;
  std::int64_t base = kNoBase;
  std::string nonce;
  /// Offset of the configuration in force after the record.
  std::int64_t in_force = kNoBase;
};

/// Replays the rules stream in log order. Not thread safe.
class RulesHistory {
 public:
  /// Sets the offset of the oldest record in the stream. If records were deleted before they were
  /// replayed, proposals stay undecided until a snapshot covers the gap; current() does not change.
  void SetFirstAvailable(std::int64_t first_offset);

  /// Evaluates the record at `offset`, which must be at least next().
  Verdict Replay(std::int64_t offset, std::string_view record);

  /// Takes over a configuration received from another process.
  /// \param configuration  Parsed from valid rules; its offset is that of the accepted proposal.
  /// \param applied_end  Exclusive end of the records that the configuration accounts for.
  /// \return False, without effect, if the local state is at least as new or if the two offsets are
  ///         inconsistent.
  bool Adopt(const std::shared_ptr<const Configuration>& configuration, std::int64_t applied_end);

  /// The last accepted configuration, with offset -1 if there is none. Its offset never decreases.
  [[nodiscard]] const std::shared_ptr<const Configuration>& current() const { return current_; }
  /// Offset of the next record to replay.
  [[nodiscard]] std::int64_t next() const { return next_; }
  /// True if every record before next() is accounted for, by replay or by a snapshot.
  [[nodiscard]] bool gap_free() const { return gap_free_; }
  /// Exclusive end of the records that are accounted for without a gap.
  [[nodiscard]] std::int64_t applied_end() const { return applied_end_; }
  /// Offset of the newest usable snapshot replayed; -1 if there is none.
  [[nodiscard]] std::int64_t last_snapshot() const { return last_snapshot_; }
  /// The most recently evaluated records, oldest first; a bounded number of them.
  [[nodiscard]] const std::vector<EvaluatedRecord>& evaluated() const { return evaluated_; }

 private:
  struct PendingProposal {
    std::int64_t offset = 0;
    RulesProposal proposal;
  };

  Verdict EvaluateProposal(std::int64_t offset, const RulesProposal& proposal);
  Verdict ApplySnapshot(std::int64_t offset, const RulesSnapshot& snapshot);
  void EvaluatePending(std::int64_t applied_end);
  void AppendEvaluated(EvaluatedRecord record);

  std::shared_ptr<const Configuration> current_ = std::make_shared<Configuration>();
  std::int64_t next_ = 0;
  std::int64_t applied_end_ = 0;
  bool gap_free_ = true;
  /// First offset after the gap; meaningful only while gap_free_ is false.
  std::int64_t gap_end_ = 0;
  std::vector<PendingProposal> pending_;
  std::int64_t last_snapshot_ = -1;
  std::vector<EvaluatedRecord> evaluated_;
};

}  // namespace lagoonwind
