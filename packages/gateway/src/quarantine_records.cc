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
#include "quarantined_request_log.h"

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
/// Begins the keys of records of requests.
constexpr std::string_view kRequestPrefix = "request-";
/// Shortest time between two writes of the whole fleet, which leaves most of the store's rate to
/// others. Each gateway waits as many times as long as there are gateways.
constexpr milliseconds kFleetWriteInterval{25};
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

std::string KeyOf(std::string_view prefix, std::uint64_t id) {
  return absl::StrFormat("%s%016x", std::string(prefix), id);
}

}  // namespace

QuarantineRecords::QuarantineRecords(Options options)
    : options_(std::move(options)),
      segment_list_(options_.segments, options_.on_segment_quarantined),
      request_list_(
          options_.suspects,
          [this](Digest digest) { LogQuarantinedRequest(options_.log, digest, "store"); }),
      kinds_{{{.prefix = "", .list = segment_list_},
              {.prefix = kRequestPrefix, .list = request_list_}}},
      created_(Now()) {}

bool QuarantineRecords::IsKnownOrOverdue(Time now) const {
  return known_ || now - created_ >= kMaxStartWait;
}

std::pair<const QuarantineRecords::Kind*, std::uint64_t> QuarantineRecords::ParseKey(
    std::string_view key) const {
  for (const Kind& kind : kinds_) {
    std::uint64_t id = 0;
    const bool matches = key.starts_with(kind.prefix) &&
                         absl::SimpleHexAtoi(std::string(key.substr(kind.prefix.size())), &id);
    if (matches) {
      return {&kind, id};
    }
  }
  return {nullptr, 0};
}

void QuarantineRecords::ApplyRecord(const Record& record, bool restored) {
  const auto [kind, id] = ParseKey(record.key);
  if (kind == nullptr) {
    options_.log.Write(
        Severity::kState, "record_not_understood",
        {{"key", record.key}, {"reason", "the key is the id of neither a segment nor a request"}});
    return;
  }
  if (!record.value) {
    ApplyDeletion(record.key);
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
  Quarantine quarantine{.id = id, .last_crash = Now() - age, .trials = TrialsOf(value)};
  if (const auto known = kind->list.Find(id)) {
    // The own time is better, as clocks of hosts differ.
    quarantine.last_crash = known->last_crash;
  }
  const auto deleted = deleted_.find(record.key);
  if (restored && deleted != deleted_.end() && stated <= deleted->second) {
    // Not applied, and deleted again.
    quarantine.last_crash = {};
    stored_[record.key] = {.kind = kind, .quarantine = quarantine, .last_crash_unix_ms = stated};
    return;
  }
  deleted_.erase(record.key);
  if (age <= kMaxAge) {
    kind->list.Merge(quarantine);
  }
  stored_[record.key] = {.kind = kind, .quarantine = quarantine, .last_crash_unix_ms = stated};
}

void QuarantineRecords::ApplyDeletion(const std::string& key) {
  const auto stored = stored_.find(key);
  if (stored != stored_.end()) {
    // Ends the quarantine unless there was a further crash.
    const Quarantine& quarantine = stored->second.quarantine;
    stored->second.kind->list.MergeResponse(quarantine.id, quarantine.last_crash + milliseconds(1));
    RecordDeletion(key, stored->second.last_crash_unix_ms);
    stored_.erase(key);
  }
}

void QuarantineRecords::RecordDeletion(const std::string& key, std::int64_t last_crash_unix_ms) {
  // Older records have no effect if they come back.
  absl::erase_if(deleted_, [oldest = UnixMilliseconds() - kMaxAge.count()](const auto& item) {
    return item.second < oldest;
  });
  deleted_[key] = last_crash_unix_ms;
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
  std::vector<std::string> missing;
  for (const auto& [key, stored] : stored_) {
    if (std::ranges::find(snapshot.records, key, &Record::key) == snapshot.records.end()) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    if (restored) {
      stored_.erase(key);
    } else {
      ApplyDeletion(key);
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

asio::awaitable<bool> QuarantineRecords::Write(Record record, std::string_view event) {
  co_await AwaitWriteSlot();
  ++calls_;
  const std::string key = record.key;
  const absl::Status written = co_await options_.store.Write(Topic::kQuarantine, std::move(record));
  options_.log.Write(written.ok() ? Severity::kState : Severity::kFailure, event,
                     {{"key", key}, {"outcome", written.ToString()}});
  co_return written.ok();
}

asio::awaitable<void> QuarantineRecords::AwaitWriteSlot() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::max(next_write_ - Now(), Duration{0}));
  co_await timer.async_wait(asio::use_awaitable);
  next_write_ = Now() + kFleetWriteInterval * options_.fleet_size();
}

asio::awaitable<void> QuarantineRecords::WriteRecord(const Kind& kind,
                                                     const Quarantine& quarantine) {
  const auto age = std::chrono::duration_cast<milliseconds>(Now() - quarantine.last_crash);
  const std::int64_t last_crash_unix_ms = UnixMilliseconds() - age.count();
  const json value{{kLastCrashField, last_crash_unix_ms}, {kTrialsField, quarantine.trials}};
  const std::string key = KeyOf(kind.prefix, quarantine.id);
  Record record{.key = key, .value = value.dump()};
  const bool written = co_await Write(std::move(record), "quarantine_stored");
  if (written) {
    stored_[key] = {
        .kind = &kind, .quarantine = quarantine, .last_crash_unix_ms = last_crash_unix_ms};
    deleted_.erase(key);
  }
}

asio::awaitable<void> QuarantineRecords::DeleteRecord(const std::string& key) {
  Record record{.key = key};
  const bool written = co_await Write(std::move(record), "quarantine_deleted");
  const auto stored = stored_.find(key);
  if (written && stored != stored_.end()) {
    RecordDeletion(key, stored->second.last_crash_unix_ms);
    stored_.erase(key);
  }
}

bool QuarantineRecords::IsOutdated(const std::string& key, const Quarantine& quarantine) const {
  const auto stored = stored_.find(key);
  return stored == stored_.end() ||
         quarantine.last_crash - stored->second.quarantine.last_crash >= kMinAdvance ||
         quarantine.trials > stored->second.quarantine.trials;
}

bool QuarantineRecords::HasEnded(const StoredQuarantine& stored) const {
  const QuarantineList& list = stored.kind->list;
  const std::uint64_t id = stored.quarantine.id;
  if (list.Find(id)) {
    return false;
  }
  const bool expired =
      list.deletes_expired() && UnixMilliseconds() - stored.last_crash_unix_ms > kMaxAge.count();
  return expired || list.RespondedAfter(id, stored.quarantine.last_crash);
}

asio::awaitable<void> QuarantineRecords::WriteChanges() {
  for (const Kind& kind : kinds_) {
    const std::vector<Quarantine> entries = kind.list.Entries();
    for (const Quarantine& quarantine : entries) {
      // Others may have written it while this gateway waited for its turn.
      if (IsOutdated(KeyOf(kind.prefix, quarantine.id), quarantine) &&
          options_.is_writer(quarantine.id)) {
        co_await WriteRecord(kind, quarantine);
      }
    }
  }
  co_await DeleteEndedRecords();
}

asio::awaitable<void> QuarantineRecords::DeleteEndedRecords() {
  std::vector<std::string> ended;
  for (const auto& [key, stored] : stored_) {
    if (HasEnded(stored) && options_.is_writer(stored.quarantine.id)) {
      ended.push_back(key);
    }
  }
  for (const std::string& key : ended) {
    const auto stored = stored_.find(key);
    if (stored != stored_.end() && HasEnded(stored->second)) {
      co_await DeleteRecord(key);
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
