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

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    std::cerr << "can't read " << path << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

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

/// Waits until the daemon has a configuration at least as new as `offset`.
int AwaitInForce(const DaemonClient& client, std::int64_t offset) {
  constexpr int kMostTries = 200;
  constexpr std::chrono::milliseconds kInterval{100};
  for (int i = 0; i < kMostTries; ++i) {
    const auto now = client.Send(http::Request{.target = "/rules"});
    if (now.ok() && json::parse(now->body).at("offset").get<std::int64_t>() >= offset) {
      std::cout << "in force at offset " << offset << "\n";
      return kExitDone;
    }
    std::this_thread::sleep_for(kInterval);
  }
  std::cerr << "the rules weren't accepted; see rules history\n";
  return kExitRefused;
}

}  // namespace

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
  const auto base = client.Send(http::Request{.target = "/rules"});
  if (!base.ok()) {
    std::cerr << "no daemon can be reached: " << base.status().message() << "\n";
    return kExitUnreachable;
  }
  const json body{{"base", json::parse(base->body).at("offset")}, {"text", *text}};
  const auto answer =
      client.Send(http::Request{.method = "POST", .target = "/rules", .body = body.dump()});
  if (!answer.ok()) {
    std::cerr << answer.status().message() << "\n";
    return kExitUnreachable;
  }
  if (answer->status != kOk) {
    return Refusal(*answer);
  }
  const std::int64_t offset = json::parse(answer->body).at("offset");
  std::cout << "proposed at offset " << offset << "\n";
  return wait ? AwaitInForce(client, offset) : kExitDone;
}

}  // namespace lagoonwind::ctl
