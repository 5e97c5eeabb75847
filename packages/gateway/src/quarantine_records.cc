#include "quarantine_records.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

using nlohmann::json;
using std::chrono::system_clock;

/// Long-poll time. Records are rare, so most calls end without any.
constexpr milliseconds kReadWait{25000};
constexpr milliseconds kReadPause{250};
constexpr milliseconds kWriteInterval{250};
/// Longest time for which a gateway that starts waits for the quarantined segments.
constexpr Duration kMaxStartWait = std::chrono::seconds(2);
/// Advance of the last crash from which a record is written again.
constexpr Duration kMinAdvance = std::chrono::seconds(2);
/// Age of the last crash from which a record has no effect.
constexpr milliseconds kMaxAge = std::chrono::minutes(10);
constexpr const char* kLastCrashField = "last_crash_unix_ms";
constexpr const char* kTrialsField = "trials";
/// Largest number of trials that a record may state. Bounds the effect of malformed ones.
constexpr std::uint64_t kMaxTrials = 64;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// Trials that a record states. Records of earlier versions state none.
int TrialsOf(const json& value) {
  const auto field = value.find(kTrialsField);
  const bool known = field != value.end() && field->is_number_unsigned();
  return known ? static_cast<int>(std::min(field->get<std::uint64_t>(), kMaxTrials))
               : policy::kUnknownTrials;
}

std::string KeyOf(policy::SegmentId segment) { return absl::StrFormat("%016x", segment.value); }

}  // namespace

QuarantineRecords::QuarantineRecords(Options options)
    : options_(std::move(options)), created_(Now()) {}

bool QuarantineRecords::IsKnownOrOverdue(Time now) const {
  return known_ || now - created_ >= kMaxStartWait;
}

void QuarantineRecords::ApplyRecord(const Record& record, bool restored) {
  policy::SegmentId segment;
  if (!absl::SimpleHexAtoi(record.key, &segment.value)) {
    options_.log.Write(Severity::kState, "record_not_understood",
                       {{"key", record.key}, {"reason", "the key is not a segment id"}});
    return;
  }
  if (!record.value) {
    ApplyDeletion(segment);
    return;
  }
  const json value = json::parse(*record.value, nullptr, false);
  const auto field = value.is_object() ? value.find(kLastCrashField) : value.end();
  if (field == value.end() || !field->is_number_integer()) {
    options_.log.Write(Severity::kState, "record_not_understood",
                       {{"key", record.key}, {"reason", "the time of the last crash is missing"}});
    return;
  }
  // Clocks of hosts may differ, so that the time can lie in the future. Times far before 1970 would
  // overflow.
  const std::int64_t now = UnixMilliseconds();
  const auto stated = field->get<std::int64_t>();
  const milliseconds age(now - std::clamp<std::int64_t>(stated, 0, now));
  policy::QuarantinedSegment quarantine{
      .segment = segment, .last_crash = Now() - age, .trials = TrialsOf(value)};
  if (const auto known = options_.segments.Find(segment)) {
    // The own time is better, as clocks of hosts differ.
    quarantine.last_crash = known->last_crash;
  }
  const auto deleted = deleted_.find(segment);
  if (restored && deleted != deleted_.end() && stated <= deleted->second) {
    // Not applied, and deleted again.
    quarantine.last_crash = {};
    stored_[segment] = {.quarantine = quarantine, .last_crash_unix_ms = stated};
    return;
  }
  deleted_.erase(segment);
  if (age <= kMaxAge && options_.segments.MergeQuarantine(quarantine, Now())) {
    options_.on_quarantined(segment);
  }
  stored_[segment] = {.quarantine = quarantine, .last_crash_unix_ms = stated};
}

void QuarantineRecords::ApplyDeletion(policy::SegmentId segment) {
  const auto stored = stored_.find(segment);
  if (stored != stored_.end()) {
    // Ends the quarantine unless there was a further crash.
    options_.segments.MergePeerResponse(
        {.segment = segment, .at = stored->second.quarantine.last_crash + milliseconds(1)});
    RecordDeletion(segment, stored->second.last_crash_unix_ms);
    stored_.erase(stored);
  }
}

void QuarantineRecords::RecordDeletion(policy::SegmentId segment, std::int64_t last_crash_unix_ms) {
  // Older records have no effect if they come back.
  absl::erase_if(deleted_, [oldest = UnixMilliseconds() - kMaxAge.count()](const auto& item) {
    return item.second < oldest;
  });
  deleted_[segment] = last_crash_unix_ms;
}

void QuarantineRecords::ApplyPage(const RecordPage& page, bool complete) {
  const StorePosition next = PositionAfter(page);
  // The store comes back with a later generation; one that states none, with a lower offset.
  const bool restored =
      known_from_store_ && (next.generation != position_.generation || next < position_);
  if (complete) {
    ApplyMissingRecords(page, restored);
  }
  if (restored) {
    options_.log.Write(Severity::kState, "store_restored",
                       {{"topic", "quarantine"},
                        {"generation", next.generation},
                        {"previous_generation", position_.generation},
                        {"offset", next.offset},
                        {"previous_offset", position_.offset}});
  }
  snapshot_read_ = true;
  known_from_store_ = true;
  position_ = next;
  for (const Record& record : page.records) {
    ApplyRecord(record, restored);
  }
  known_ = true;
}

void QuarantineRecords::ApplyMissingRecords(const RecordPage& snapshot, bool restored) {
  std::vector<policy::SegmentId> missing;
  for (const auto& [segment, stored] : stored_) {
    if (std::ranges::find(snapshot.records, KeyOf(segment), &Record::key) ==
        snapshot.records.end()) {
      missing.push_back(segment);
    }
  }
  for (const policy::SegmentId segment : missing) {
    if (restored) {
      stored_.erase(segment);
    } else {
      ApplyDeletion(segment);
    }
  }
}

asio::awaitable<absl::Status> QuarantineRecords::ReadOnce() {
  ++calls_;
  if (!snapshot_read_) {
    auto page = co_await options_.store.ReadNewest(Topic::kQuarantine);
    if (page.ok()) {
      page->generation = page->generation == 0 ? position_.generation : page->generation;
      ApplyPage(*page, true);
    }
    co_return page.status();
  }
  auto page = co_await options_.store.ReadFrom(Topic::kQuarantine, position_.offset, kReadWait);
  if (absl::IsOutOfRange(page.status())) {
    snapshot_read_ = false;
    co_return absl::OkStatus();
  }
  if (page.ok()) {
    page->generation = page->generation == 0 ? position_.generation : page->generation;
    snapshot_read_ = page->generation == position_.generation;
    if (snapshot_read_) {
      ApplyPage(*page, false);
    }
  }
  co_return page.status();
}

asio::awaitable<void> QuarantineRecords::FollowRecords() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  bool connected = true;
  for (;;) {
    const absl::Status status = co_await ReadOnce();
    if (status.ok() != connected) {
      connected = status.ok();
      options_.log.Write(Severity::kState, connected ? "store_regained" : "store_lost",
                         {{"topic", "quarantine"}, {"reason", status.ToString()}});
    }
    timer.expires_after(kReadPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<bool> QuarantineRecords::Write(Record record, policy::SegmentId segment,
                                               std::string_view event) {
  ++calls_;
  const absl::Status written = co_await options_.store.Write(Topic::kQuarantine, std::move(record));
  options_.log.Write(
      written.ok() ? Severity::kState : Severity::kFailure, event,
      {{"segment", absl::StrFormat("%x", segment.value)}, {"outcome", written.ToString()}});
  co_return written.ok();
}

asio::awaitable<void> QuarantineRecords::WriteRecord(const policy::QuarantinedSegment& quarantine) {
  const auto age = std::chrono::duration_cast<milliseconds>(Now() - quarantine.last_crash);
  const std::int64_t last_crash_unix_ms = UnixMilliseconds() - age.count();
  const json value{{kLastCrashField, last_crash_unix_ms}, {kTrialsField, quarantine.trials}};
  Record record{.key = KeyOf(quarantine.segment), .value = value.dump()};
  const bool written = co_await Write(std::move(record), quarantine.segment, "quarantine_stored");
  if (written) {
    stored_[quarantine.segment] = {.quarantine = quarantine,
                                   .last_crash_unix_ms = last_crash_unix_ms};
    deleted_.erase(quarantine.segment);
  }
}

asio::awaitable<void> QuarantineRecords::DeleteRecord(policy::SegmentId segment) {
  Record record{.key = KeyOf(segment)};
  const bool written = co_await Write(std::move(record), segment, "quarantine_deleted");
  const auto stored = stored_.find(segment);
  if (written && stored != stored_.end()) {
    RecordDeletion(segment, stored->second.last_crash_unix_ms);
    stored_.erase(stored);
  }
}

bool QuarantineRecords::IsOutdated(const policy::QuarantinedSegment& quarantine) const {
  const auto stored = stored_.find(quarantine.segment);
  return stored == stored_.end() ||
         quarantine.last_crash - stored->second.quarantine.last_crash >= kMinAdvance ||
         quarantine.trials > stored->second.quarantine.trials;
}

bool QuarantineRecords::HasEnded(policy::SegmentId segment, Time last_crash) const {
  return !options_.segments.IsQuarantined(segment) &&
         options_.segments.RespondedAfter(segment, last_crash);
}

asio::awaitable<void> QuarantineRecords::WriteChanges() {
  const auto quarantined = options_.segments.Quarantined();
  for (const policy::QuarantinedSegment& quarantine : quarantined) {
    if (IsOutdated(quarantine) && options_.is_writer(quarantine.segment)) {
      co_await WriteRecord(quarantine);
    }
  }
  std::vector<policy::SegmentId> ended;
  for (const auto& [segment, stored] : stored_) {
    if (HasEnded(segment, stored.quarantine.last_crash) && options_.is_writer(segment)) {
      ended.push_back(segment);
    }
  }
  for (const policy::SegmentId segment : ended) {
    const auto stored = stored_.find(segment);
    if (stored != stored_.end() && HasEnded(segment, stored->second.quarantine.last_crash)) {
      co_await DeleteRecord(segment);
    }
  }
}

asio::awaitable<void> QuarantineRecords::WriteRecords() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    timer.expires_after(kWriteInterval);
    co_await timer.async_wait(asio::use_awaitable);
    co_await WriteChanges();
  }
}

}  // namespace lagoonwind::gateway
