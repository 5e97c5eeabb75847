#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleet.h"
#include "lagoonwind/rules.h"

/// Starts the local fleet that docs/OPERATING.md describes, and stops it on SIGTERM or SIGINT.
namespace {

using lagoonwind::testing::Fleet;
using lagoonwind::testing::LocalFleetOptions;

std::string ReadFile(const std::filesystem::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

/// Writes the rules and fleet.json. fleet.json is written last and renamed into place atomically,
/// so that its presence means that the fleet is ready.
void WriteDescription(const Fleet& fleet, const std::string& rules,
                      const std::filesystem::path& work_directory) {
  std::ofstream(work_directory / "rules.txt") << rules;
  nlohmann::json description = fleet.Describe();
  description["rules"] = (work_directory / "rules.txt").string();
  for (const auto& [id, customer] : lagoonwind::ParseRules(rules).configuration.customers) {
    description["tokens"][customer.name] = "token-" + customer.name;
  }
  std::ofstream(work_directory / "fleet.json.partial") << description.dump(2) << "\n";
  std::filesystem::rename(work_directory / "fleet.json.partial", work_directory / "fleet.json");
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("local_fleet",
                           "Runs a local fleet until it receives SIGTERM or SIGINT.");
  options.add_options()("programs", "directory of the executables", cxxopts::value<std::string>())(
      "work", "working directory for settings and logs", cxxopts::value<std::string>())(
      "rules", "rules file", cxxopts::value<std::string>());
  const auto parsed = options.parse(argc, argv);
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  const auto rules = ReadFile(parsed["rules"].as<std::string>());
  const std::filesystem::path work_directory = parsed["work"].as<std::string>();
  try {
    Fleet fleet(LocalFleetOptions(parsed["programs"].as<std::string>(), work_directory, rules));
    fleet.AwaitReady();
    WriteDescription(fleet, rules, work_directory);
    std::cout << "local fleet is ready; its description is in "
              << (work_directory / "fleet.json").string() << "\n"
              << std::flush;
    sigprocmask(SIG_BLOCK, &stop_signals, nullptr);
    int signal = 0;
    sigwait(&stop_signals, &signal);
    const bool clean = fleet.Drain();
    std::cout << (clean ? "local fleet drained\n" : "at least one daemon did not drain cleanly\n");
    return clean ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "local_fleet: " << error.what() << "\n";
    return 1;
  }
}
