#include "fleet_state.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Time after an outage of the store within which backend servers register again whose records
/// expired during the outage.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2200);
/// Uninterrupted time of successful calls by a peer that proves that the store was not down.
constexpr Duration kStableStoreTime = std::chrono::seconds(6);
/// Time for which a peer's report about the store is valid.
constexpr Duration kPeerStoreStatusTtl = std::chrono::seconds(1);
/// Number of changes of a topic that are kept for peers that lag behind.
constexpr std::size_t kMaxRecentChanges = 512;
/// Bytes of these changes; a small part of the memory of a host.
constexpr std::size_t kMaxRecentChangeBytes = 4UL << 20U;
/// Time for which an evacuation lasts that a restored store lacks. The operator writes lost records
/// again well within it; afterwards it costs the capacity of a zone for no reason.
constexpr Duration kMaxHoldTime = std::chrono::seconds(60);
/// Time after an unstated restore for which the higher offsets of peers are not trusted.
constexpr Duration kUnstatedRestoreTime = std::chrono::seconds(60);

/// Digest of the keys of a map, of which reports can state any; 0 for none.
std::int64_t DigestOfKeys(const auto& map) {
  constexpr std::uint64_t kMask = (std::uint64_t{1} << 48U) - 1;
  std::uint64_t digest = 0;
  for (const auto& [key, value] : map) {
    digest = CombineHashes(digest, StableHash(key));
  }
  return map.empty() ? 0 : std::max<std::int64_t>(1, static_cast<std::int64_t>(digest & kMask));
}

std::string_view NameOf(Topic topic) { return topic == Topic::kOperator ? "operator" : "servers"; }

std::size_t SizeOf(const Record& record) {
  return record.key.size() + (record.value ? record.value->size() : 0);
}

}  // namespace

StorePosition FleetState::position(Topic topic) const {
  const auto found = positions_.find(topic);
  return found == positions_.end() ? StorePosition{} : found->second;
}

bool FleetState::IsNewer(Topic topic, const StorePosition& position, Time now) const {
  const StorePosition own = this->position(topic);
  const auto replaced = replaced_at_.find(topic);
  const bool same_history = replaced == replaced_at_.end() ||
                            position.generation != own.generation ||
                            now - replaced->second > kUnstatedRestoreTime;
  return position > own && same_history;
}

std::int64_t FleetState::ResolveGeneration(Topic topic, std::int64_t stated) const {
  return stated == 0 && !restored_topics_.contains(topic) ? position(topic).generation : stated;
}

std::int64_t FleetState::held_digest() const { return DigestOfKeys(held_evacuations_); }

bool FleetState::MissesEvacuations(std::int64_t generation, std::int64_t held_by_peer) const {
  return held_by_peer != 0 && generation == position(Topic::kOperator).generation &&
         held_by_peer != held_digest() && !known_held_digests_.contains(held_by_peer);
}

std::map<std::string, milliseconds> FleetState::HeldEvacuations(Time now) const {
  std::map<std::string, milliseconds> remaining;
  for (const auto& [key, until] : held_evacuations_) {
    remaining[key] = std::chrono::duration_cast<milliseconds>(std::max(until - now, Duration{0}));
  }
  return remaining;
}

const std::map<std::string, std::string>& FleetState::records(Topic topic) const {
  static const std::map<std::string, std::string> kNone;
  const auto found = records_.find(topic);
  return found == records_.end() ? kNone : found->second;
}

std::vector<std::string> FleetState::AbsentKeys(const std::map<std::string, std::string>& known,
                                                const RecordPage& page) {
  std::vector<std::string> absent;
  for (const auto& [key, value] : known) {
    if (std::ranges::find(page.records, key, &Record::key) == page.records.end()) {
      absent.push_back(key);
    }
  }
  return absent;
}

void FleetState::UpdateRecentChanges(Topic topic, const RecordPage& page, bool complete,
                                     std::int64_t previous_offset) {
  std::deque<Record>& changes = recent_changes_[topic];
  const bool follows = !complete && page.next_offset - previous_offset ==
                                        static_cast<std::int64_t>(page.records.size());
  if (!follows) {
    // The offsets of the single records are unknown.
    changes.clear();
    return;
  }
  changes.insert(changes.end(), page.records.begin(), page.records.end());
  std::size_t bytes =
      std::transform_reduce(changes.begin(), changes.end(), std::size_t{0}, std::plus<>(), SizeOf);
  while (changes.size() > kMaxRecentChanges || bytes > kMaxRecentChangeBytes) {
    bytes -= SizeOf(changes.front());
    changes.pop_front();
  }
}

std::optional<RecordPage> FleetState::ChangesSince(Topic topic, std::int64_t offset) const {
  const std::int64_t end = this->offset(topic);
  const auto found = recent_changes_.find(topic);
  const std::int64_t known =
      found == recent_changes_.end() ? 0 : static_cast<std::int64_t>(found->second.size());
  if (offset < end - known) {
    return std::nullopt;
  }
  RecordPage page{.next_offset = end};
  if (offset < end) {
    page.records.assign(found->second.end() - (end - offset), found->second.end());
  }
  return page;
}

bool FleetState::Apply(Topic topic, const RecordPage& page, bool complete, std::string_view source,
                       Time now) {
  if (positions_.empty()) {
    // The state of the store is unknown before the first response.
    store_reachable_since_ = now;
  }
  const bool is_first = !positions_.contains(topic);
  const StorePosition previous = position(topic);
  const StorePosition next = PositionAfter(page);
  const bool replaces = complete && replaced_topics_.erase(topic) > 0;
  const bool restored = !is_first && (replaces || next.generation > previous.generation);
  if ((restored && !complete) || (!restored && next < previous)) {
    return false;
  }
  if (restored) {
    // Servers whose records were lost have to register again, and what peers report may precede
    // the restore.
    store_reachable_since_ = now;
    peer_reached_store_at_ = {};
    restored_topics_.insert(topic);
    if (topic == Topic::kOperator) {
      ended_evacuations_.clear();
      known_held_digests_.clear();
    } else {
      departed_servers_.StoreRestored();
    }
  }
  UpdateRecentChanges(topic, page, complete, previous.offset);
  positions_[topic] = next;
  if (source == kStoreSource) {
    store_reads_[topic].previous = std::exchange(store_reads_[topic].last, now);
  }
  if (complete) {
    complete_pages_ += topic == Topic::kServers ? 1 : 0;
    for (const std::string& key : AbsentKeys(records_[topic], page)) {
      ApplyAbsence(topic, key, restored, source, now);
    }
  }
  if (complete && topic == Topic::kServers && source == kStoreSource) {
    // Peers omit what they doubt.
    absl::erase_if(doubtful_records_, [&](const auto& item) {
      return std::ranges::find(page.records, item.first, &Record::key) == page.records.end();
    });
  }
  for (const Record& record : page.records) {
    if (topic == Topic::kOperator) {
      ApplyOperatorRecord(record, page.generation, source, now,
                          !complete && source == kStoreSource);
    } else if (topic == Topic::kServers) {
      ApplyServerRecord(record, !complete, source, now);
    }
  }
  if (restored) {
    log_.Write(Severity::kState, "store_restored",
               {{"topic", NameOf(topic)},
                {"source", source},
                {"generation", next.generation},
                {"previous_generation", previous.generation},
                {"offset", next.offset},
                {"previous_offset", previous.offset},
                {"configuration", configuration_version()},
                {"held_evacuations", held_evacuations_.size()},
                {"doubtful_servers", doubtful_records_.size()}});
  }
  return true;
}

void FleetState::ApplyAbsence(Topic topic, const std::string& key, bool restored,
                              std::string_view source, Time now) {
  if (topic == Topic::kServers) {
    ApplyServerRecord({.key = key}, false, source, now);
    return;
  }
  if ((held_evacuations_.contains(key) && !restored) || key == configuration_key_) {
    return;
  }
  if (restored) {
    held_evacuations_[key] = now + kMaxHoldTime;
  } else {
    ApplyOperatorRecord({.key = key}, position(topic).generation, source, now);
  }
}

void FleetState::HistoryReplaced(Topic topic, Time now) {
  replaced_topics_.insert(topic);
  replaced_at_[topic] = now;
}

void FleetState::ApplyNewerConfiguration(const RecordPage& page, std::string_view source,
                                         Time now) {
  for (const Record& record : page.records) {
    const auto change = record.value ? codec_.DecodeOperatorRecord(record)
                                     : absl::StatusOr<OperatorChange>(OperatorChange{});
    if (change.ok() && change->configuration != nullptr &&
        change->configuration->version > configuration_version()) {
      ApplyOperatorRecord(record, page.generation, source, now);
    }
  }
}

void FleetState::HoldEvacuations(const RecordPage& page,
                                 const std::map<std::string, milliseconds>& remaining,
                                 std::string_view source, Time now) {
  if (page.generation != position(Topic::kOperator).generation) {
    return;
  }
  known_held_digests_.insert(DigestOfKeys(remaining));
  for (const Record& record : page.records) {
    const auto time = remaining.find(record.key);
    const bool known =
        records_[Topic::kOperator].contains(record.key) || ended_evacuations_.contains(record.key);
    if (time != remaining.end() && !known) {
      ApplyOperatorRecord(record, page.generation, source, now);
      held_evacuations_[record.key] = now + std::min<Duration>(time->second, kMaxHoldTime);
    }
  }
}

void FleetState::ExpireHeldRecords(Time now) {
  for (const auto& [key, until] : std::map(held_evacuations_)) {
    if (StoreConfirms(Topic::kOperator, until, kMaxHoldTime, now)) {
      ApplyOperatorRecord({.key = key}, position(Topic::kOperator).generation, "timeout", now);
    }
  }
  std::vector<Record> listed;
  for (const auto& [key, doubtful] : doubtful_records_) {
    if (StoreConfirms(Topic::kServers, doubtful.doubt.until, doubtful.doubt.period, now)) {
      listed.push_back(doubtful.record);
    }
  }
  for (const Record& record : listed) {
    departed_servers_.Erase(record.key);
    ApplyServerRecord(record, false, "doubt_ended", now);
  }
}

void FleetState::ApplyOperatorRecord(const Record& record, std::int64_t generation,
                                     std::string_view source, Time now, bool is_change) {
  auto& known = records_[Topic::kOperator];
  const auto previous = known.find(record.key);
  if (record.value && previous != known.end() && previous->second == *record.value &&
      !RepeatsRollout(record)) {
    held_evacuations_.erase(record.key);
    return;
  }
  if (!record.value && record.key == configuration_key_) {
    return;
  }
  const auto change = codec_.DecodeOperatorRecord(record);
  if (!change.ok()) {
    log_.Write(Severity::kState, "record_not_understood",
               {{"key", record.key}, {"reason", change.status().ToString()}});
    return;
  }
  if (change->configuration != nullptr) {
    // Peers copy the record of the newest configuration, not the one that was read last.
    if (!ApplyConfiguration(change->configuration, generation, source)) {
      return;
    }
    configuration_key_ = record.key;
  }
  held_evacuations_.erase(record.key);
  if (record.value) {
    known[record.key] = *record.value;
    ended_evacuations_.erase(record.key);
  } else {
    known.erase(record.key);
    ended_evacuations_.insert(record.key);
  }
  if (!change->evacuated_zone.empty()) {
    ApplyEvacuation(change->evacuated_zone, change->evacuation_ended, source, now);
  }
  if (!change->rollout_service.empty()) {
    ApplyRollout(record, *change, source, is_change, now);
  }
}

bool FleetState::ApplyConfiguration(const std::shared_ptr<const Configuration>& configuration,
                                    std::int64_t generation, std::string_view source) {
  const std::int64_t known = configuration_version();
  // A version that the restored store has given out again replaces the lost one.
  const bool newer = configuration->version > known ||
                     (configuration->version == known && generation > configuration_generation_);
  if (newer) {
    configuration_ = configuration;
    configuration_generation_ = generation;
  }
  log_.Write(Severity::kState, newer ? "configuration_in_force" : "configuration_ignored",
             {{"version", configuration->version},
              {"known", known},
              {"source", source},
              {"routes", configuration->routes.size()}});
  return newer;
}

void FleetState::ApplyEvacuation(const std::string& zone, bool ended, std::string_view source,
                                 Time now) {
  indexes_outdated_ = true;
  if (ended) {
    evacuated_zones_.erase(zone);
    // Backend servers in the zone may have become cold during the evacuation.
    for (auto& [key, known] : servers_) {
      if (known.server.zone == zone) {
        known.cold_until = std::max(known.cold_until, now + kDefaultColdTime);
        NotifyStarted(known.server, "zone taken back", now);
      }
    }
  } else {
    evacuated_zones_.insert(zone);
  }
  log_.Write(Severity::kState, ended ? "zone_taken_back" : "zone_evacuated",
             {{"zone", zone}, {"source", source}});
}

void FleetState::StoreRecovered(Time now) {
  if (store_unreachable_) {
    store_unreachable_ = false;
    store_reachable_since_ = now;
  }
}

Duration FleetState::StoreReachableFor(Time now) const {
  return store_unreachable_ || positions_.empty() ? Duration{0} : now - store_reachable_since_;
}

bool FleetState::StoreConfirms(Topic topic, Time until, Duration period, Time now) const {
  const auto reads = store_reads_.find(topic);
  return reads != store_reads_.end() && reads->second.previous >= until &&
         StoreReachableFor(now) >= period;
}

void FleetState::PeerReachedStore(Duration reachable_for, std::int64_t generation, Time now) {
  const bool is_current =
      ResolveGeneration(Topic::kServers, generation) >= position(Topic::kServers).generation;
  if (reachable_for >= kStableStoreTime && is_current) {
    peer_reached_store_at_ = now;
  }
}

bool FleetState::StoreMayHaveBeenDown(Time now) const {
  const bool recently_unreachable = StoreReachableFor(now) < kReregistrationTime;
  return recently_unreachable && now - peer_reached_store_at_ > kPeerStoreStatusTtl;
}

}  // namespace lagoonwind::gateway
