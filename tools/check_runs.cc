#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "fleet.h"

/// Reads the executions that each backend server of a local fleet recorded, and exits with 1 if two
/// of them have the same customer and idempotency key. Usage: check_runs FLEET_JSON
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
      std::cerr << backend.at("name") << " did not return its list of executions\n";
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
      std::cerr << "executed " << count << " times: " << call << "\n";
    }
  }
  std::cout << "backend servers executed " << executions << " requests, "
            << executions_by_key.size()
            << " distinct idempotency keys; keys executed more than once: " << duplicates << "\n";
  return duplicates == 0 ? 0 : 1;
}
