#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "soak_callers.h"
#include "soak_checks.h"
#include "soak_plan.h"
#include "soak_world.h"

namespace lagoonwind::testing {
namespace {

struct SoakOptions {
  std::vector<std::uint64_t> seeds;
  std::chrono::milliseconds duration{5000};
  int gateways = 3;
  int servers = 6;
  int callers = 8;
};

/// Runs the plan of one seed and prints a JSON line with the result. \return True if no violation
/// was found.
bool RunSeed(std::uint64_t seed, const SoakOptions& options) {
  SoakWorld world(options.gateways, options.servers);
  SoakCallers callers({.seed = seed, .callers = options.callers, .gateways = options.gateways},
                      world.stop_signals(), world.configurations());
  const std::vector<Step> plan = MakePlan({.seed = seed,
                                           .duration = options.duration,
                                           .gateways = options.gateways,
                                           .servers = options.servers});
  world.RunPlan(plan);
  std::vector<std::string> violations = world.Recover();
  std::vector<CallRecord> calls = callers.Stop();
  std::ranges::move(world.StopGateways(), std::back_inserter(violations));
  // All gateways have stopped, so no further request can reach a backend server.
  const std::vector<ReceivedRequest> seen = world.Seen();
  const std::set<std::string> logged = world.LoggedRequests();
  for (CallRecord& call : calls) {
    call.stop_signal = world.stop_signals().LastBefore(call.gateway, call.ended);
    call.logged = logged.contains(call.id);
  }
  std::ranges::move(FindViolations(calls, seen,
                                   {.planned_only = IsPlannedOnly(seed),
                                    .configurations = world.configurations().versions(),
                                    .silences = world.silences()}),
                    std::back_inserter(violations));
  std::ranges::move(world.FindRegressions(), std::back_inserter(violations));
  const auto served = std::ranges::count_if(
      calls, [](const CallRecord& call) { return call.status == 200 && call.complete; });
  if (served == 0) {
    violations.emplace_back("SERVED none");
  }
  // Calls by status; `cut` ones have an incomplete response, 0 none at all.
  std::map<std::string, int> outcomes;
  for (const CallRecord& call : calls) {
    ++outcomes[call.disconnected                   ? "disconnected"
               : call.complete || call.status == 0 ? absl::StrCat(call.status)
                                                   : "cut"];
  }
  // Calls that were sent after SIGTERM and answered, and when the last of them was sent.
  int drain_calls = 0;
  std::chrono::milliseconds last_drain_call{0};
  for (const CallRecord& call : calls) {
    if (call.stop_signal && call.status != 0 && call.sent > *call.stop_signal &&
        call.sent < *call.stop_signal + kShutdownGrace) {
      ++drain_calls;
      last_drain_call = std::max(
          last_drain_call,
          std::chrono::duration_cast<std::chrono::milliseconds>(call.sent - *call.stop_signal));
    }
  }
  nlohmann::ordered_json line{{"seed", seed},
                              {"planned_only", IsPlannedOnly(seed)},
                              {"steps", plan.size()},
                              {"versions", world.configurations().newest()},
                              {"calls", calls.size()},
                              {"served", served},
                              {"drain_calls", drain_calls},
                              {"last_drain_call_ms", last_drain_call.count()},
                              {"arrivals", seen.size()},
                              {"outcomes", outcomes},
                              {"broken", violations}};
  if (!violations.empty()) {
    line["logs"] = world.platform().KeepFiles();
  }
  std::cout << line.dump() << std::endl;
  return violations.empty();
}

/// Adds seeds written as `3` or `3-8`. \return False, after an error message, if `text` is neither.
bool AddSeedRange(const std::string& text, std::vector<std::uint64_t>& seeds) {
  const std::vector<std::string> bounds = absl::StrSplit(text, '-');
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  if (bounds.size() > 2 || !absl::SimpleAtoi(bounds.front(), &first) ||
      !absl::SimpleAtoi(bounds.back(), &last) || last < first) {
    std::cerr << "gateway_soak: invalid seeds, expected N or N-M, got: " << text << "\n";
    return false;
  }
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    seeds.push_back(seed);
  }
  return true;
}

/// Adds seeds written as ranges that commas separate, such as `3,5-8`. \return False, after an
/// error message, if `text` is something else.
bool AddSeeds(const std::string& text, std::vector<std::uint64_t>& seeds) {
  const std::vector<std::string> ranges = absl::StrSplit(text, ',');
  return std::ranges::all_of(ranges,
                             [&](const std::string& range) { return AddSeedRange(range, seeds); });
}

/// Adds the seeds of a file. Each line has a seed and a description of the failure that it once
/// found; lines that start with `# ` are comments. \return False, after an error message, if the
/// file cannot be read or a seed is invalid.
bool AddSeedsFromFile(const std::string& path, std::vector<std::uint64_t>& seeds) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "gateway_soak: cannot read " << path << "\n";
    return false;
  }
  for (std::string line; std::getline(file, line);) {
    const std::string range = line.substr(0, line.find(' '));
    if (!range.empty() && range != "#" && !AddSeeds(range, seeds)) {
      return false;
    }
  }
  return true;
}

int Main(int argc, char** argv) {
  cxxopts::Options option_parser(
      "gateway_soak",
      "Injects faults into a fleet of gateways under load and checks their guarantees.");
  option_parser.add_options()("seeds", "Seeds to run, such as 3,5-8",
                              cxxopts::value<std::string>())(
      "regressions", "File with seeds that once failed", cxxopts::value<std::string>())(
      "seconds", "Duration of the plan of each seed in seconds",
      cxxopts::value<int>()->default_value("5"))("gateways", "Number of gateway processes",
                                                 cxxopts::value<int>()->default_value("3"))(
      "servers", "Number of backend servers", cxxopts::value<int>()->default_value("6"))(
      "callers", "Number of concurrent callers", cxxopts::value<int>()->default_value("8"))(
      "help", "Show this text");
  constexpr int kUsageError = 2;
  try {
    const auto arguments = option_parser.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << option_parser.help();
      return 0;
    }
    SoakOptions options{.duration = std::chrono::seconds(arguments["seconds"].as<int>()),
                        .gateways = arguments["gateways"].as<int>(),
                        .servers = arguments["servers"].as<int>(),
                        .callers = arguments["callers"].as<int>()};
    const bool valid =
        (arguments.count("seeds") == 0 ||
         AddSeeds(arguments["seeds"].as<std::string>(), options.seeds)) &&
        (arguments.count("regressions") == 0 ||
         AddSeedsFromFile(arguments["regressions"].as<std::string>(), options.seeds));
    if (!valid) {
      return kUsageError;
    }
    const auto failed = std::ranges::count_if(
        options.seeds, [&](std::uint64_t seed) { return !RunSeed(seed, options); });
    std::cout << options.seeds.size() << " seeds run, " << failed << " with violations\n";
    return failed == 0 ? 0 : 1;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "gateway_soak: " << error.what() << "\n";
    return kUsageError;
  }
}

}  // namespace
}  // namespace lagoonwind::testing

int main(int argc, char** argv) { return lagoonwind::testing::Main(argc, argv); }
