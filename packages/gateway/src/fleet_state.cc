#include "fleet_state.h"

#include <algorithm>
#include <functional>
#include <numeric>

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
/// Cold-start period assumed for a backend server that may have restarted or been evacuated.
constexpr Duration kDefaultColdTime = std::chrono::seconds(3);

std::size_t SizeOf(const Record& record) {
  return record.key.size() + (record.value ? record.value->size() : 0);
}

}  // namespace

std::int64_t FleetState::offset(Topic topic) const {
  const auto found = offsets_.find(topic);
  return found == offsets_.end() ? 0 : found->second;
}

const std::map<std::string, std::string>& FleetState::records(Topic topic) const {
  static const std::map<std::string, std::string> kNone;
  const auto found = records_.find(topic);
  return found == records_.end() ? kNone : found->second;
}

std::vector<Record> FleetState::MissingRecords(const std::map<std::string, std::string>& known,
                                               const RecordPage& page) {
  std::vector<Record> missing;
  for (const auto& [key, value] : known) {
    if (std::ranges::find(page.records, key, &Record::key) == page.records.end()) {
      missing.push_back({.key = key});
    }
  }
  return missing;
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

void FleetState::Apply(Topic topic, const RecordPage& page, bool complete, std::string_view source,
                       Time now) {
  if (offsets_.empty()) {
    // The state of the store is unknown before the first response.
    store_reachable_since_ = now;
  }
  std::int64_t& offset = offsets_[topic];
  if (page.next_offset < offset) {
    return;
  }
  UpdateRecentChanges(topic, page, complete, offset);
  offset = page.next_offset;
  auto& known = records_[topic];
  std::vector<Record> changes = complete ? MissingRecords(known, page) : std::vector<Record>{};
  changes.insert(changes.end(), page.records.begin(), page.records.end());
  for (const Record& record : changes) {
    const auto previous = known.find(record.key);
    const bool unchanged =
        record.value.has_value() && previous != known.end() && previous->second == *record.value;
    if (record.value.has_value()) {
      known[record.key] = *record.value;
    } else {
      known.erase(record.key);
    }
    if (topic == Topic::kServers) {
      ApplyServerRecord(record, now);
    } else if (topic == Topic::kOperator && !unchanged) {
      ApplyOperatorRecord(record, source, now);
    }
  }
}

void FleetState::ApplyOperatorRecord(const Record& record, std::string_view source, Time now) {
  const auto change = codec_.DecodeOperatorRecord(record);
  if (!change.ok()) {
    log_.Write(Severity::kState, "record_not_understood",
               {{"key", record.key}, {"reason", change.status().ToString()}});
    return;
  }
  if (change->configuration != nullptr) {
    const std::int64_t known = configuration_ == nullptr ? -1 : configuration_->version;
    const bool newer = change->configuration->version > known;
    if (newer) {
      configuration_ = change->configuration;
    }
    log_.Write(Severity::kState, newer ? "configuration_in_force" : "configuration_ignored",
               {{"version", change->configuration->version},
                {"known", known},
                {"source", source},
                {"routes", change->configuration->routes.size()}});
  }
  if (change->evacuated_zone.empty()) {
    return;
  }
  const std::string& zone = change->evacuated_zone;
  indexes_outdated_ = true;
  if (change->evacuation_ended) {
    evacuated_zones_.erase(zone);
    // Backend servers in the zone may have become cold during the evacuation.
    for (auto& [key, known] : servers_) {
      if (known.server.zone == zone) {
        known.cold_until = std::max(known.cold_until, now + kDefaultColdTime);
      }
    }
  } else {
    evacuated_zones_.insert(zone);
  }
  log_.Write(Severity::kState, change->evacuation_ended ? "zone_taken_back" : "zone_evacuated",
             {{"zone", zone}, {"source", source}});
}

void FleetState::ApplyServerRecord(const Record& record, Time now) {
  if (!record.value.has_value()) {
    MarkMissing(record.key, now);
    return;
  }
  const auto decoded = codec_.DecodeServer(record);
  const auto known = servers_.find(record.key);
  if (!decoded.ok()) {
    log_.Write(Severity::kRoutine, "server_not_usable",
               {{"server", record.key}, {"reason", decoded.status().ToString()}});
    return;
  }
  if (known != servers_.end()) {
    const BackendServer& previous = known->second.server;
    const bool older =
        decoded->start_time_ms < previous.start_time_ms ||
        (decoded->start_time_ms == previous.start_time_ms && decoded->sequence < previous.sequence);
    if (older) {
      return;
    }
    if (decoded->id != previous.id) {
      RemoveServer(record.key, "restarted");
    }
  }
  indexes_outdated_ = true;
  const auto [it, inserted] = servers_.try_emplace(record.key);
  KnownServer& current = it->second;
  const bool changed =
      inserted || current.server.draining != decoded->draining || current.missing_since;
  current.server = *decoded;
  current.last_received = now;
  current.missing_since.reset();
  if (decoded->cold_left > milliseconds(0)) {
    current.cold_until = now + decoded->cold_left;
  }
  if (changed) {
    log_.Write(Severity::kState, "server_known",
               {{"server", decoded->name},
                {"service", decoded->service},
                {"zone", decoded->zone},
                {"draining", decoded->draining},
                {"cold_left_ms", decoded->cold_left.count()},
                {"sequence", decoded->sequence}});
  }
}

void FleetState::MarkMissing(const std::string& key, Time now) {
  const auto found = servers_.find(key);
  if (found == servers_.end()) {
    return;
  }
  if (StoreMayHaveBeenDown(now) && !found->second.server.draining) {
    found->second.missing_since = now;
    return;
  }
  RemoveServer(key, "gone from the store");
}

void FleetState::StoreRecovered(Time now) {
  if (store_unreachable_) {
    store_unreachable_ = false;
    store_reachable_since_ = now;
  }
}

Duration FleetState::StoreReachableFor(Time now) const {
  return store_unreachable_ || offsets_.empty() ? Duration{0} : now - store_reachable_since_;
}

void FleetState::PeerReachedStore(Duration reachable_for, Time now) {
  if (reachable_for >= kStableStoreTime) {
    peer_reached_store_at_ = now;
  }
}

bool FleetState::StoreMayHaveBeenDown(Time now) const {
  const bool recently_unreachable =
      store_unreachable_ || StoreReachableFor(now) < kReregistrationTime;
  return recently_unreachable && now - peer_reached_store_at_ > kPeerStoreStatusTtl;
}

void FleetState::RemoveMissingServers(Time now) {
  std::vector<std::string> expired;
  for (const auto& [key, known] : servers_) {
    if (known.missing_since && !StoreMayHaveBeenDown(now)) {
      expired.push_back(key);
    }
  }
  std::ranges::for_each(expired, [&](const auto& key) { RemoveServer(key, "didn't come back"); });
}

void FleetState::RemoveServer(const std::string& key, std::string_view reason) {
  const auto found = servers_.find(key);
  if (found == servers_.end()) {
    return;
  }
  const BackendServer server = found->second.server;
  servers_.erase(found);
  indexes_outdated_ = true;
  log_.Write(Severity::kState, "server_gone", {{"server", server.name}, {"reason", reason}});
  if (on_server_removed_) {
    on_server_removed_(server);
  }
}

void FleetState::AssumeRestarted(ServerId server, Time now) {
  for (auto& [key, known] : servers_) {
    if (known.server.id == server) {
      known.cold_until = std::max(known.cold_until, now + kDefaultColdTime);
    }
  }
}

void FleetState::UpdateIndexes() const {
  if (!indexes_outdated_) {
    return;
  }
  eligible_by_service_.clear();
  servers_by_id_.clear();
  for (const auto& [key, known] : servers_) {
    servers_by_id_.emplace(known.server.id, &known);
    if (!known.server.draining && !evacuated_zones_.contains(known.server.zone)) {
      eligible_by_service_[known.server.service].push_back(&known);
    }
  }
  indexes_outdated_ = false;
}

std::span<const KnownServer* const> FleetState::EligibleServers(std::string_view service) const {
  UpdateIndexes();
  const auto found = eligible_by_service_.find(std::string(service));
  return found == eligible_by_service_.end() ? std::span<const KnownServer* const>{}
                                             : found->second;
}

const KnownServer* FleetState::Find(ServerId id) const {
  UpdateIndexes();
  const auto found = servers_by_id_.find(id);
  return found == servers_by_id_.end() ? nullptr : found->second;
}

}  // namespace lagoonwind::gateway
