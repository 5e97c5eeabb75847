#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "fleet.h"

/// Asks every backend server of a local fleet what it ran, and fails if a keyed call ran twice.
/// Usage: check_runs FLEET_JSON
int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: check_runs FLEET_JSON\n";
    return 2;
  }
  const auto fleet = nlohmann::json::parse(std::ifstream(argv[1]));
  std::map<std::string, int> executions_by_key;
  std::size_t executions = 0;
  for (const auto& backend : fleet.at("backends")) {
    const auto response = lagoonwind::testing::FetchNow(
        backend.at("address"), lagoonwind::http::Request{.target = "/standin/runs"});
    if (!response.ok()) {
      std::cerr << backend.at("name") << " doesn't answer\n";
      return 1;
    }
    const auto list = nlohmann::json::parse(response->body).at("runs");
    executions += list.size();
    for (const auto& execution : list) {
      const std::string idempotency_key = execution.at("key");
      if (!idempotency_key.empty()) {
        ++executions_by_key[execution.at("customer").get<std::string>() + " " + idempotency_key];
      }
    }
  }
  int duplicates = 0;
  for (const auto& [call, count] : executions_by_key) {
    if (count > 1) {
      ++duplicates;
      std::cerr << "ran " << count << " times: " << call << "\n";
    }
  }
  std::cout << "backend servers ran " << executions << " requests, " << executions_by_key.size()
            << " of them bookings; bookings run twice: " << duplicates << "\n";
  return duplicates == 0 ? 0 : 1;
}
