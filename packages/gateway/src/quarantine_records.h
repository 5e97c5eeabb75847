#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string_view>

#include "event_log.h"
#include "lagoonwind/gateway.h"
#include "lagoonwind/segment_quarantine.h"
#include "store_position.h"

namespace lagoonwind::gateway {

/// Keeps quarantined segments in the store, one record each, so that they stay quarantined when all
/// gateways restart, and where gateways do not hear each other. Not thread safe.
class QuarantineRecords {
 public:
  struct Options {
    RecordStore& store;
    policy::SegmentQuarantine& segments;
    EventLog& log;
    /// Called with each segment that a record has quarantined.
    std::function<void(policy::SegmentId)> on_quarantined;
    /// True if this gateway is among those that write the record of the segment.
    std::function<bool(policy::SegmentId)> is_writer;
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
  struct StoredQuarantine {
    policy::QuarantinedSegment quarantine;
    /// As the record states it.
    std::int64_t last_crash_unix_ms = 0;
  };

  asio::awaitable<absl::Status> ReadOnce();
  void ApplyPage(const RecordPage& page, bool complete);
  /// \param restored  True if the page is the first one after a restore of the store.
  void ApplyRecord(const Record& record, bool restored);
  void ApplyDeletion(policy::SegmentId segment);
  /// Treats records that the snapshot does not hold as deleted, or as lost by a restored store:
  /// then they are written again.
  void ApplyMissingRecords(const RecordPage& snapshot, bool restored);
  /// Remembers that a record was deleted.
  void RecordDeletion(policy::SegmentId segment, std::int64_t last_crash_unix_ms);
  /// True if a response has ended the quarantine that the record states.
  [[nodiscard]] bool HasEnded(policy::SegmentId segment, Time last_crash) const;
  asio::awaitable<void> WriteChanges();
  asio::awaitable<void> WriteRecord(const policy::QuarantinedSegment& quarantine);
  asio::awaitable<void> DeleteRecord(policy::SegmentId segment);
  asio::awaitable<bool> Write(Record record, policy::SegmentId segment, std::string_view event);
  /// True if the store holds less than is known.
  [[nodiscard]] bool IsOutdated(const policy::QuarantinedSegment& quarantine) const;

  Options options_;
  const Time created_;
  bool known_ = false;
  bool snapshot_read_ = false;
  /// True once a snapshot was read.
  bool known_from_store_ = false;
  StorePosition position_;
  /// Records of the store: what this gateway knew of each segment as it read or wrote the record.
  absl::flat_hash_map<policy::SegmentId, StoredQuarantine> stored_;
  /// Time of the last crash that the deleted record of a segment stated. A restored store may bring
  /// the record back.
  absl::flat_hash_map<policy::SegmentId, std::int64_t> deleted_;
  std::uint64_t calls_ = 0;
};

}  // namespace lagoonwind::gateway
