#include "lagoonwind/users_platform.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

namespace lagoonwind::users_platform {
namespace {

using gateway::Record;

constexpr const char* kSettings = R"({
  "node_name": "edge-1", "zone": "z1", "ip": "127.0.0.9", "unknown": 1,
  "listen": {"front": "127.0.0.9:1000", "ready": "127.0.0.9:1001"},
  "port_range": [7400, 7415], "seeds": ["127.0.0.8:99", "127.0.0.9:99"],
  "limits": {"ram_mb": 110}, "bounds": {"retry_ratio": 0.3, "retry_slack": 54, "grace_s": 6},
  "platform": {"addr": "127.0.0.1:5"}})";

constexpr const char* kConfiguration = R"({"version": 7,
  "routes": [
    {"name": "a", "host": "h", "path_prefix": "/x/", "type": "streaming", "timeout_ms": 5000,
     "slo_ms": 600, "backends": [{"backend": "s", "weight": 90}, {"backend": "t", "weight": 10}],
     "max_attempts": 2, "resumable": true},
    {"name": "b", "host": "h", "path_prefix": "/x/y/", "type": "mutating", "timeout_ms": 1000,
     "slo_ms": 300, "backend": "t", "public": true}],
  "services": [{"name": "s", "max_conns": 360, "cold_s": 3.0, "cold_per_s": 13.0,
                "engine": {"slots": 64, "kv_capacity": 1000}}, {"name": "t"}],
  "limits": {"max_header_bytes": 1000, "max_body_bytes": 2000, "tokens_per_s": 5},
  "tenants": [{"name": "c", "api_keys": ["k1", "k2"]}]})";

gateway::RequestHead ValidRequestHead() {
  gateway::RequestHead head;
  head.method_string("POST");
  head.target("/x/1?q=2");
  head.set("Host", "h");
  head.set("X-Attempt-Id", "id1");
  head.set("Authorization", "Bearer k1");
  head.set("X-Deadline-Ms", "1500");
  head.set("X-Token-Usage", "1460,80");
  head.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  return head;
}

/// Encodes `value` in `bytes` bytes, most significant first.
std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
  return out;
}

/// Body of a read response: end offset, oldest retained offset, encoded records.
std::string RecordPageBody(std::uint64_t end, std::uint64_t oldest, const std::string& records) {
  return BigEndian(end, 8) + BigEndian(oldest, 8) + records;
}

}  // namespace

TEST_CASE("settings are decoded, and errors state their key") {
  const auto settings = DecodeSettings(kSettings);
  REQUIRE(settings.ok());
  CHECK(settings->name == "edge-1");
  CHECK(settings->caller_listen == "127.0.0.9:1000");
  CHECK(settings->peer_port == 7400);
  CHECK(settings->seeds == std::vector<std::string>{"127.0.0.8", "127.0.0.9"});
  CHECK(settings->memory_bytes == 110UL << 20U);
  CHECK(settings->retry_ratio == 0.3);
  CHECK(settings->shutdown_grace == std::chrono::seconds(6));
  CHECK(settings->store_address == "127.0.0.1:5");
  CHECK(!DecodeSettings("{").ok());
  CHECK(!DecodeSettings("[]").ok());
  std::string text(kSettings);
  text.replace(text.find(R"("zone": "z1")"), 12, R"("zone": 5)");
  const auto mistyped = DecodeSettings(text);
  REQUIRE(!mistyped.ok());
  CHECK(mistyped.status().message().find("settings.zone isn't a text") != std::string::npos);
}

TEST_CASE("configurations are decoded, and the longest matching path prefix selects the route") {
  const auto codec = MakeRecordCodec();
  const auto change = codec->DecodeOperatorRecord({.key = "config", .value = kConfiguration});
  REQUIRE(change.ok());
  const auto& configuration = *change->configuration;
  CHECK(configuration.version == 7);
  const auto route = configuration.FindRoute("h", "/x/1");
  REQUIRE(route != nullptr);
  CHECK(route->name == "a");
  CHECK(route->retryable());
  CHECK(route->services.size() == 2);
  CHECK(configuration.FindRoute("h", "/x/y/z")->name == "b");
  CHECK(configuration.FindRoute("h", "/z/") == nullptr);
  CHECK(configuration.FindRoute("other", "/x/1") == nullptr);
  CHECK(configuration.customers.at("k2") == "c");
  CHECK(configuration.limits.max_body_bytes == 2000);
  CHECK(configuration.services.at("s").engine->kv_cache_tokens == 1000);
  CHECK(!configuration.services.at("t").engine);
}

TEST_CASE("malformed operator records are rejected") {
  const auto codec = MakeRecordCodec();
  for (const char* text :
       {"", "{", "[]", R"({"version":1,"routes":[{}]})", R"({"routes":[]})",
        R"({"version":1,"routes":[{"name":"a","host":"h","path_prefix":"/","type":"odd",
            "timeout_ms":1,"backend":"s"}]})",
        R"({"version":1,"tenants":[{"name":5}]})"}) {
    CHECK(!codec->DecodeOperatorRecord({.key = "config", .value = text}).ok());
  }
}

TEST_CASE("an evacuation begins with a record and ends with its deletion") {
  const auto codec = MakeRecordCodec();
  const auto begin = codec->DecodeOperatorRecord({.key = "evacuate/z1", .value = "{}"});
  CHECK(begin->evacuated_zone == "z1");
  CHECK(!begin->evacuation_ended);
  CHECK(codec->DecodeOperatorRecord({.key = "evacuate/z1"})->evacuation_ended);
}

TEST_CASE("server records are decoded, and malformed ones are rejected") {
  const auto codec = MakeRecordCodec();
  const std::string valid =
      R"({"backend":"s","addr":"1.2.3.4:5","zone":"z","slots":64,"state":"ready",
          "cold_left_ms":100,"seq":4,"born":1700000000000})";
  const auto server = codec->DecodeServer({.key = "i-1", .value = valid});
  REQUIRE(server.ok());
  CHECK(server->name == "i-1");
  CHECK(server->cold_left == std::chrono::milliseconds(100));
  CHECK(server->start_time_ms == 1700000000000);
  std::string restarted = valid;
  restarted.replace(restarted.find("1700000000000"), 13, "1700000000001");
  CHECK(codec->DecodeServer({.key = "i-1", .value = restarted})->id != server->id);
  for (const char* text :
       {"", "\xff\xfe", "5", "{}", R"({"backend":"s","addr":"a","zone":"z","state":"odd","seq":1})",
        R"({"backend":5,"addr":"a","zone":"z","state":"ready","seq":1})",
        R"({"backend":"s","addr":"a","zone":"z","state":"ready","seq":"1"})"}) {
    CHECK(!codec->DecodeServer({.key = "i-2", .value = text}).ok());
  }
}

TEST_CASE("a malformed estimate of the response's length is ignored") {
  const auto codec = MakeHeaderCodec();
  auto head = ValidRequestHead();
  head.set("X-Length-Hint", "64");
  CHECK(codec->DecodeRequest(head)->prompt->expected_output_tokens == 64);
  for (const char* text : {"", "0", "-5", "nan", "1e9", "99999999999", "64,64"}) {
    CAPTURE(text);
    head.set("X-Length-Hint", text);
    const auto request = codec->DecodeRequest(head);
    REQUIRE(request.ok());
    CHECK(!request->prompt->expected_output_tokens);
  }
}

TEST_CASE("requests are decoded, and malformed or duplicate headers are rejected") {
  const auto codec = MakeHeaderCodec();
  const auto request = codec->DecodeRequest(ValidRequestHead());
  REQUIRE(request.ok());
  CHECK(request->id == "id1");
  CHECK(request->path == "/x/1");
  CHECK(request->api_key == "k1");
  CHECK(request->time_left == std::chrono::milliseconds(1500));
  REQUIRE(request->prompt);
  CHECK(request->prompt->input_tokens == 1460);
  CHECK(request->prompt->max_output_tokens == 80);
  CHECK(request->prompt->segments.size() == 3);
  for (const auto& [name, value] :
       std::vector<std::pair<const char*, const char*>>{{"X-Deadline-Ms", "soon"},
                                                        {"X-Deadline-Ms", "-1"},
                                                        {"X-Token-Usage", "1460"},
                                                        {"X-Token-Usage", "1,-2"},
                                                        {"X-Prompt-Prefix", "5c1e07a2"},
                                                        {"X-Prompt-Prefix", "5c1e07a2:-1"}}) {
    auto head = ValidRequestHead();
    head.set(name, value);
    CHECK(!codec->DecodeRequest(head).ok());
  }
  for (const char* name : {"X-Attempt-Id", "Authorization", "Host", "X-Token-Usage"}) {
    auto head = ValidRequestHead();
    head.insert(name, "other");
    CHECK(!codec->DecodeRequest(head).ok());
  }
}

TEST_CASE("system headers of callers are removed or replaced, and API keys are not forwarded") {
  const auto codec = MakeHeaderCodec();
  auto head = ValidRequestHead();
  for (const char* name : {"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Tenant",
                           "x-expect-instance", "X-Expect-Version"}) {
    head.set(name, "forged");
  }
  head.set("Connection", "X-Token-Usage");
  head.set("X-Other", "kept");
  const auto forwarded = codec->EncodeForward(head, {.customer = "c",
                                                     .expected_server = "i-1",
                                                     .time_left = std::chrono::milliseconds(900),
                                                     .last_event_id = "4"});
  CHECK(forwarded["X-Tenant"] == "c");
  CHECK(forwarded["X-Expect-Instance"] == "i-1");
  CHECK(forwarded["X-Deadline-Ms"] == "900");
  CHECK(forwarded["Last-Event-Id"] == "4");
  CHECK(forwarded["X-Other"] == "kept");
  CHECK(forwarded["X-Attempt-Id"] == "id1");
  CHECK(forwarded["X-Token-Usage"] == "1460,80");
  CHECK(forwarded.target() == "/x/1?q=2");
  for (const char* name : {"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
                           "Kv-Fetch", "X-Expect-Version", "Connection"}) {
    CHECK(forwarded.count(name) == 0);
  }
}

TEST_CASE("response heads are decoded") {
  const auto codec = MakeHeaderCodec();
  gateway::ResponseHead head;
  head.result(503);
  head.set("X-Not-Run", "1");
  head.set("Keep-Alive", "max=5, timeout=12");
  const auto refused = codec->DecodeResponse(head);
  REQUIRE(refused.ok());
  CHECK(refused->not_run);
  CHECK(!refused->is_signed);
  CHECK(refused->keep_alive == std::chrono::seconds(12));
  head.result(421);
  head.set("Keep-Alive", "timeout=x");
  const auto misdirected = codec->DecodeResponse(head);
  REQUIRE(misdirected.ok());
  CHECK(misdirected->wrong_server);
  CHECK(misdirected->keep_alive == std::chrono::milliseconds(0));
}

TEST_CASE("response heads with contradictory fields are refused") {
  const auto codec = MakeHeaderCodec();
  for (const char* name :
       {"X-Attempt-Id", "X-Server-Seal", "X-Not-Run", "X-Cold-Ms", "Content-Type"}) {
    CAPTURE(name);
    gateway::ResponseHead head;
    head.result(503);
    head.insert(name, "a");
    CHECK(codec->DecodeResponse(head).ok());
    head.insert(name, "a");
    CHECK(codec->DecodeResponse(head).ok());
    head.insert(name, "b");
    CHECK(absl::IsDataLoss(codec->DecodeResponse(head).status()));
  }
  gateway::ResponseHead success;
  success.result(200);
  success.set("X-Not-Run", "1");
  CHECK(absl::IsDataLoss(codec->DecodeResponse(success).status()));
}

TEST_CASE("record pages are decoded, and truncated ones never yield all records") {
  const Record first{.key = "k", .value = "v"};
  const Record deleted{.key = "g"};
  const std::string body = RecordPageBody(12, 3, EncodeRecord(first) + EncodeRecord(deleted));
  const auto page = DecodeRecordPage(body, 10);
  REQUIRE(page.ok());
  CHECK(page->next_offset == 12);
  REQUIRE(page->records.size() == 2);
  CHECK(page->records[0].value == "v");
  CHECK(!page->records[1].value);
  CHECK(absl::IsOutOfRange(DecodeRecordPage(body, 2).status()));
  CHECK(!DecodeRecordPage(body, 11).ok());
  CHECK(DecodeRecordPage(RecordPageBody(5, 0, ""), 5)->records.empty());
  const std::string_view complete_body = body;
  for (std::size_t length = 1; length < body.size(); ++length) {
    const auto truncated = DecodeRecordPage(complete_body.substr(0, length), 10);
    CHECK((!truncated.ok() || truncated->records.size() < 2));
  }
}

TEST_CASE("decoders do not crash on mutated records and requests") {
  std::mt19937_64 random(17);
  const auto records = MakeRecordCodec();
  const auto headers = MakeHeaderCodec();
  for (int i = 0; i < 3000; ++i) {
    std::string text(kConfiguration);
    for (int flips = 0; flips < 3; ++flips) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    const Record record{.key = "config", .value = text};
    (void)records->DecodeOperatorRecord(record).ok();
    (void)records->DecodeServer(record).ok();
    (void)DecodeSettings(text).ok();
    std::string body(random() % 60, '\0');
    for (char& byte : body) {
      byte = static_cast<char>(random() % 4);
    }
    (void)DecodeRecordPage(body, static_cast<std::int64_t>(random() % 3)).ok();
    auto head = ValidRequestHead();
    head.set("X-Prompt-Prefix", text.substr(random() % 100, random() % 40));
    (void)headers->DecodeRequest(head).ok();
  }
}

}  // namespace lagoonwind::users_platform
