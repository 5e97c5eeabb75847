#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "commands.h"
#include "lagoonwind/rules.h"
#include "lagoonwind/rules_diff.h"

namespace lagoonwind::ctl {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;

/// Prints the errors of a rules file to stderr. \return True if there are none.
bool ValidateRules(const std::string& file, const std::string& text) {
  const auto parsed = ParseRules(text);
  std::cerr << FormatRuleErrors(file, parsed.errors);
  return parsed.errors.empty();
}

int PrintRefusal(const http::Response& response) {
  std::cerr << response.body;
  const bool refused = response.status == kBadRequest || response.status == kConflict;
  return refused ? kExitRefused : kExitUnreachable;
}

int PrintUnreachable(const absl::Status& status) {
  std::cerr << "no daemon can be reached: " << status.message() << "\n";
  return kExitUnreachable;
}

/// Fetches the rules in force, a JSON object with `offset` and `text`.
absl::StatusOr<json> FetchRulesInForce(const DaemonClient& client) {
  const auto response = client.Send(http::Request{.target = "/rules"});
  if (!response.ok()) {
    return response.status();
  }
  const json rules = json::parse(response->body, nullptr, false);
  if (!rules.is_object() || !rules.contains("offset") || !rules.contains("text")) {
    return absl::UnavailableError("unexpected response from the daemon");
  }
  return rules;
}

/// Polls the daemon until its configuration is at `offset` or later. \return Exit code.
int WaitUntilInForce(const DaemonClient& client, std::int64_t offset) {
  constexpr int kMaxPolls = 200;
  constexpr int kPollsPerMessage = 20;
  constexpr std::chrono::milliseconds kPollInterval{100};
  for (int i = 1; i <= kMaxPolls; ++i) {
    const auto current = FetchRulesInForce(client);
    if (current.ok() && current->at("offset").get<std::int64_t>() >= offset) {
      std::cout << "in force at offset " << offset << "\n";
      return kExitDone;
    }
    if (i % kPollsPerMessage == 0) {
      std::cerr << "waiting for the rules at offset " << offset << "\n";
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "the rules did not come into force; see lagoonctl rules history for the reason\n";
  return kExitRefused;
}

std::string DescribeVerdict(const std::string& verdict) {
  if (verdict == "accepted") {
    return "accepted";
  }
  if (verdict == "stale-base") {
    return "refused: newer rules had been accepted than those that it was based on";
  }
  if (verdict == "invalid-rules") {
    return "refused: invalid rules";
  }
  return verdict;
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    std::cerr << "cannot read " << path << "\n";
    return std::nullopt;
  }
  return text.str();
}

int RulesDiff(const CommonOptions& common, const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return kExitUsage;
  }
  if (!ValidateRules(file, *text)) {
    return kExitRefused;
  }
  const auto in_force = FetchRulesInForce(DaemonClient(common.daemons));
  if (!in_force.ok()) {
    return PrintUnreachable(in_force.status());
  }
  const std::string before = in_force->at("text");
  const auto changes = DiffRules(ParseRules(before).configuration, ParseRules(*text).configuration);
  if (common.output == Output::kJson) {
    json rows = json::array();
    for (const auto& change : changes) {
      rows.push_back({{"rule", change.key}, {"before", change.before}, {"after", change.after}});
    }
    const json diff{{"offset", in_force->at("offset")}, {"changes", std::move(rows)}};
    std::cout << diff.dump(2) << "\n";
    return kExitDone;
  }
  std::cout << FormatRuleChanges(changes) << changes.size()
            << " rules differ from those in force at offset " << in_force->at("offset") << "\n";
  return kExitDone;
}

int RulesHistoryList(const CommonOptions& common) {
  const auto response =
      DaemonClient(common.daemons).Send(http::Request{.target = "/rules/history"});
  if (!response.ok()) {
    return PrintUnreachable(response.status());
  }
  const json history = json::parse(response->body, nullptr, false);
  if (response->status != kOk || !history.is_object() || !history.contains("records")) {
    std::cerr << "the daemon returned no history: " << response->body;
    return kExitRefused;
  }
  if (common.output == Output::kJson) {
    std::cout << response->body;
    return kExitDone;
  }
  for (const auto& record : history.at("records")) {
    std::cout << "offset " << record.value("offset", -1) << ", based on "
              << record.value("base", -1) << ": " << DescribeVerdict(record.value("verdict", ""))
              << "\n";
  }
  return kExitDone;
}

int RulesCheck(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return kExitUsage;
  }
  if (!ValidateRules(file, *text)) {
    return kExitRefused;
  }
  std::cout << file << " is valid\n";
  return kExitDone;
}

int RulesApply(const CommonOptions& common, const std::string& file, bool wait) {
  const auto text = ReadFile(file);
  if (!text) {
    return kExitUsage;
  }
  if (!ValidateRules(file, *text)) {
    return kExitRefused;
  }
  const DaemonClient client(common.daemons);
  const auto base = FetchRulesInForce(client);
  if (!base.ok()) {
    return PrintUnreachable(base.status());
  }
  const json body{{"base", base->at("offset")}, {"text", *text}};
  const auto response =
      client.Send(http::Request{.method = "POST", .target = "/rules", .body = body.dump()});
  if (!response.ok()) {
    return PrintUnreachable(response.status());
  }
  if (response->status != kOk) {
    return PrintRefusal(*response);
  }
  const std::int64_t offset = json::parse(response->body).at("offset");
  std::cout << "proposed at offset " << offset << "\n";
  return wait ? WaitUntilInForce(client, offset) : kExitDone;
}

}  // namespace lagoonwind::ctl
