#include <algorithm>
#include <limits>
#include <utility>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Salt that makes the selection of readers independent of other uses of rendezvous hashing.
constexpr std::uint64_t kReaderSalt = 0x726561646572;
/// Read offset that returns no records, only the first and next offset of the stream.
constexpr std::int64_t kEndOfStream = std::numeric_limits<std::int64_t>::max();

/// Decides whether this process reads the rules stream, when it reads, and when it appends a
/// snapshot. The readers are the first limits::kLogReaderCount members by rendezvous hashing; while
/// no recent complete read is known, the number of readers doubles at intervals.
class LogReaderController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    if (const auto* read = std::get_if<RulesRead>(&event)) {
      OnRead(*read, board);
      SkipOldRecords(*read, board);
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    if (!started_) {
      started_ = true;
      start_time_ = board.now;
      last_snapshot_time_ = board.now;
    }
    const std::uint32_t rank = ReaderRank(board);
    const bool should_read = ShouldRead(rank, board);
    if (should_read && !board.log.is_reader) {
      last_snapshot_time_ = std::max(last_snapshot_time_, board.now);
    }
    board.log.is_reader = should_read;
    if (!should_read) {
      return;
    }
    const bool read_settled =
        !read_pending_ || board.now > board.log.read_started + 2 * limits::kPlatformTimeout;
    if (read_settled && board.now >= next_read_) {
      read_pending_ = true;
      board.log.read_started = board.now;
      actions.Add(ReadRules{.from = NextReadOffset(board)});
    }
    if (SnapshotDue(rank, board)) {
      last_snapshot_time_ = board.now;
      actions.Add(AppendRules{.record = EncodeSnapshot({.offset = board.configuration->offset,
                                                        .applied_end = board.rules.applied_end(),
                                                        .text = board.configuration->text})});
    }
  }

 private:
  void OnRead(const RulesRead& read, const Blackboard& board) {
    read_pending_ = false;
    if (!read.ok) {
      retry_delay_ = std::min<Duration>(2 * retry_delay_, limits::kMaxLogRetryDelay);
      next_read_ = board.now + retry_delay_;
      return;
    }
    retry_delay_ = limits::kConfigurationPollInterval;
    const bool complete = board.rules.next() >= read.next_offset;
    next_read_ = complete ? board.now + retry_delay_ : board.now;
    first_offset_ = read.first_offset;
    next_offset_ = read.next_offset;
    if (board.rules.last_snapshot() > last_snapshot_) {
      last_snapshot_ = board.rules.last_snapshot();
      last_snapshot_time_ = board.now;
    }
  }

  [[nodiscard]] std::int64_t NextReadOffset(const Blackboard& board) const {
    return end_known_ || board.rules.next() > 0 ? std::max(board.rules.next(), skip_to_)
                                                : kEndOfStream;
  }

  /// Lets a new process start from a snapshot among the newest records and read the whole stream
  /// only if there is none.
  void SkipOldRecords(const RulesRead& read, Blackboard& board) {
    if (!read.ok) {
      return;
    }
    const bool first_read = !std::exchange(end_known_, true);
    if (first_read && board.configuration->offset < 0) {
      skip_to_ = read.next_offset - limits::kSnapshotSearchRecords;
    }
    const bool no_snapshot_found = !board.rules.gap_free() && skip_to_ > read.first_offset &&
                                   !first_read && board.rules.next() >= read.next_offset;
    if (no_snapshot_found && board.configuration->offset < 0) {
      skip_to_ = 0;
      board.rules = RulesHistory();
      next_read_ = board.now;
    }
  }

  static std::uint64_t Score(MemberId member) { return CombineHashes(member.value, kReaderSalt); }

  /// Number of live members that precede this one in the order of readers.
  static std::uint32_t ReaderRank(const Blackboard& board) {
    const std::uint64_t own = Score(board.self);
    const auto precedes = [&](const auto& item) {
      const MemberState& state = item.second;
      const bool unavailable = state.member.leaving || (state.ever_linked && !state.linked);
      return !unavailable && Score(item.first) > own;
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(board.members, precedes));
  }

  bool ShouldRead(std::uint32_t rank, const Blackboard& board) {
    if (board.members.empty() && board.now < start_time_ + limits::kLogReadStartDelay) {
      return false;
    }
    const Duration age = board.now - (board.log.read_known ? board.log.last_read : start_time_);
    if (rank < ReaderCount(age) || (age > limits::kLogReadStaleAge && HasNoLinks(board))) {
      if (rank >= limits::kLogReaderCount) {
        reader_term_end_ = board.now + limits::kLogReaderTerm;
      }
      return true;
    }
    return board.now < reader_term_end_;
  }

  /// Number of readers for a given age of the last complete read.
  static std::uint32_t ReaderCount(Duration age) {
    std::uint32_t readers = limits::kLogReaderCount;
    for (Duration limit = limits::kLogReadStaleAge; age > limit && readers < limits::kMaxLogReaders;
         limit += limits::kLogReaderDoublingInterval) {
      readers *= 2;
    }
    return std::min(readers, limits::kMaxLogReaders);
  }

  /// True if no member is linked. Such a process cannot learn of the log from others.
  static bool HasNoLinks(const Blackboard& board) {
    return std::ranges::none_of(board.members, [](const auto& item) { return item.second.linked; });
  }

  /// True if this process should append a snapshot: well before the log can drop the last one.
  /// Readers are staggered by rank, so that usually only the first one appends.
  [[nodiscard]] bool SnapshotDue(std::uint32_t rank, const Blackboard& board) const {
    const bool up_to_date = board.rules.gap_free() && board.configuration->offset >= 0 &&
                            board.rules.next() == next_offset_;
    if (!up_to_date) {
      return false;
    }
    const std::int64_t last = std::max<std::int64_t>(last_snapshot_, 0);
    const bool near_truncation =
        first_offset_ > 0 && last < first_offset_ + (next_offset_ - first_offset_) / 2;
    const bool many_records = next_offset_ - last >= limits::kSnapshotRecords;
    const Duration stagger = rank * limits::kSnapshotDelay;
    if (near_truncation || many_records) {
      return board.now >= last_snapshot_time_ + limits::kConfigurationPollInterval * (4 * rank + 2);
    }
    const Duration wait =
        last_snapshot_ < 0 ? 2 * limits::kSnapshotDelay : limits::kSnapshotInterval;
    return board.now >= last_snapshot_time_ + wait + stagger;
  }

  bool started_ = false;
  Time start_time_;
  Time reader_term_end_;
  bool read_pending_ = false;
  Time next_read_;
  Duration retry_delay_ = limits::kConfigurationPollInterval;
  bool end_known_ = false;
  /// Records before this offset are skipped.
  std::int64_t skip_to_ = 0;
  std::int64_t first_offset_ = 0;
  std::int64_t next_offset_ = -1;
  /// Offset of the newest snapshot read, and the time at which it was read or last appended.
  std::int64_t last_snapshot_ = -1;
  Time last_snapshot_time_;
};

}  // namespace

std::unique_ptr<Controller> MakeLogReaderController() {
  return std::make_unique<LogReaderController>();
}

}  // namespace lagoonwind::policy
