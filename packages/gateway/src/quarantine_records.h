#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "event_log.h"
#include "lagoonwind/crash_suspects.h"
#include "lagoonwind/gateway.h"
#include "lagoonwind/segment_quarantine.h"
#include "quarantine_list.h"
#include "store_position.h"

namespace lagoonwind::gateway {

/// Keeps quarantined segments and requests in the store, one record each, so that they stay
/// quarantined when all gateways restart, and where gateways do not hear each other. Not thread
/// safe.
class QuarantineRecords {
 public:
  struct Options {
    RecordStore& store;
    policy::SegmentQuarantine& segments;
    policy::CrashSuspects& suspects;
    EventLog& log;
    /// Called with each segment that a record has quarantined.
    std::function<void(policy::SegmentId)> on_segment_quarantined;
    /// True if this gateway is among those that write the record of the segment or request.
    std::function<bool(std::uint64_t)> is_writer;
    /// Number of gateways that share the rate of writes.
    std::function<int()> fleet_size;
  };

  explicit QuarantineRecords(Options options);

  /// Applies the records and their changes until the process ends.
  asio::awaitable<void> FollowRecords();
  /// Writes records of new quarantines and deletes those of ended ones until the process ends.
  asio::awaitable<void> WriteRecords();
  /// Records that a peer has listed the quarantined segments.
  void RecordPeerList() { known_ = true; }
  /// True once the quarantined segments are known from the store or a peer, or after the longest
  /// time that a gateway waits for them: a fleet must start while the store is away.
  [[nodiscard]] bool IsKnownOrOverdue(Time now) const;
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  /// A kind of quarantine.
  struct Kind {
    /// Begins the keys of its records; the rest is an id of 16 hexadecimal digits.
    std::string_view prefix;
    QuarantineList& list;
  };
  struct StoredQuarantine {
    const Kind* kind = nullptr;
    Quarantine quarantine;
    /// As the record states it.
    std::int64_t last_crash_unix_ms = 0;
  };

  asio::awaitable<absl::Status> ReadOnce();
  void ApplyPage(const RecordPage& page, bool complete);
  /// \param restored  True if the page is the first one after a restore of the store.
  void ApplyRecord(const Record& record, bool restored);
  void ApplyDeletion(const std::string& key);
  /// Treats records that the snapshot does not hold as deleted, or as lost by a restored store:
  /// then they are written again.
  void ApplyMissingRecords(const RecordPage& snapshot, bool restored);
  /// Remembers that a record was deleted.
  void RecordDeletion(const std::string& key, std::int64_t last_crash_unix_ms);
  /// True if a response has ended the quarantine that the record states, or if the record is of no
  /// more use.
  [[nodiscard]] bool HasEnded(const StoredQuarantine& stored) const;
  asio::awaitable<void> WriteChanges();
  asio::awaitable<void> DeleteEndedRecords();
  asio::awaitable<void> WriteRecord(const Kind& kind, const Quarantine& quarantine);
  asio::awaitable<void> DeleteRecord(const std::string& key);
  asio::awaitable<bool> Write(Record record, std::string_view event);
  /// True if the store holds less than is known.
  [[nodiscard]] bool IsOutdated(const std::string& key, const Quarantine& quarantine) const;
  /// Waits until this gateway may write another record without exceeding its part of the rate.
  asio::awaitable<void> AwaitWriteSlot();
  /// Returns the kind and the id that a key names; null if it names none.
  [[nodiscard]] std::pair<const Kind*, std::uint64_t> ParseKey(std::string_view key) const;

  Options options_;
  SegmentList segment_list_;
  RequestList request_list_;
  std::array<Kind, 2> kinds_;
  const Time created_;
  bool known_ = false;
  bool snapshot_read_ = false;
  /// True once a snapshot was read.
  bool known_from_store_ = false;
  StorePosition position_;
  /// Records of the store, by key: what this gateway knew as it read or wrote the record.
  absl::flat_hash_map<std::string, StoredQuarantine> stored_;
  /// Time of the last crash that a deleted record stated, by key. A restored store may bring the
  /// record back.
  absl::flat_hash_map<std::string, std::int64_t> deleted_;
  /// When this gateway may write the next record.
  Time next_write_{};
  std::uint64_t calls_ = 0;
};

}  // namespace lagoonwind::gateway
