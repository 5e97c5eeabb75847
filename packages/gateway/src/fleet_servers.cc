// Backend servers of the fleet state: which records are evidence that a server runs.
#include <algorithm>
#include <utility>

#include "clock.h"
#include "fleet_state.h"

namespace lagoonwind::gateway {
namespace {

/// Servers of a service without any other that write again at the same time: they were cut off from
/// the store. The late writes of servers that leave seldom come together.
constexpr std::size_t kReturningServers = 2;

}  // namespace

void FleetState::ApplyServerRecord(const Record& record, bool is_change, std::string_view source,
                                   Time now) {
  auto& raw = records_[Topic::kServers];
  if (!record.value.has_value()) {
    raw.erase(record.key);
    doubtful_records_.erase(record.key);
    MarkMissing(record.key, now);
    return;
  }
  const auto decoded = codec_.DecodeServer(record);
  const auto known = servers_.find(record.key);
  if (!decoded.ok()) {
    raw[record.key] = *record.value;
    log_.Write(Severity::kRoutine, "server_not_usable",
               {{"server", record.key}, {"reason", decoded.status().ToString()}});
    return;
  }
  if (known != servers_.end()) {
    const BackendServer& previous = known->second.server;
    if (AgeOf(*decoded) < AgeOf(previous)) {
      log_.Write(Severity::kRoutine, "server_record_outdated",
                 {{"server", decoded->name},
                  {"source", source},
                  {"sequence", decoded->sequence},
                  {"known_sequence", previous.sequence},
                  {"same_start", decoded->start_time_ms == previous.start_time_ms}});
      return;
    }
    if (decoded->id != previous.id) {
      RemoveServer(record.key, "restarted", false, now);
    }
  } else if (const auto doubt =
                 departed_servers_.DoubtAbout(record.key, *decoded, is_change, now)) {
    AddDoubtfulRecord(record, *decoded, *doubt, source, now);
    return;
  }
  raw[record.key] = *record.value;
  doubtful_records_.erase(record.key);
  departed_servers_.Erase(record.key);
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
  // The first complete page lists servers that ran before this gateway started.
  if (inserted && (is_change || complete_pages_ > 1)) {
    NotifyStarted(current.server, "new", now);
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

void FleetState::AddDoubtfulRecord(const Record& record, const BackendServer& server,
                                   const Doubt& doubt, std::string_view source, Time now) {
  const auto [it, inserted] = doubtful_records_.try_emplace(record.key);
  it->second = {
      .record = record, .service = server.service, .doubt = inserted ? doubt : it->second.doubt};
  if (inserted) {
    log_.Write(Severity::kState, "server_doubtful",
               {{"server", server.name},
                {"source", source},
                {"sequence", server.sequence},
                {"unused_ms", Milliseconds(doubt.until - now)}});
  }
  if (doubt.may_be_newer) {
    EndDoubtsOfService(server.service, now);
  }
}

void FleetState::EndDoubtsOfService(const std::string& service, Time now) {
  std::vector<Record> returning;
  for (const auto& [key, doubtful] : doubtful_records_) {
    if (doubtful.doubt.may_be_newer && doubtful.service == service) {
      returning.push_back(doubtful.record);
    }
  }
  if (returning.size() < kReturningServers || !EligibleServers(service).empty()) {
    return;
  }
  for (const Record& record : returning) {
    departed_servers_.Erase(record.key);
    ApplyServerRecord(record, false, "servers_return", now);
  }
}

std::vector<Departure> FleetState::Departures() const {
  std::vector<Departure> departures = departed_servers_.All();
  for (const auto& [key, known] : servers_) {
    if (known.server.draining) {
      departures.push_back(
          {.key = key, .age = AgeOf(known.server), .at = known.last_received, .draining = true});
    }
  }
  return departures;
}

void FleetState::MergeDeparture(const Departure& departure, Time now) {
  const auto found = servers_.find(departure.key);
  if (found == servers_.end()) {
    departed_servers_.Add(departure, now);
    return;
  }
  BackendServer& server = found->second.server;
  if (departure.draining) {
    const bool is_newer =
        departure.age.first == server.start_time_ms && departure.age >= AgeOf(server);
    if (is_newer && !server.draining) {
      server.draining = true;
      server.sequence = departure.age.second;
      indexes_outdated_ = true;
      log_.Write(Severity::kState, "server_drains",
                 {{"server", server.name}, {"source", "peer"}, {"sequence", server.sequence}});
    }
    return;
  }
  departed_servers_.Add(departure, now);
  const auto doubt = departed_servers_.DoubtAbout(departure.key, server, false, now);
  if (!doubt) {
    departed_servers_.Erase(departure.key);
    return;
  }
  auto& raw = records_[Topic::kServers];
  const Record record{.key = departure.key, .value = raw[departure.key]};
  AddDoubtfulRecord(record, server, *doubt, "peer", now);
  raw.erase(departure.key);
  RemoveServer(departure.key, "gone, as a peer states", false, now);
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
  RemoveServer(key, "gone from the store", true, now);
}

void FleetState::RemoveMissingServers(Time now) {
  std::vector<std::string> expired;
  for (const auto& [key, known] : servers_) {
    if (known.missing_since && !StoreMayHaveBeenDown(now)) {
      expired.push_back(key);
    }
  }
  std::ranges::for_each(
      expired, [&](const auto& key) { RemoveServer(key, "didn't come back", false, now); });
}

void FleetState::RemoveServer(const std::string& key, std::string_view reason, bool stated,
                              Time now) {
  const auto found = servers_.find(key);
  if (found == servers_.end()) {
    return;
  }
  const BackendServer server = found->second.server;
  servers_.erase(found);
  departed_servers_.Add({.key = key, .age = AgeOf(server), .at = now, .stated = stated}, now);
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
      NotifyStarted(known.server, "connection refused", now);
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
