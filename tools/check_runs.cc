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
  std::map<std::string, int> runs_by_key;
  std::size_t runs = 0;
  for (const auto& backend : fleet.at("backends")) {
    const auto answer = lagoonwind::testing::FetchNow(
        backend.at("address"), lagoonwind::http::Request{.target = "/standin/runs"});
    if (!answer.ok()) {
      std::cerr << backend.at("name") << " doesn't answer\n";
      return 1;
    }
    const auto list = nlohmann::json::parse(answer->body).at("runs");
    runs += list.size();
    for (const auto& run : list) {
      const std::string key = run.at("key");
      if (!key.empty()) {
        ++runs_by_key[run.at("customer").get<std::string>() + " " + key];
      }
    }
  }
  int doubled = 0;
  for (const auto& [key, count] : runs_by_key) {
    if (count > 1) {
      ++doubled;
      std::cerr << "ran " << count << " times: " << key << "\n";
    }
  }
  std::cout << "backend servers ran " << runs << " requests, " << runs_by_key.size()
            << " of them bookings; bookings run twice: " << doubled << "\n";
  return doubled == 0 ? 0 : 1;
}
