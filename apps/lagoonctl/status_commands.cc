#include <absl/strings/str_format.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "commands.h"

namespace lagoonwind::ctl {
namespace {

using nlohmann::json;

int Unreachable(const absl::Status& status) {
  std::cerr << "no daemon can be reached: " << status.message() << "\n";
  return kExitUnreachable;
}

void PrintStatus(const json& status) {
  std::cout << absl::StrFormat(
      "%s (%s, zone %s)  configuration %d  running %d  waiting %d\n",
      status.at("name").get<std::string>(), status.at("role").get<std::string>(),
      status.at("zone").get<std::string>(), status.at("configuration_offset").get<std::int64_t>(),
      status.at("running").get<int>(), status.at("waiting").get<int>());
  std::cout << absl::StrFormat("%-24s %8s %8s %12s\n", "CUSTOMER", "WAITING", "RUNNING", "SERVICE");
  for (const auto& row : status.at("customers")) {
    std::cout << absl::StrFormat("%-24s %8d %8d %12.1f\n", row.at("customer").get<std::string>(),
                                 row.at("waiting").get<int>(), row.at("running").get<int>(),
                                 row.at("service").get<double>());
  }
}

}  // namespace

int ShowStatus(const CommonOptions& common) {
  const auto answer = DaemonClient(common.daemons).Send(http::Request{.target = "/status"});
  if (!answer.ok()) {
    return Unreachable(answer.status());
  }
  if (common.json) {
    std::cout << answer->body;
  } else {
    PrintStatus(json::parse(answer->body));
  }
  return kExitDone;
}

int Explain(const CommonOptions& common, const std::string& subject) {
  const auto answer =
      DaemonClient(common.daemons).Send(http::Request{.target = "/explain?" + subject});
  if (!answer.ok()) {
    return Unreachable(answer.status());
  }
  if (common.json) {
    std::cout << answer->body;
    return kExitDone;
  }
  for (const auto& line : json::parse(answer->body).at("decisions")) {
    std::cout << absl::StrFormat("%16d us  %s\n", line.at("at_us").get<std::int64_t>(),
                                 line.at("what").get<std::string>());
  }
  return kExitDone;
}

}  // namespace lagoonwind::ctl
