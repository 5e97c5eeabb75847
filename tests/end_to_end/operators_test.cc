#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>

#include "fleet.h"

namespace lagoonwind::testing {
namespace {

using nlohmann::json;

/// The local fleet, ready to serve, with the operations of an operator.
struct OperatedFleet {
  Fleet fleet;

  explicit OperatedFleet(const std::string& name)
      : fleet(LocalFleetOptions(LAGOONWIND_BUILD_DIR, LAGOONWIND_BUILD_DIR "/" + name,
                                LocalRules(LAGOONWIND_SOURCE_DIR))) {
    fleet.AwaitReady();
  }

  /// Proposes rules to a daemon. \return The body of its response, with the HTTP status added as
  /// `status`, which is 0 if there is no response.
  [[nodiscard]] json Propose(const std::string& daemon, const std::string& rules,
                             std::int64_t base) const {
    const json body{{"base", base}, {"text", rules}};
    const auto response =
        FetchNow(fleet.operator_address(daemon),
                 http::Request{.method = "POST", .target = "/rules", .body = body.dump()});
    json result = response.ok() ? json::parse(response->body, nullptr, false) : json::object();
    result["status"] = response.ok() ? response->status : 0;
    return result;
  }
  /// Sets the faults of the simulated platform; an empty object ends them.
  void InjectPlatformFaults(const json& faults) const {
    const http::Request request{
        .method = "POST", .target = "/standin/fault", .body = faults.dump()};
    REQUIRE(FetchNow(fleet.platform_address(), request).ok());
  }
  /// Waits until a daemon has the configuration at `offset` in force. \return False on timeout.
  [[nodiscard]] bool AwaitInForce(const std::string& daemon, std::int64_t offset) const {
    return fleet.AwaitStatus(
        daemon, [&](const json& status) { return status.at("configuration_offset") == offset; });
  }
  [[nodiscard]] bool AwaitInForceEverywhere(std::int64_t offset) const {
    return std::ranges::all_of(fleet.daemons(),
                               [&](const std::string& name) { return AwaitInForce(name, offset); });
  }
};

TEST_CASE(
    "of two concurrent proposals, one is accepted and the other gets the rules accepted instead") {
  const OperatedFleet operated("operators_race_test");
  const std::string rules_texts[] = {
      LocalRules(LAGOONWIND_SOURCE_DIR) + "zone north out # asked by: a\n",
      LocalRules(LAGOONWIND_SOURCE_DIR) + "zone south out # asked by: b\n"};
  std::array<json, 2> responses;
  {
    const std::jthread second_operator(
        [&] { responses[1] = operated.Propose("agent-3", rules_texts[1], 0); });
    responses[0] = operated.Propose("entry-1", rules_texts[0], 0);
  }
  std::ranges::sort(responses, {},
                    [](const json& response) { return response.at("status").get<int>(); });
  REQUIRE(responses[0].at("status") == 200);
  REQUIRE(responses[1].at("status") == 409);
  CHECK(responses[1].at("verdict") == "stale-base");
  CHECK(responses[1].at("in_force") == responses[0].at("offset"));
  CHECK(responses[1].at("changes").get<std::string>().find("+ zone ") != std::string::npos);
  CHECK(operated.AwaitInForceEverywhere(responses[0].at("offset")));
}

TEST_CASE("rules are accepted once although the response to the append is lost") {
  const OperatedFleet operated("operators_lost_test");
  operated.InjectPlatformFaults({{"lose_appends", 1}});
  const json response = operated.Propose(
      "entry-2", LocalRules(LAGOONWIND_SOURCE_DIR) + "zone north out # asked by: a\n", 0);
  CHECK(response.at("status") == 200);
  CHECK(operated.AwaitInForceEverywhere(response.at("offset")));
  const auto history = FetchNow(operated.fleet.operator_address("agent-1"),
                                http::Request{.target = "/rules/history"});
  REQUIRE(history.ok());
  const json records = json::parse(history->body).at("records");
  CHECK(std::ranges::count_if(records, [&](const json& record) {
          return record.at("nonce") == response.at("nonce") && record.at("verdict") == "accepted";
        }) == 1);
}

TEST_CASE("rules come into force while daemons are paused, killed and restarted") {
  OperatedFleet operated("operators_faults_test");
  Fleet& fleet = operated.fleet;
  fleet.process("agent-1").Signal(SIGSTOP);
  fleet.process("agent-2").Kill();
  const std::string rules = LocalRules(LAGOONWIND_SOURCE_DIR) + "zone north out # asked by: a\n";
  const json response = operated.Propose("entry-1", rules, 0);
  REQUIRE(response.at("status") == 200);
  const std::int64_t offset = response.at("offset");
  for (const std::string daemon : {"agent-3", "agent-4", "agent-5", "entry-1", "entry-2"}) {
    CHECK(operated.AwaitInForce(daemon, offset));
  }
  fleet.process("agent-1").Signal(SIGCONT);
  CHECK(operated.AwaitInForce("agent-1", offset));
  // While the log is unavailable, a restarted daemon gets the rules from its peers.
  operated.InjectPlatformFaults({{"refuse_log", true}});
  fleet.RestartDaemon("agent-2");
  CHECK(operated.AwaitInForce("agent-2", offset));
  fleet.process("entry-2").Kill();
  fleet.RestartDaemon("entry-2");
  CHECK(operated.AwaitInForce("entry-2", offset));
  CHECK(operated.Propose("entry-1", rules, offset).at("status") == 503);
  operated.InjectPlatformFaults(json::object());
  const json restored = operated.Propose("entry-1", LocalRules(LAGOONWIND_SOURCE_DIR), offset);
  CHECK(restored.at("status") == 200);
  CHECK(operated.AwaitInForceEverywhere(restored.at("offset")));
}

TEST_CASE("taking a zone out closes its daemons, and taking it in reopens them") {
  const OperatedFleet operated("operators_zone_test");
  std::string rules = LocalRules(LAGOONWIND_SOURCE_DIR);
  const auto position = rules.find("zone lake-1 in");
  REQUIRE(position != std::string::npos);
  const json taken_out =
      operated.Propose("agent-3", rules.replace(position, 14, "zone lake-1 out"), 0);
  REQUIRE(taken_out.at("status") == 200);
  const auto await_closed = [&](const std::string& daemon, const std::string& reason) {
    return operated.fleet.AwaitStatus(
        daemon, [&](const json& status) { return status.at("closed") == reason; });
  };
  CHECK(await_closed("agent-1", "zone-out"));
  CHECK(await_closed("entry-1", "zone-out"));
  CHECK(await_closed("agent-2", "none"));
  CHECK(operated.Propose("entry-1", LocalRules(LAGOONWIND_SOURCE_DIR), taken_out.at("offset"))
            .at("status") == 200);
  CHECK(await_closed("agent-1", "none"));
  CHECK(await_closed("entry-1", "none"));
}

}  // namespace
}  // namespace lagoonwind::testing
