#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "event_log.h"
#include "fleet_state.h"

namespace lagoonwind::testing {

using gateway::BackendServer;
using gateway::Configuration;
using gateway::EventLog;
using gateway::FleetState;
using gateway::OperatorChange;
using gateway::Record;
using gateway::RecordCodec;
using gateway::ServerId;
using gateway::Topic;

inline Time At(int ms) { return Time{std::chrono::seconds(100)} + std::chrono::milliseconds(ms); }

/// Decodes compact test records. The value of the record `config` is a configuration version; any
/// other operator record evacuates the zone of its key until it is deleted. A server record
/// consists of one digit for its start time, one for its sequence and an optional `d` for draining;
/// the value `odd` is malformed.
class TextCodec final : public RecordCodec {
 public:
  [[nodiscard]] absl::StatusOr<OperatorChange> DecodeOperatorRecord(
      const Record& record) const override {
    if (record.key != "config") {
      return OperatorChange{.evacuated_zone = record.key,
                            .evacuation_ended = !record.value.has_value()};
    }
    auto configuration = std::make_shared<Configuration>();
    configuration->version = std::stoll(*record.value);
    return OperatorChange{.configuration = configuration};
  }

  [[nodiscard]] absl::StatusOr<BackendServer> DecodeServer(const Record& record) const override {
    if (*record.value == "odd") {
      return absl::InvalidArgumentError("malformed server record");
    }
    BackendServer server{.name = record.key, .service = "s", .zone = "z"};
    const std::string& text = *record.value;
    server.start_time_ms = text[0] - '0';
    server.sequence = text[1] - '0';
    server.draining = text.ends_with('d');
    server.id = HandleOf<ServerId>(record.key + text.substr(0, 1));
    return server;
  }
};

/// A fleet state that receives records with increasing offsets.
struct FleetFixture {
  void Put(Topic topic, const std::string& key, const std::string& value, Time now) {
    fleet.Apply(topic, {.records = {{.key = key, .value = value}}, .next_offset = ++offset}, false,
                "test", now);
  }
  void Delete(const std::string& key, Time now) {
    fleet.Apply(Topic::kServers, {.records = {{.key = key}}, .next_offset = ++offset}, false,
                "test", now);
  }
  [[nodiscard]] std::size_t eligible_count() const { return fleet.EligibleServers("s").size(); }

  TextCodec codec;
  EventLog log{"test"};
  FleetState fleet{codec, log};
  std::int64_t offset = 0;
};

}  // namespace lagoonwind::testing
