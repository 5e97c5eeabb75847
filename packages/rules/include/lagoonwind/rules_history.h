#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lagoonwind/rules.h"

/// \file
/// Replay of the platform's stream of rules: every process reaches the same verdicts.
///
/// The stream holds proposals and snapshots. A proposal is accepted if its base is the offset of
/// the configuration in force where the proposal stands, and its text is valid. A snapshot says
/// which configuration was in force before a given offset; it changes nothing, but a process that
/// finds the stream's oldest records gone starts from it. Such a process leaves proposals undecided
/// until it meets a snapshot that covers every record dropped.
namespace lagoonwind {

/// Stream of the platform's log that carries the rules.
inline constexpr std::string_view kRulesStream = "rules";
/// Base of the first proposal on an empty stream.
inline constexpr std::int64_t kNoBase = -1;
/// Base of a proposal that is accepted whatever is in force. Recovers a fleet whose stream has lost
/// every snapshot; it overrides racing proposals.
inline constexpr std::int64_t kAnyBase = -2;

/// A proposal of new rules, as a record of the log carries it.
struct RulesProposal {
  /// Offset of the configuration that the text was written against, kNoBase or kAnyBase.
  std::int64_t base = kNoBase;
  /// Chosen by the proposer, to find its own record again.
  std::string nonce;
  std::string text;
};

/// The configuration in force before an offset, as a record of the log carries it.
struct RulesSnapshot {
  /// Offset of the proposal that was accepted last before `through`.
  std::int64_t offset = kNoBase;
  /// Every record before this offset is accounted for.
  std::int64_t applied_end = 0;
  std::string text;
};

/// Encodes a log record. Thread safe.
std::string EncodeProposal(const RulesProposal& proposal);
std::string EncodeSnapshot(const RulesSnapshot& snapshot);
/// Decodes a log record. Invalid argument if it is neither. Thread safe.
absl::StatusOr<std::variant<RulesProposal, RulesSnapshot>> DecodeRulesRecord(
    std::string_view record);
/// Decodes a proposal. Invalid argument if the record is none. Thread safe.
absl::StatusOr<RulesProposal> DecodeProposal(std::string_view record);

enum class Verdict {
  kAccepted,
  kStaleBase,
  kInvalidRules,
  kMalformed,
  kSnapshot,
  /// Records before this one are missing; a later snapshot may decide it.
  kUndecided,
};

/// Field name of a verdict in replies and logs. Thread safe.
std::string_view Name(Verdict verdict);

/// A record that was judged.
struct EvaluatedRecord {
  std::int64_t offset = 0;
  Verdict verdict = Verdict::kMalformed;
  std::int64_t base = kNoBase;
  std::string nonce;
  /// Offset of the configuration in force after the record.
  std::int64_t in_force = kNoBase;
};

/// Replays the stream in the order of the log. Not thread safe.
class RulesHistory {
 public:
  /// Takes in where the stream begins. If records that weren't replayed are gone, proposals stay
  /// undecided until a snapshot covers the gap; current() stays as it is.
  void SetFirstAvailable(std::int64_t first_offset);

  /// Judges the record at `offset`, which must not be smaller than next().
  Verdict Replay(std::int64_t offset, std::string_view record);

  /// Takes a configuration over from another process.
  /// \param configuration  Parsed from valid rules; its offset is the accepted proposal's.
  /// \param through        Every record before this offset is accounted for.
  /// \return False if it is older than what is known here, or contradicts it.
  bool Adopt(const std::shared_ptr<const Configuration>& configuration, std::int64_t applied_end);

  /// The last accepted configuration; has offset -1 before any. Its offset never decreases.
  [[nodiscard]] const std::shared_ptr<const Configuration>& current() const { return current_; }
  /// Offset of the record to replay next.
  [[nodiscard]] std::int64_t next() const { return next_; }
  /// True if every record before next() is accounted for.
  [[nodiscard]] bool gap_free() const { return gap_free_; }
  /// Largest offset before which every record is accounted for.
  [[nodiscard]] std::int64_t applied_end() const { return applied_end_; }
  /// Offset of the newest usable snapshot replayed; -1 before any.
  [[nodiscard]] std::int64_t last_snapshot() const { return last_snapshot_; }
  /// The records judged last, oldest first; a bounded number of them.
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
  /// First offset after the gap; only while undecided.
  std::int64_t gap_end_ = 0;
  std::vector<PendingProposal> pending_;
  std::int64_t last_snapshot_ = -1;
  std::vector<EvaluatedRecord> evaluated_;
};

}  // namespace lagoonwind
