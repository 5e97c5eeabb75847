// Guards against roll-out orders and status records that are misread, and against orders that are
// taken for others.
#include <doctest/doctest.h>

#include <string>

#include "event_log.h"
#include "fleet_state.h"
#include "lagoonwind/users_platform.h"

namespace lagoonwind::users_platform {
namespace {

using gateway::FleetState;
using gateway::kStoreSource;
using gateway::Record;
using gateway::RecordPage;
using gateway::Topic;
using std::chrono::milliseconds;

constexpr const char* kKey = "op/rollout/desk";
constexpr const char* kOrder = R"({"backend": "desk", "target": "v2", "over_s": 1.5})";

std::string Settings(const std::string& bounds) {
  return R"({"node_name": "edge-1", "zone": "z1", "ip": "127.0.0.9",
    "listen": {"front": "127.0.0.9:1000", "ready": "127.0.0.9:1001"}, "port_range": [7400],
    "platform": {"addr": "127.0.0.1:5"}, "bounds": )" +
         bounds + "}";
}

Time At(int ms) { return Time{std::chrono::seconds(100)} + milliseconds(ms); }

struct Orders {
  void Put(const std::string& value, std::int64_t offset) {
    Apply({.records = {{.key = kKey, .value = value, .offset = offset}}, .next_offset = offset + 1},
          false);
  }
  void Apply(const RecordPage& page, bool complete) {
    fleet.Apply(Topic::kOperator, page, complete, kStoreSource, At(0));
  }
  [[nodiscard]] std::uint64_t id() const {
    const auto found = fleet.rollouts().find("desk");
    return found == fleet.rollouts().end() ? 0 : found->second.id;
  }

  std::unique_ptr<gateway::RecordCodec> codec = MakeRecordCodec();
  gateway::EventLog log{"test"};
  FleetState fleet{*codec, log};
};

}  // namespace

TEST_CASE("limits of roll-outs are decoded, and absent without canary_share") {
  const auto with =
      DecodeSettings(Settings(R"({"canary_share": 0.1, "canary_slack": 50, "rollback_ms": 4000})"));
  REQUIRE(with.ok());
  REQUIRE(with->rollout.has_value());
  CHECK(with->rollout->exposure_share == 0.1);
  CHECK(with->rollout->exposure_slack == 50);
  CHECK(with->rollout->rollback_time == milliseconds(4000));
  const auto without = DecodeSettings(Settings(R"({"canary_slack": 50})"));
  REQUIRE(without.ok());
  CHECK(!without->rollout.has_value());
  for (const char* odd : {R"({"canary_share": "0.1"})", R"({"canary_share": -1})",
                          R"({"canary_share": 0.1, "canary_slack": 1e300})"}) {
    CHECK(absl::IsInvalidArgument(DecodeSettings(Settings(odd)).status()));
  }
}

TEST_CASE("an order begins with a record and ends with its deletion") {
  const auto codec = MakeRecordCodec();
  const auto order = codec->DecodeOperatorRecord({.key = kKey, .value = kOrder});
  REQUIRE(order.ok());
  CHECK(order->rollout_service == "desk");
  REQUIRE(order->rollout.has_value());
  CHECK(order->rollout->target == "v2");
  CHECK(order->rollout->duration == milliseconds(1500));
  const auto deleted = codec->DecodeOperatorRecord({.key = kKey});
  REQUIRE(deleted.ok());
  CHECK(deleted->rollout_service == "desk");
  CHECK(!deleted->rollout.has_value());
}

TEST_CASE("an unreadable order is rejected and changes nothing") {
  for (const char* odd :
       {"", "{", "[]", R"({"backend": "desk", "target": "v3"})",
        R"({"backend": "desk", "target": 3, "over_s": 1})",
        R"({"backend": "desk", "target": "", "over_s": 1})",
        R"({"backend": "other", "target": "v3", "over_s": 1})", R"({"target": "v3", "over_s": 1})",
        R"({"backend": "desk", "target": "v3", "over_s": null})",
        R"({"backend": "desk", "target": "v3", "over_s": -1})",
        R"({"backend": "desk", "target": "v3", "over_s": 1e300})",
        R"({"backend": "desk", "target": "v3", "over_s": "9"})"}) {
    CAPTURE(odd);
    const auto codec = MakeRecordCodec();
    CHECK(
        absl::IsInvalidArgument(codec->DecodeOperatorRecord({.key = kKey, .value = odd}).status()));
    Orders orders;
    orders.Put(kOrder, 4);
    const auto id = orders.id();
    orders.Put(odd, 5);
    CHECK(orders.id() == id);
  }
}

TEST_CASE("an order is identified by the content and position of its record") {
  Orders orders;
  orders.Put(kOrder, 4);
  const auto first = orders.id();
  REQUIRE(first != 0);
  CHECK(orders.fleet.rollouts().at("desk").is_change);
  // The same record, as part of all records.
  const RecordPage all{.records = {{.key = kKey, .value = kOrder, .offset = 4}}, .next_offset = 6};
  orders.Apply(all, true);
  CHECK(orders.id() == first);
  Orders other;
  other.Apply(all, true);
  CHECK(other.id() == first);
  CHECK(!other.fleet.rollouts().at("desk").is_change);
  orders.Put(kOrder, 6);
  CHECK(orders.id() != first);
  orders.Apply({.records = {{.key = kKey, .offset = 7}}, .next_offset = 8}, false);
  CHECK(orders.id() == 0);
}

TEST_CASE("an order that a restored store lacks stays in force for a while") {
  Orders orders;
  orders.Put(kOrder, 4);
  const auto id = orders.id();
  orders.Apply({.next_offset = 2, .generation = 1}, true);
  CHECK(orders.id() == id);
}

TEST_CASE("a status record is decoded as it was encoded") {
  const auto codec = MakeRecordCodec();
  for (const auto state : {policy::RolloutState::kTrial, policy::RolloutState::kComplete,
                           policy::RolloutState::kReverted}) {
    const Record record = codec->EncodeRolloutStatus({.service = "desk",
                                                      .target = "v2",
                                                      .state = state,
                                                      .order_id = ~std::uint64_t{0},
                                                      .reason = "x"});
    CHECK(record.key == "status/rollout/desk");
    const auto status = codec->DecodeRolloutStatus(record);
    REQUIRE(status.ok());
    CHECK(status->service == "desk");
    CHECK(status->target == "v2");
    CHECK(status->state == state);
    CHECK(status->order_id == ~std::uint64_t{0});
  }
}

TEST_CASE("a status record of another kind or with odd values concludes nothing") {
  const auto codec = MakeRecordCodec();
  CHECK(absl::IsNotFound(codec->DecodeRolloutStatus({.key = "127.0.0.1", .value = "{}"}).status()));
  for (const char* odd :
       {"", "{", "[]", R"({"state": "complete"})", R"({"state": "done", "target": "v2"})",
        R"({"state": 1, "target": "v2"})", R"({"state": "complete", "target": "v2", "order": 1})",
        R"({"state": "complete", "target": "v2", "order": "x"})"}) {
    CAPTURE(odd);
    const Record record{.key = "status/rollout/desk", .value = odd};
    CHECK(absl::IsInvalidArgument(codec->DecodeRolloutStatus(record).status()));
  }
  const auto foreign = codec->DecodeRolloutStatus(
      {.key = "status/rollout/desk", .value = R"({"state": "complete", "target": "v2"})"});
  REQUIRE(foreign.ok());
  CHECK(foreign->order_id == 0);
}

TEST_CASE("the version of a server is optional") {
  const auto codec = MakeRecordCodec();
  const auto version_of = [&](const std::string& field) {
    const auto server = codec->DecodeServer(
        {.key = "i-1",
         .value = R"({"backend": "desk", "addr": "127.0.0.1:9", "zone": "z", "slots": 1,
                      "cold_left_ms": 0, "seq": 1, "state": "ready")" +
                  field + "}"});
    return server.ok() ? server->version : server.status().ToString();
  };
  CHECK(version_of(R"(, "version": "v2")") == "v2");
  CHECK(version_of("").empty());
  CHECK(version_of(R"(, "version": 2)").empty());
  CHECK(version_of(R"(, "version": null)").empty());
}

}  // namespace lagoonwind::users_platform
