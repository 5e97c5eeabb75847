#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "commands.h"
#include "lagoonwind/rules.h"

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

/// Rules of a text without comments of their own and blank lines.
std::vector<std::string> RuleLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    if (!line.empty() && !line.starts_with('#')) {
      lines.push_back(line);
    }
  }
  std::ranges::sort(lines);
  return lines;
}

json LinesOnlyIn(const std::vector<std::string>& some, const std::vector<std::string>& others) {
  std::vector<std::string> only;
  std::ranges::set_difference(some, others, std::back_inserter(only));
  return only;
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
  const auto before = RuleLines(in_force->at("text"));
  const auto after = RuleLines(*text);
  const json removed = LinesOnlyIn(before, after);
  const json added = LinesOnlyIn(after, before);
  if (common.output == Output::kJson) {
    const json diff{{"offset", in_force->at("offset")}, {"removed", removed}, {"added", added}};
    std::cout << diff.dump(2) << "\n";
    return kExitDone;
  }
  for (const auto& line : removed) {
    std::cout << "- " << line.get<std::string>() << "\n";
  }
  for (const auto& line : added) {
    std::cout << "+ " << line.get<std::string>() << "\n";
  }
  std::cout << removed.size() << " rules removed, " << added.size()
            << " added against the rules in force at offset " << in_force->at("offset") << "\n";
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
