#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>

#include "fleet.h"

namespace lagoonwind::testing {
namespace {

using nlohmann::json;

/// The local fleet, ready, with what an operator does to it.
struct Operators {
  Fleet fleet;

  explicit Operators(const std::string& name)
      : fleet(LocalFleetOptions(LAGOONWIND_BUILD_DIR, LAGOONWIND_BUILD_DIR "/" + name,
                                LocalRules(LAGOONWIND_SOURCE_DIR))) {
    fleet.AwaitReady();
  }

  /// Answer of a daemon to a proposal; `status` is added to its body.
  [[nodiscard]] json Propose(const std::string& daemon, const std::string& text,
                             std::int64_t base) const {
    const json body{{"base", base}, {"text", text}};
    const auto answer =
        FetchNow(fleet.operator_address(daemon),
                 http::Request{.method = "POST", .target = "/rules", .body = body.dump()});
    json result = answer.ok() ? json::parse(answer->body, nullptr, false) : json::object();
    result["status"] = answer.ok() ? answer->status : 0;
    return result;
  }
  void Fault(const json& faults) const {
    const http::Request request{
        .method = "POST", .target = "/standin/fault", .body = faults.dump()};
    REQUIRE(FetchNow(fleet.platform_address(), request).ok());
  }
  [[nodiscard]] bool InForce(const std::string& daemon, std::int64_t offset) const {
    return fleet.AwaitStatus(
        daemon, [&](const json& status) { return status.at("configuration_offset") == offset; });
  }
  [[nodiscard]] bool InForceEverywhere(std::int64_t offset) const {
    return std::ranges::all_of(fleet.daemons(),
                               [&](const std::string& name) { return InForce(name, offset); });
  }
};

TEST_CASE("racing operators: one is told that it won, the other what won instead") {
  const Operators operators("operators_race_test");
  const std::string texts[] = {
      LocalRules(LAGOONWIND_SOURCE_DIR) + "zone north out # asked by: a\n",
      LocalRules(LAGOONWIND_SOURCE_DIR) + "zone south out # asked by: b\n"};
  std::array<json, 2> answers;
  {
    const std::jthread other([&] { answers[1] = operators.Propose("agent-3", texts[1], 0); });
    answers[0] = operators.Propose("entry-1", texts[0], 0);
  }
  std::ranges::sort(answers, {}, [](const json& answer) { return answer.at("status").get<int>(); });
  REQUIRE(answers[0].at("status") == 200);
  REQUIRE(answers[1].at("status") == 409);
  CHECK(answers[1].at("verdict") == "stale-base");
  CHECK(answers[1].at("in_force") == answers[0].at("offset"));
  CHECK(answers[1].at("changes").get<std::string>().find("+ zone ") != std::string::npos);
  CHECK(operators.InForceEverywhere(answers[0].at("offset")));
}

TEST_CASE("rules apply once although the log loses its answers") {
  const Operators operators("operators_lost_test");
  operators.Fault({{"lose_appends", 1}});
  const json answer = operators.Propose(
      "entry-2", LocalRules(LAGOONWIND_SOURCE_DIR) + "zone north out # asked by: a\n", 0);
  CHECK(answer.at("status") == 200);
  CHECK(operators.InForceEverywhere(answer.at("offset")));
  const auto history = FetchNow(operators.fleet.operator_address("agent-1"),
                                http::Request{.target = "/rules/history"});
  REQUIRE(history.ok());
  const json records = json::parse(history->body).at("records");
  CHECK(std::ranges::count_if(records, [&](const json& record) {
          return record.at("nonce") == answer.at("nonce") && record.at("verdict") == "accepted";
        }) == 1);
}

TEST_CASE("rules come into force while daemons are frozen, killed and restarted") {
  Operators operators("operators_faults_test");
  Fleet& fleet = operators.fleet;
  fleet.process("agent-1").Signal(SIGSTOP);
  fleet.process("agent-2").Kill();
  const std::string text = LocalRules(LAGOONWIND_SOURCE_DIR) + "zone north out # asked by: a\n";
  const json answer = operators.Propose("entry-1", text, 0);
  REQUIRE(answer.at("status") == 200);
  const std::int64_t offset = answer.at("offset");
  for (const std::string daemon : {"agent-3", "agent-4", "agent-5", "entry-1", "entry-2"}) {
    CHECK(operators.InForce(daemon, offset));
  }
  fleet.process("agent-1").Signal(SIGCONT);
  CHECK(operators.InForce("agent-1", offset));
  // While the log is down, a restarted daemon takes the rules from its peers.
  operators.Fault({{"refuse_log", true}});
  fleet.RestartDaemon("agent-2");
  CHECK(operators.InForce("agent-2", offset));
  fleet.process("entry-2").Kill();
  fleet.RestartDaemon("entry-2");
  CHECK(operators.InForce("entry-2", offset));
  CHECK(operators.Propose("entry-1", text, offset).at("status") == 503);
  operators.Fault(json::object());
  const json next = operators.Propose("entry-1", LocalRules(LAGOONWIND_SOURCE_DIR), offset);
  CHECK(next.at("status") == 200);
  CHECK(operators.InForceEverywhere(next.at("offset")));
}

TEST_CASE("a zone that is taken out closes its daemons and opens them again") {
  const Operators operators("operators_zone_test");
  std::string rules = LocalRules(LAGOONWIND_SOURCE_DIR);
  const auto at = rules.find("zone lake-1 in");
  REQUIRE(at != std::string::npos);
  const json out = operators.Propose("agent-3", rules.replace(at, 14, "zone lake-1 out"), 0);
  REQUIRE(out.at("status") == 200);
  const auto closed = [&](const std::string& daemon, const std::string& reason) {
    return operators.fleet.AwaitStatus(
        daemon, [&](const json& status) { return status.at("closed") == reason; });
  };
  CHECK(closed("agent-1", "zone-out"));
  CHECK(closed("entry-1", "zone-out"));
  CHECK(closed("agent-2", "none"));
  CHECK(operators.Propose("entry-1", LocalRules(LAGOONWIND_SOURCE_DIR), out.at("offset"))
            .at("status") == 200);
  CHECK(closed("agent-1", "none"));
  CHECK(closed("entry-1", "none"));
}

}  // namespace
}  // namespace lagoonwind::testing
