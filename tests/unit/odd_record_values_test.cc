#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "event_log.h"
#include "fleet_state.h"
#include "lagoonwind/users_platform.h"

namespace lagoonwind::users_platform {
namespace {

using gateway::milliseconds;
using gateway::Record;
using gateway::Topic;
using nlohmann::json;

/// Levels of nesting that fit into the largest record of the store.
constexpr std::size_t kDeepLevels = 120'000;

std::string NestedArrays(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

std::string NestedObjects(std::size_t levels) {
  std::string text;
  for (std::size_t i = 0; i < levels; ++i) {
    text += R"({"":)";
  }
  return text + "1" + std::string(levels, '}');
}

json ServerJson() {
  return {{"backend", "s"},       {"addr", "1.2.3.4:5"}, {"zone", "z"},         {"version", "v1"},
          {"slots", 64},          {"state", "ready"},    {"cold_left_ms", 100}, {"seq", 4},
          {"born", 1700000000000}};
}

json ConfigurationJson() {
  return {{"version", 7},
          {"routes",
           {{{"name", "a"},
             {"host", "h"},
             {"path_prefix", "/x/"},
             {"type", "idempotent"},
             {"timeout_ms", 5000},
             {"slo_ms", 600},
             {"backends", {{{"backend", "s"}, {"weight", 90}}}},
             {"max_attempts", 2}}}},
          {"services",
           {{{"name", "s"},
             {"max_conns", 360},
             {"cold_s", 3.5},
             {"cold_per_s", 13.0},
             {"engine", {{"slots", 64}, {"kv_capacity", 1000}}}}}},
          {"limits",
           {{"max_header_bytes", 1000},
            {"max_body_bytes", 2000},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000},
            {"tokens_per_s", 5}}},
          {"tenants", {{{"name", "c"}, {"api_keys", {"k1"}}}}}};
}

/// Value of `root` with the member at `path` replaced by unparsed JSON text.
std::string WithMember(json root, const char* path, const std::string& text) {
  constexpr const char* kPlaceholder = "placeholder of the member";
  root[json::json_pointer(path)] = kPlaceholder;
  std::string value = root.dump();
  const std::string quoted = std::string("\"") + kPlaceholder + "\"";
  value.replace(value.find(quoted), quoted.size(), text);
  return value;
}

auto DecodeServer(const std::string& value, const std::string& key = "i-1") {
  return MakeRecordCodec()->DecodeServer({.key = key, .value = value});
}

auto DecodeConfiguration(const std::string& value) {
  return MakeRecordCodec()->DecodeOperatorRecord({.key = "config", .value = value});
}

Time At(std::chrono::milliseconds time) { return Time{std::chrono::seconds(100)} + time; }

/// A fleet state that receives one record of a server after the other.
struct FleetFixture {
  void Put(const std::string& key, const std::string& value, Time now = At(milliseconds(0))) {
    fleet.Apply(Topic::kServers,
                {.records = {{.key = key, .value = value}}, .next_offset = ++offset}, false, "test",
                now);
  }
  void Delete(const std::string& key) {
    fleet.Apply(Topic::kServers, {.records = {{.key = key}}, .next_offset = ++offset}, false,
                "test", At(std::chrono::hours(1)));
  }
  [[nodiscard]] std::vector<std::string> Addresses() const {
    std::vector<std::string> addresses;
    for (const gateway::KnownServer* known : fleet.EligibleServers("s")) {
      addresses.push_back(known->server.address);
    }
    return addresses;
  }

  std::unique_ptr<gateway::RecordCodec> codec = MakeRecordCodec();
  gateway::EventLog log{"test"};
  gateway::FleetState fleet{*codec, log};
  std::int64_t offset = 0;
};

constexpr std::array<const char*, 9> kServerFields{
    "/backend", "/addr", "/zone", "/slots", "/state", "/cold_left_ms", "/seq", "/born", "/unknown"};
constexpr std::array<const char*, 20> kConfigurationFields{"/version",
                                                           "/routes",
                                                           "/routes/0",
                                                           "/routes/0/name",
                                                           "/routes/0/timeout_ms",
                                                           "/routes/0/slo_ms",
                                                           "/routes/0/max_attempts",
                                                           "/routes/0/backends",
                                                           "/routes/0/backends/0/weight",
                                                           "/services",
                                                           "/services/0",
                                                           "/services/0/max_conns",
                                                           "/services/0/engine",
                                                           "/limits",
                                                           "/limits/max_body_bytes",
                                                           "/limits/unknown",
                                                           "/tenants",
                                                           "/tenants/0",
                                                           "/tenants/0/api_keys",
                                                           "/unknown"};

}  // namespace

TEST_CASE("the unchanged records of these tests are decoded") {
  const auto server = DecodeServer(ServerJson().dump());
  REQUIRE(server.ok());
  CHECK(server->slots == 64);
  CHECK(server->cold_left == milliseconds(100));
  const auto change = DecodeConfiguration(ConfigurationJson().dump());
  REQUIRE(change.ok());
  CHECK(change->configuration->services.at("s").cold_duration == milliseconds(3500));
}

TEST_CASE("a deeply nested record does not overflow the stack") {
  for (const std::string& deep : {NestedArrays(kDeepLevels), NestedObjects(40'000)}) {
    CHECK(!DecodeServer(deep).ok());
    CHECK(!DecodeConfiguration(deep).ok());
    CHECK(!DecodeSettings(deep).ok());
    for (const char* field : kServerFields) {
      CAPTURE(field);
      CHECK(!DecodeServer(WithMember(ServerJson(), field, deep)).ok());
    }
    for (const char* field : kConfigurationFields) {
      CAPTURE(field);
      CHECK(!DecodeConfiguration(WithMember(ConfigurationJson(), field, deep)).ok());
    }
  }
  CHECK(!DecodeServer(std::string(kDeepLevels, '[')).ok());
  CHECK(!DecodeConfiguration(std::string(kDeepLevels, '[')).ok());
}

TEST_CASE("a server record with a number out of range is not usable") {
  for (const char* number :
       {"1e300", "-1e300", "-1", "1e19", "9223372036854775808", "18446744073709551615",
        "-9223372036854775809", "9223372036854775807", "1e15"}) {
    for (const char* field : {"/slots", "/cold_left_ms", "/born"}) {
      CAPTURE(field);
      CAPTURE(number);
      CHECK(!DecodeServer(WithMember(ServerJson(), field, number)).ok());
    }
  }
  for (const char* number : {"1e300", "-1e300", "-1", "1e19", "9223372036854775808", "0.5"}) {
    CAPTURE(number);
    CHECK(!DecodeServer(WithMember(ServerJson(), "/seq", number)).ok());
  }
  CHECK(!DecodeServer(WithMember(ServerJson(), "/slots", "2147483648")).ok());
  CHECK(!DecodeServer(WithMember(ServerJson(), "/born", "0")).ok());
  CHECK(!DecodeServer(WithMember(ServerJson(), "/born", "1700000000000.5")).ok());
}

TEST_CASE("a server record without a start time is usable") {
  json value = ServerJson();
  value.erase("born");
  const auto server = DecodeServer(value.dump());
  REQUIRE(server.ok());
  CHECK(server->start_time_ms == 0);
}

TEST_CASE("a configuration with a number out of range is rejected") {
  for (const char* field :
       {"/version", "/routes/0/timeout_ms", "/routes/0/slo_ms", "/routes/0/max_attempts",
        "/routes/0/backends/0/weight", "/services/0/max_conns", "/services/0/cold_s",
        "/services/0/cold_per_s", "/services/0/engine/slots", "/services/0/engine/kv_capacity",
        "/limits/max_header_bytes", "/limits/max_body_bytes", "/limits/header_timeout_ms",
        "/limits/idle_timeout_ms", "/limits/tokens_per_s"}) {
    for (const char* number : {"1e300", "-1e300", "-1"}) {
      CAPTURE(field);
      CAPTURE(number);
      CHECK(!DecodeConfiguration(WithMember(ConfigurationJson(), field, number)).ok());
    }
  }
}

TEST_CASE("integers beyond the precision of a double are compared exactly") {
  const auto earlier =
      DecodeConfiguration(WithMember(ConfigurationJson(), "/version", "9007199254740992"));
  const auto later =
      DecodeConfiguration(WithMember(ConfigurationJson(), "/version", "9007199254740993"));
  REQUIRE(earlier.ok());
  REQUIRE(later.ok());
  CHECK(later->configuration->version > earlier->configuration->version);
}

TEST_CASE("a server record without a field is not usable") {
  for (const char* field : {"backend", "addr", "zone", "slots", "state", "cold_left_ms", "seq"}) {
    CAPTURE(field);
    json record = ServerJson();
    record.erase(field);
    CHECK(!DecodeServer(record.dump()).ok());
    record[field] = json::array();
    CHECK(!DecodeServer(record.dump()).ok());
  }
}

TEST_CASE("a server record without a start time is older than any with one") {
  FleetFixture fixture;
  json record = ServerJson();
  record.erase("born");
  record["addr"] = "1.2.3.4:6";
  fixture.Put("i-1", record.dump());
  CHECK(fixture.Addresses() == std::vector<std::string>{"1.2.3.4:6"});
  fixture.Put("i-1", ServerJson().dump());
  record["seq"] = 1'000;
  fixture.Put("i-1", record.dump());
  CHECK(fixture.Addresses() == std::vector<std::string>{"1.2.3.4:5"});
  record["born"] = json::array();
  CHECK(!DecodeServer(record.dump()).ok());
}

TEST_CASE("a server record without a usable address is not usable") {
  for (const char* address :
       {"", ":", "1.2.3.4", "1.2.3.4:", ":80", "1.2.3.4:0", "1.2.3.4:70000", "1.2.3.4:-1",
        "1.2.3.4:x", "1.2.3.4:5x", "host:80", "1.2.3:80", "1.2.3.4.5:80", "0.0.0.0:80",
        "255.255.255.255:80", "224.0.0.1:80", "[::]:80", ":::80", "1.2.3.4:99999999999999999999"}) {
    CAPTURE(address);
    json record = ServerJson();
    record["addr"] = address;
    CHECK(!DecodeServer(record.dump()).ok());
  }
}

TEST_CASE("a key that no header field can carry names no server") {
  for (const std::string& key :
       {std::string(), std::string("i-1\r\nX-Tenant: other"), std::string("i-1\0", 4),
        std::string("i\n1"), std::string(" i-1"), std::string("i-1\t"), std::string("i\x7f")}) {
    CAPTURE(key);
    CHECK(!DecodeServer(ServerJson().dump(), key).ok());
  }
}

TEST_CASE("limits of another type do not replace the limits by zero") {
  for (const char* text : {"[]", "5", "\"a\""}) {
    CHECK(!DecodeConfiguration(WithMember(ConfigurationJson(), "/limits", text)).ok());
  }
  for (const char* field : {"/limits/max_header_bytes", "/limits/max_body_bytes",
                            "/limits/header_timeout_ms", "/limits/idle_timeout_ms"}) {
    CAPTURE(field);
    CHECK(!DecodeConfiguration(WithMember(ConfigurationJson(), field, "\"5\"")).ok());
  }
}

TEST_CASE("a configuration without its list of routes is rejected") {
  for (const char* field : {"routes", "services", "tenants"}) {
    CAPTURE(field);
    json configuration = ConfigurationJson();
    configuration[field] = json::object();
    CHECK(!DecodeConfiguration(configuration.dump()).ok());
    configuration[field] = "text";
    CHECK(!DecodeConfiguration(configuration.dump()).ok());
  }
  json configuration = ConfigurationJson();
  configuration.erase("routes");
  CHECK(!DecodeConfiguration(configuration.dump()).ok());
}

TEST_CASE("an error about a record is bounded") {
  constexpr std::size_t kMaxErrorBytes = 1000;
  const std::string text(200'000, 'a');
  for (const std::string& value :
       {"{\"version\": \"" + text,
        WithMember(ConfigurationJson(), "/routes/0/type", '"' + text + '"'), "{" + text}) {
    const auto change = DecodeConfiguration(value);
    REQUIRE(!change.ok());
    CHECK(change.status().message().size() < kMaxErrorBytes);
  }
  json record = ServerJson();
  record["addr"] = text;
  CHECK(DecodeServer(record.dump()).status().message().size() < kMaxErrorBytes);
}

TEST_CASE("an unusable record in place of a good one neither ends nor outlives the server's use") {
  FleetFixture fixture;
  fixture.Put("i-1", ServerJson().dump());
  const std::vector<std::string> known{"1.2.3.4:5"};
  for (const std::string& value :
       {NestedArrays(kDeepLevels), std::string("\xff"), WithMember(ServerJson(), "/seq", "1e300"),
        WithMember(ServerJson(), "/seq", "1e18"), WithMember(ServerJson(), "/born", "1e300"),
        WithMember(ServerJson(), "/born", "1e18"), WithMember(ServerJson(), "/born", "-1e300"),
        WithMember(ServerJson(), "/addr", "\"1.2.3.4:70000\"")}) {
    CAPTURE(value.substr(0, 200));
    fixture.Put("i-1", value);
    CHECK(fixture.Addresses() == known);
  }
  json record = ServerJson();
  record["seq"] = 5;
  record["state"] = "draining";
  fixture.Put("i-1", record.dump());
  CHECK(fixture.Addresses().empty());
  record["seq"] = 6;
  record["state"] = "ready";
  fixture.Put("i-1", record.dump());
  CHECK(fixture.Addresses() == known);
  fixture.Put("i-1", "odd");
  fixture.Delete("i-1");
  CHECK(fixture.Addresses().empty());
}

TEST_CASE("an odd record that is rewritten often does not fill the memory") {
  constexpr std::size_t kMaxBytes = 8UL << 20U;
  const std::string large(250'000, '[');
  FleetFixture fixture;
  for (int i = 0; i < 500; ++i) {
    fixture.Put("odd", large);
  }
  std::size_t kept = 0;
  for (std::int64_t offset = 0; offset <= fixture.offset; ++offset) {
    if (const auto changes = fixture.fleet.ChangesSince(Topic::kServers, offset)) {
      kept = std::max(kept, changes->records.size() * large.size());
    }
  }
  CHECK(kept <= kMaxBytes);
  fixture.Put("i-1", ServerJson().dump());
  CHECK(fixture.fleet.ChangesSince(Topic::kServers, fixture.offset - 1)->records.size() == 1);
}

TEST_CASE("a log field holds a bounded part of a text") {
  constexpr std::size_t kMaxBytes = 20'000;
  std::string text;
  gateway::LogValue(std::string(250'000, '\x01')).AppendTo(text);
  CHECK(text.size() < kMaxBytes);
  CHECK(json::parse(text).is_string());
}

}  // namespace lagoonwind::users_platform
