#include "record_copier.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "clock.h"
#include "lagoonwind/http.h"
#include "quarantined_request_log.h"

namespace lagoonwind::gateway {
namespace {

using nlohmann::json;

/// Interval between searches for a peer with newer records.
constexpr milliseconds kCopyInterval{250};
constexpr milliseconds kCopyTimeout{1500};
constexpr std::string_view kRecordsPath = "/records";
constexpr std::string_view kEvidencePath = "/evidence";
/// Longest time for which a gateway that starts waits for the evidence that its peers have.
constexpr Duration kMaxEvidenceWait = std::chrono::seconds(2);
/// Peers that are asked for evidence after each gap, if none of them has all.
constexpr int kMaxEvidenceCopies = 8;
constexpr unsigned kNotFound = 404;
/// Largest generation that a sound peer states.
constexpr std::int64_t kMaxGeneration = std::int64_t{1} << 48U;
/// Longest remaining time of a held evacuation, and highest age of an event, that are taken from
/// a peer.
constexpr std::int64_t kMaxHeldMilliseconds = 3'600'000;
constexpr std::int64_t kMaxAgeMilliseconds = 3'600'000;
constexpr const char* kGenerationField = "generation";
constexpr const char* kHeldField = "held_ms";
/// Offsets of the records of roll-out orders, by key.
constexpr const char* kOffsetsField = "offsets";
constexpr const char* kAgeField = "age_ms";
/// Largest number of suspects that a peer is told of.
constexpr std::size_t kMaxCopiedSuspects = 512;
/// Largest number of trials that is taken from a peer.
constexpr std::int64_t kMaxTrials = 64;
constexpr const char* kConfigurationParameter = "configuration";
const std::array<std::pair<const char*, Topic>, 2> kCopiedTopics{
    {{"operator", Topic::kOperator}, {"servers", Topic::kServers}}};

/// Decodes a topic: either all of its records, or the changes since the requested offset.
/// \return DataLoss if the position is out of range. Throws json::exception at malformed fields.
absl::StatusOr<RecordPage> ParsePage(const json& topic) {
  RecordPage page{.next_offset = topic.at("next_offset"),
                  .generation = topic.value(kGenerationField, std::int64_t{0})};
  if (page.next_offset < 0 || page.generation < 0 || page.generation > kMaxGeneration) {
    return absl::DataLossError(absl::StrCat("the peer states offset ", page.next_offset,
                                            " of generation ", page.generation));
  }
  if (topic.contains("changes")) {
    for (const json& change : topic.at("changes")) {
      Record record{.key = change.at("key")};
      if (const auto value = change.find("value"); value != change.end()) {
        record.value = value->get<std::string>();
      }
      page.records.push_back(std::move(record));
    }
    // Changes have consecutive offsets, the last of which precedes the end.
    std::int64_t offset = page.next_offset - std::ssize(page.records);
    for (Record& record : page.records) {
      record.offset = offset++;
    }
    return page;
  }
  const json offsets = topic.value(kOffsetsField, json::object());
  for (const auto& [key, value] : topic.at("records").items()) {
    Record record{.key = key, .value = value.get<std::string>()};
    if (const auto offset = offsets.find(key); offset != offsets.end()) {
      record.offset = offset->get<std::int64_t>();
    }
    page.records.push_back(std::move(record));
  }
  return page;
}

json ChangesJson(const RecordPage& page) {
  json changes = json::array();
  for (const Record& record : page.records) {
    json change{{"key", record.key}};
    if (record.value) {
      change["value"] = *record.value;
    }
    changes.push_back(std::move(change));
  }
  return {{"next_offset", page.next_offset}, {"changes", std::move(changes)}};
}

std::string GenerationParameter(std::string_view topic) {
  return absl::StrCat(std::string(topic), "_", kGenerationField);
}

/// Integer that a request states; absent if it states none.
std::optional<std::int64_t> IntegerParameter(std::string_view target, std::string_view name) {
  std::int64_t value = 0;
  const bool stated = absl::SimpleAtoi(http::QueryParameter(target, name), &value);
  return stated ? std::optional(value) : std::nullopt;
}

std::int64_t AgeInMilliseconds(Time at, Time now) {
  return std::chrono::duration_cast<milliseconds>(now - at).count();
}

/// Time of an event that a peer states with its age. Throws json::exception at malformed fields.
Time TimeOf(const json& event, Time now) {
  return now - milliseconds(std::clamp(event.at(kAgeField).get<std::int64_t>(), std::int64_t{0},
                                       kMaxAgeMilliseconds));
}

json SuspectJson(const policy::SuspectRequest& suspect, Time now) {
  json crashes = json::array();
  for (const policy::ServerCrash& crash : suspect.crashes) {
    crashes.push_back(
        {{"server", crash.server.value}, {kAgeField, AgeInMilliseconds(crash.at, now)}});
  }
  return {{"digest", suspect.digest.value},
          {"crashes", std::move(crashes)},
          {kAgeField, AgeInMilliseconds(suspect.last_crash, now)},
          {"trials", suspect.trials},
          {"quarantined", suspect.quarantined}};
}

/// Throws json::exception at malformed fields.
policy::SuspectRequest ParseSuspect(const json& fields, Time now) {
  policy::SuspectRequest suspect{
      .digest = {fields.at("digest").get<std::uint64_t>()},
      .last_crash = TimeOf(fields, now),
      .trials = static_cast<int>(
          std::clamp(fields.at("trials").get<std::int64_t>(), std::int64_t{0}, kMaxTrials)),
      .quarantined = fields.at("quarantined")};
  for (const json& crash : fields.at("crashes")) {
    suspect.crashes.push_back(
        {.server = {crash.at("server").get<std::uint64_t>()}, .at = TimeOf(crash, now)});
  }
  return suspect;
}

/// Takes the records of evacuations that the peer holds out of the page.
RecordPage TakeHeld(RecordPage& page, const std::map<std::string, milliseconds>& held) {
  RecordPage taken{.next_offset = page.next_offset, .generation = page.generation};
  const auto rest =
      std::stable_partition(page.records.begin(), page.records.end(),
                            [&](const Record& record) { return !held.contains(record.key); });
  taken.records.assign(rest, page.records.end());
  page.records.erase(rest, page.records.end());
  return taken;
}

}  // namespace

RecordCopier::RecordCopier(Options options) : options_(std::move(options)), created_(Now()) {}

bool RecordCopier::NeedsAllRecords(std::string_view target, std::string_view name,
                                   Topic topic) const {
  const FleetState& fleet = options_.fleet;
  const auto generation = IntegerParameter(target, GenerationParameter(name));
  if (generation.value_or(0) != fleet.position(topic).generation) {
    return true;
  }
  const auto configuration = IntegerParameter(target, kConfigurationParameter);
  return topic == Topic::kOperator &&
         (configuration.value_or(fleet.configuration_version()) < fleet.configuration_version() ||
          fleet.held_digest() != 0);
}

std::string RecordCopier::RecordsJson(std::string_view target) const {
  const FleetState& fleet = options_.fleet;
  json topics;
  for (const auto& [name, topic] : kCopiedTopics) {
    const auto from = IntegerParameter(target, name);
    const auto changes = from && !NeedsAllRecords(target, name, topic)
                             ? fleet.ChangesSince(topic, *from)
                             : std::nullopt;
    topics[name] =
        changes ? ChangesJson(*changes)
                : json{{"next_offset", fleet.offset(topic)}, {"records", fleet.records(topic)}};
    topics[name][kGenerationField] = fleet.position(topic).generation;
  }
  topics["operator"][kOffsetsField] = fleet.rollout_offsets();
  json& held = topics["operator"][kHeldField] = json::object();
  for (const auto& [key, remaining] : fleet.HeldEvacuations(Now())) {
    held[key] = remaining.count();
  }
  return topics.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status RecordCopier::ApplyCopy(const json& copy) {
  FleetState& fleet = options_.fleet;
  for (const auto& [name, topic] : kCopiedTopics) {
    const json& fields = copy.at(name);
    auto parsed = ParsePage(fields);
    if (!parsed.ok()) {
      return parsed.status();
    }
    RecordPage page = *std::move(parsed);
    page.generation = fleet.ResolveGeneration(topic, page.generation);
    std::map<std::string, milliseconds> remaining;
    const json held_ms = fields.value(kHeldField, json::object());
    for (const auto& [key, time] : held_ms.items()) {
      remaining[key] =
          milliseconds(std::clamp(time.get<std::int64_t>(), std::int64_t{0}, kMaxHeldMilliseconds));
    }
    const RecordPage held = TakeHeld(page, remaining);
    if (fleet.IsNewer(topic, PositionAfter(page), Now())) {
      fleet.Apply(topic, page, fields.contains("records"), "peer", Now());
    }
    if (topic == Topic::kOperator) {
      fleet.ApplyNewerConfiguration(page, "peer", Now());
      fleet.HoldEvacuations(held, remaining, "peer", Now());
    }
  }
  return absl::OkStatus();
}

std::string RecordCopier::EvidenceJson() const {
  const Time now = Now();
  json departures = json::array();
  for (const Departure& departure : options_.fleet.Departures()) {
    departures.push_back({{"key", departure.key},
                          {"start_time_ms", departure.age.first},
                          {"sequence", departure.age.second},
                          {kAgeField, AgeInMilliseconds(departure.at, now)},
                          {"stated", departure.stated},
                          {"draining", departure.draining}});
  }
  json suspects = json::array();
  for (const policy::SuspectRequest& suspect :
       options_.suspects.Suspects(kMaxCopiedSuspects, now)) {
    suspects.push_back(SuspectJson(suspect, now));
  }
  const json body{{"departures", std::move(departures)},
                  {"suspects", std::move(suspects)},
                  {"complete", KnowsEvidence(now)}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool RecordCopier::ApplyEvidence(const json& body) {
  const Time now = Now();
  for (const json& item : body.at("departures")) {
    options_.fleet.MergeDeparture({.key = item.at("key"),
                                   .age = {item.at("start_time_ms").get<std::int64_t>(),
                                           item.at("sequence").get<std::int64_t>()},
                                   .at = TimeOf(item, now),
                                   .stated = item.at("stated"),
                                   .draining = item.at("draining")},
                                  now);
  }
  for (const json& item : body.at("suspects")) {
    const policy::SuspectRequest suspect = ParseSuspect(item, now);
    if (options_.suspects.Merge(suspect, now)) {
      LogQuarantinedRequest(options_.log, suspect.digest, "peer");
    }
  }
  return body.at("complete").get<bool>();
}

bool RecordCopier::KnowsEvidence(Time now) const {
  return evidence_known_ || now - created_ >= kMaxEvidenceWait;
}

asio::awaitable<absl::StatusOr<bool>> RecordCopier::CopyEvidenceFrom(std::string address) {
  http::Request request{.target = std::string(kEvidencePath)};
  const std::string endpoint = absl::StrCat(address, ":", options_.peer_port);
  auto response = co_await http::Fetch(endpoint, std::move(request), kCopyTimeout);
  if (!response.ok()) {
    co_return response.status();
  }
  if (response->status == kNotFound) {
    co_return absl::UnimplementedError("the peer is of a version without evidence");
  }
  const json body = json::parse(response->body, nullptr, false);
  try {
    co_return ApplyEvidence(body);
  } catch (const json::exception& error) {
    co_return absl::DataLossError(error.what());
  }
}

asio::awaitable<void> RecordCopier::CopyEvidence() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::uint64_t copied_pages = 0;
  int copies = 0;
  for (;;) {
    const std::uint64_t pages = options_.fleet.complete_pages();
    const std::string peer =
        pages == copied_pages ? std::string() : options_.find_live_peer(copies);
    if (!peer.empty()) {
      const absl::StatusOr<bool> complete = co_await CopyEvidenceFrom(peer);
      options_.log.Write(Severity::kState, "evidence_copied",
                         {{"peer", peer},
                          {"outcome", complete.status().ToString()},
                          {"complete", complete.ok() && *complete}});
      const bool is_complete = complete.ok() && *complete;
      evidence_known_ = evidence_known_ || is_complete;
      if (is_complete || ++copies >= kMaxEvidenceCopies) {
        copied_pages = pages;
        copies = 0;
      }
    }
    timer.expires_after(kCopyInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> RecordCopier::ServeRecords() {
  const http::Handler handler = [this](http::Request request) -> asio::awaitable<http::Response> {
    if (request.target == kEvidencePath) {
      co_return http::Response{
          .status = 200, .content_type = "application/json", .body = EvidenceJson()};
    }
    if (request.target.substr(0, request.target.find('?')) != kRecordsPath) {
      co_return http::Response{.status = kNotFound};
    }
    co_return http::Response{
        .status = 200, .content_type = "application/json", .body = RecordsJson(request.target)};
  };
  co_await http::Serve(options_.acceptor, handler, 0);
}

asio::awaitable<absl::Status> RecordCopier::CopyFrom(std::string address) {
  const std::string endpoint = absl::StrCat(address, ":", options_.peer_port);
  std::string target = std::string(kRecordsPath);
  char separator = '?';
  for (const auto& [name, topic] : kCopiedTopics) {
    const StorePosition position = options_.fleet.position(topic);
    absl::StrAppend(&target, std::string(1, separator), name, "=", position.offset, "&",
                    GenerationParameter(name), "=", position.generation);
    separator = '&';
  }
  absl::StrAppend(&target, "&", kConfigurationParameter, "=",
                  options_.fleet.configuration_version());
  http::Request request{.target = std::move(target)};
  auto response = co_await http::Fetch(endpoint, std::move(request), kCopyTimeout);
  if (response.ok() && response->status == kNotFound) {
    // An older version, which serves only all records.
    http::Request all_records{.target = std::string(kRecordsPath)};
    response = co_await http::Fetch(endpoint, std::move(all_records), kCopyTimeout);
  }
  if (!response.ok()) {
    co_return response.status();
  }
  const json body = json::parse(response->body, nullptr, false);
  try {
    co_return ApplyCopy(body);
  } catch (const json::exception& error) {
    co_return absl::DataLossError(error.what());
  }
}

asio::awaitable<void> RecordCopier::CopyNewerRecords() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::string previous_newer;
  for (;;) {
    // A peer counts as newer only if it still is after one interval: normally the store sends new
    // records to all gateways within that time.
    const std::string newer = options_.find_newer_peer();
    if (!newer.empty() && !previous_newer.empty()) {
      const absl::Status copied = co_await CopyFrom(newer);
      options_.log.Write(Severity::kState, "records_copied",
                         {{"peer", newer},
                          {"outcome", copied.ToString()},
                          {"operator_offset", options_.fleet.offset(Topic::kOperator)},
                          {"servers_offset", options_.fleet.offset(Topic::kServers)}});
    }
    previous_newer = newer;
    timer.expires_after(kCopyInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace lagoonwind::gateway
