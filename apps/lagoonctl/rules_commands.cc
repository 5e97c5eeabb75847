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

bool Valid(const std::string& file, const std::string& text) {
  const auto parsed = ParseRules(text);
  std::cerr << FormatRuleErrors(file, parsed.errors);
  return parsed.errors.empty();
}

int Refusal(const http::Response& response) {
  std::cerr << response.body;
  const bool refused = response.status == kBadRequest || response.status == kConflict;
  return refused ? kExitRefused : kExitUnreachable;
}

int Unreachable(const absl::Status& status) {
  std::cerr << "no daemon can be reached: " << status.message() << "\n";
  return kExitUnreachable;
}

/// The rules in force, as `offset` and `text`.
absl::StatusOr<json> InForce(const DaemonClient& client) {
  const auto answer = client.Send(http::Request{.target = "/rules"});
  if (!answer.ok()) {
    return answer.status();
  }
  const json rules = json::parse(answer->body, nullptr, false);
  if (!rules.is_object() || !rules.contains("offset") || !rules.contains("text")) {
    return absl::UnavailableError("the daemon's answer isn't understood");
  }
  return rules;
}

/// Waits until the daemon has a configuration at least as new as `offset`.
int AwaitInForce(const DaemonClient& client, std::int64_t offset) {
  constexpr int kMostTries = 200;
  constexpr int kTriesPerNote = 20;
  constexpr std::chrono::milliseconds kInterval{100};
  for (int i = 1; i <= kMostTries; ++i) {
    const auto now = InForce(client);
    if (now.ok() && now->at("offset").get<std::int64_t>() >= offset) {
      std::cout << "in force at offset " << offset << "\n";
      return kExitDone;
    }
    if (i % kTriesPerNote == 0) {
      std::cerr << "waiting for the rules at offset " << offset << "\n";
    }
    std::this_thread::sleep_for(kInterval);
  }
  std::cerr << "the rules weren't accepted; lagoonctl rules history tells why\n";
  return kExitRefused;
}

std::string VerdictInWords(const std::string& verdict) {
  if (verdict == "accepted") {
    return "accepted";
  }
  if (verdict == "stale-base") {
    return "refused: other rules had been accepted since the ones that it was based on";
  }
  if (verdict == "invalid-rules") {
    return "refused: its rules aren't valid";
  }
  return verdict;
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    std::cerr << "can't read " << path << "\n";
    return std::nullopt;
  }
  return text.str();
}

int RulesDiff(const CommonOptions& common, const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return kExitUsage;
  }
  if (!Valid(file, *text)) {
    return kExitRefused;
  }
  const auto in_force = InForce(DaemonClient(common.daemons));
  if (!in_force.ok()) {
    return Unreachable(in_force.status());
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
  const auto answer = DaemonClient(common.daemons).Send(http::Request{.target = "/rules/history"});
  if (!answer.ok()) {
    return Unreachable(answer.status());
  }
  const json history = json::parse(answer->body, nullptr, false);
  if (answer->status != kOk || !history.is_object() || !history.contains("records")) {
    std::cerr << "the daemon gives no history: " << answer->body;
    return kExitRefused;
  }
  if (common.output == Output::kJson) {
    std::cout << answer->body;
    return kExitDone;
  }
  for (const auto& record : history.at("records")) {
    std::cout << "offset " << record.value("offset", -1) << ", based on "
              << record.value("base", -1) << ": " << VerdictInWords(record.value("verdict", ""))
              << "\n";
  }
  return kExitDone;
}

int RulesCheck(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return kExitUsage;
  }
  if (!Valid(file, *text)) {
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
  if (!Valid(file, *text)) {
    return kExitRefused;
  }
  const DaemonClient client(common.daemons);
  const auto base = InForce(client);
  if (!base.ok()) {
    return Unreachable(base.status());
  }
  const json body{{"base", base->at("offset")}, {"text", *text}};
  const auto answer =
      client.Send(http::Request{.method = "POST", .target = "/rules", .body = body.dump()});
  if (!answer.ok()) {
    return Unreachable(answer.status());
  }
  if (answer->status != kOk) {
    return Refusal(*answer);
  }
  const std::int64_t offset = json::parse(answer->body).at("offset");
  std::cout << "proposed at offset " << offset << "\n";
  return wait ? AwaitInForce(client, offset) : kExitDone;
}

}  // namespace lagoonwind::ctl
