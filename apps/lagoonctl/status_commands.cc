#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "commands.h"

namespace lagoonwind::ctl {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;

/// Responses of the queried daemons.
struct Responses {
  json objects = json::array();
  /// Address and error of each daemon without a valid response.
  std::vector<std::string> failures;
};

/// Queries every daemon; prints failures to stderr.
Responses QueryAll(const CommonOptions& common, const std::string& target) {
  Responses responses;
  for (const auto& daemon : common.daemons) {
    const auto response = DaemonClient({daemon}).Send(http::Request{.target = target});
    if (!response.ok()) {
      responses.failures.push_back(absl::StrCat(daemon, ": ", response.status().message()));
      continue;
    }
    json object = json::parse(response->body, nullptr, false);
    if (response->status != kOk || !object.is_object()) {
      responses.failures.push_back(absl::StrCat(daemon, ": ", response->body));
      continue;
    }
    object["daemon"] = daemon;
    responses.objects.push_back(std::move(object));
  }
  for (const auto& failure : responses.failures) {
    std::cerr << "no valid response from " << failure << "\n";
  }
  return responses;
}

std::string PercentEncode(std::string_view text) {
  std::string out;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool plain =
        std::isalnum(byte) != 0 || character == '-' || character == '.' || character == '_';
    out += plain ? std::string(1, character) : absl::StrFormat("%%%02X", byte);
  }
  return out;
}

/// Totals of one customer over all queried daemons.
struct CustomerRow {
  double share = 1;
  int waiting = 0;
  int running = 0;
  double service = 0;
};

std::map<std::string, CustomerRow> MergeCustomers(const json& daemons) {
  std::map<std::string, CustomerRow> rows;
  for (const auto& daemon : daemons) {
    const bool entry = daemon.value("role", "") == "entry";
    for (const auto& customer : daemon.value("customers", json::array())) {
      CustomerRow& row = rows[customer.value("customer", "?")];
      row.share = customer.value("share", 1.0);
      // Requests wait at entries; agents report the same requests again.
      row.waiting += entry ? customer.value("waiting", 0) : 0;
      row.running += entry ? 0 : customer.value("running", 0);
      row.service += customer.value("service", 0.0);
    }
  }
  return rows;
}

double ServiceGap(const std::map<std::string, CustomerRow>& rows) {
  double lowest = 0;
  double highest = 0;
  bool first = true;
  for (const auto& [name, row] : rows) {
    if (row.waiting == 0) {
      continue;
    }
    const double value = row.service / row.share;
    lowest = first ? value : std::min(lowest, value);
    highest = first ? value : std::max(highest, value);
    first = false;
  }
  return highest - lowest;
}

void PrintDaemons(const json& daemons) {
  std::cout << absl::StrFormat("%-16s %-6s %-12s %-16s %7s %8s %8s %7s  %s\n", "DAEMON", "ROLE",
                               "ZONE", "BACKEND SERVER", "CONFIG", "RUNNING", "WAITING", "WINDOW",
                               "STATE");
  for (const auto& daemon : daemons) {
    std::cout << absl::StrFormat(
        "%-16s %-6s %-12s %-16s %7d %8d %8d %7d  %s\n", daemon.value("name", "?"),
        daemon.value("role", "?"), daemon.value("zone", "?"), daemon.value("backend", "-"),
        daemon.value("configuration_offset", -1), daemon.value("running", 0),
        daemon.value("waiting", 0), daemon.value("window", 0),
        daemon.value("draining", false) ? "draining" : "serving");
  }
}

void PrintZones(const json& daemons) {
  for (const auto& zone : daemons.front().value("zones", json::array())) {
    std::cout << "availability zone " << zone.value("zone", "?") << " is "
              << (zone.value("out", false) ? "out of service" : "in service") << "\n";
  }
}

void PrintMembers(const json& daemons) {
  for (const auto& daemon : daemons) {
    for (const auto& member : daemon.value("members", json::array())) {
      if (!member.value("linked", true) && !member.value("leaving", false) &&
          member.value("role", "") != daemon.value("role", "")) {
        std::cout << daemon.value("name", "?") << " has no link to " << member.value("name", "?")
                  << "\n";
      }
    }
  }
}

void PrintCustomers(const json& daemons) {
  const auto rows = MergeCustomers(daemons);
  std::cout << absl::StrFormat("%-24s %6s %8s %8s %12s %14s\n", "CUSTOMER", "SHARE", "WAITING",
                               "RUNNING", "SERVICE", "PER SHARE");
  for (const auto& [name, row] : rows) {
    std::cout << absl::StrFormat("%-24s %6.0f %8d %8d %12.1f %14.1f\n", name, row.share,
                                 row.waiting, row.running, row.service, row.service / row.share);
  }
  std::cout << absl::StrFormat("gap between waiting customers: %.1f units of service per share\n",
                               ServiceGap(rows));
}

/// Decisions of all daemons in chronological order.
std::vector<json> MergeDecisions(const json& responses) {
  std::vector<json> decisions;
  for (const auto& response : responses) {
    for (json decision : response.value("decisions", json::array())) {
      decision["at_daemon"] = response.value("name", "?");
      decisions.push_back(std::move(decision));
    }
  }
  std::ranges::stable_sort(decisions, {}, [](const json& decision) {
    return decision.value("at_unix_us", std::int64_t{0});
  });
  return decisions;
}

}  // namespace

int ShowStatus(const CommonOptions& common) {
  const Responses responses = QueryAll(common, "/status");
  if (responses.objects.empty()) {
    std::cerr << "no daemon can be reached\n";
    return kExitUnreachable;
  }
  if (common.output == Output::kJson) {
    json merged = responses.objects.front();
    merged["daemons"] = responses.objects;
    std::cout << merged.dump(2) << "\n";
    return kExitDone;
  }
  PrintDaemons(responses.objects);
  PrintZones(responses.objects);
  PrintMembers(responses.objects);
  PrintCustomers(responses.objects);
  return kExitDone;
}

int Explain(const CommonOptions& common, const std::string& subject) {
  const auto equals = subject.find('=');
  const std::string kind = subject.substr(0, equals);
  if (equals == std::string::npos || equals + 1 == subject.size() ||
      (kind != "request" && kind != "customer" && kind != "backend")) {
    std::cerr << "explain needs request=ID, customer=NAME or backend=NAME\n";
    return kExitUsage;
  }
  const std::string value = subject.substr(equals + 1);
  const Responses responses =
      QueryAll(common, absl::StrCat("/explain?", kind, "=", PercentEncode(value)));
  if (responses.objects.empty()) {
    std::cerr << "no daemon can be reached\n";
    return kExitUnreachable;
  }
  const auto decisions = MergeDecisions(responses.objects);
  if (common.output == Output::kJson) {
    json merged = responses.objects.front();
    merged["decisions"] = decisions;
    merged["daemons"] = responses.objects;
    std::cout << merged.dump(2) << "\n";
    return kExitDone;
  }
  for (const auto& decision : decisions) {
    std::cout << absl::StrFormat("%s  %-12s %s\n", decision.value("at", ""),
                                 decision.value("at_daemon", ""), decision.value("what", ""));
  }
  for (const auto& response : responses.objects) {
    for (const auto& line : response.value("summary", json::array())) {
      std::cout << response.value("name", "?") << ": " << line.get<std::string>() << "\n";
    }
  }
  if (decisions.empty()) {
    std::cerr << "no queried daemon has a record of a decision about " << subject
              << "; query more daemons with --daemon, each keeps only its latest decisions\n";
    return kExitRefused;
  }
  return kExitDone;
}

}  // namespace lagoonwind::ctl
