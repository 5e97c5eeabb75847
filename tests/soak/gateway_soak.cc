#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "soak_callers.h"
#include "soak_checks.h"
#include "soak_plan.h"
#include "soak_world.h"

namespace lagoonwind::testing {
namespace {

struct SoakOptions {
  std::vector<std::uint64_t> seeds;
  std::chrono::milliseconds length{5000};
  int gateways = 3;
  int servers = 6;
  int callers = 8;
};

/// Plays one seed and prints a line on it. \return True if all promises were kept.
bool PlaySeed(std::uint64_t seed, const SoakOptions& options) {
  SoakWorld world(options.gateways, options.servers);
  SoakCallers callers({.seed = seed, .callers = options.callers, .gateways = options.gateways});
  const std::vector<Step> plan = PlanOf({.seed = seed,
                                         .length = options.length,
                                         .gateways = options.gateways,
                                         .servers = options.servers});
  world.Play(plan);
  std::vector<std::string> broken = world.Heal();
  const std::vector<Call> calls = callers.Stop();
  std::ranges::move(world.StopAll(), std::back_inserter(broken));
  // No gateway is left that could send anything on.
  const std::vector<ReceivedRequest> seen = world.Seen();
  std::ranges::move(BrokenPromises(calls, seen, {.planned_only = IsPlannedOnly(seed)}),
                    std::back_inserter(broken));
  const auto served = std::ranges::count_if(
      calls, [](const Call& call) { return call.status == 200 && call.whole; });
  if (served == 0) {
    broken.emplace_back("SERVED none");
  }
  nlohmann::ordered_json line{{"seed", seed},         {"planned_only", IsPlannedOnly(seed)},
                              {"steps", plan.size()}, {"calls", calls.size()},
                              {"served", served},     {"arrivals", seen.size()},
                              {"broken", broken}};
  if (!broken.empty()) {
    line["logs"] = world.platform().KeepFiles();
  }
  std::cout << line.dump() << std::endl;
  return broken.empty();
}

/// Adds seeds written as `3` or `3-8`.
bool AddSeeds(const std::string& text, std::vector<std::uint64_t>& seeds) {
  const std::vector<std::string> ends = absl::StrSplit(text, '-');
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  if (ends.size() > 2 || !absl::SimpleAtoi(ends.front(), &first) ||
      !absl::SimpleAtoi(ends.back(), &last) || last < first) {
    std::cerr << "gateway_soak: seeds are given as N or N-M, not " << text << "\n";
    return false;
  }
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    seeds.push_back(seed);
  }
  return true;
}

/// Adds the seeds of a file: a seed and what it once found on each line.
bool AddRegressions(const std::string& path, std::vector<std::uint64_t>& seeds) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "gateway_soak: can't read " << path << "\n";
    return false;
  }
  for (std::string line; std::getline(file, line);) {
    const std::string word = line.substr(0, line.find(' '));
    if (!word.empty() && word != "#" && !AddSeeds(word, seeds)) {
      return false;
    }
  }
  return true;
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("gateway_soak", "Harms running gateways and checks what they promise.");
  parser.add_options()("seeds", "Seeds, as N or N-M", cxxopts::value<std::string>())(
      "regressions", "File of seeds that once failed", cxxopts::value<std::string>())(
      "seconds", "Length of each run", cxxopts::value<int>()->default_value("5"))(
      "gateways", "Gateway processes", cxxopts::value<int>()->default_value("3"))(
      "servers", "Backend servers", cxxopts::value<int>()->default_value("6"))(
      "callers", "Callers", cxxopts::value<int>()->default_value("8"))("help", "Show this text");
  constexpr int kUsageError = 2;
  try {
    const auto arguments = parser.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << parser.help();
      return 0;
    }
    SoakOptions options{.length = std::chrono::seconds(arguments["seconds"].as<int>()),
                        .gateways = arguments["gateways"].as<int>(),
                        .servers = arguments["servers"].as<int>(),
                        .callers = arguments["callers"].as<int>()};
    const bool understood =
        (arguments.count("seeds") == 0 ||
         AddSeeds(arguments["seeds"].as<std::string>(), options.seeds)) &&
        (arguments.count("regressions") == 0 ||
         AddRegressions(arguments["regressions"].as<std::string>(), options.seeds));
    if (!understood) {
      return kUsageError;
    }
    const auto failed = std::ranges::count_if(
        options.seeds, [&](std::uint64_t seed) { return !PlaySeed(seed, options); });
    std::cout << options.seeds.size() << " seeds played, " << failed << " broken\n";
    return failed == 0 ? 0 : 1;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "gateway_soak: " << error.what() << "\n";
    return kUsageError;
  }
}

}  // namespace
}  // namespace lagoonwind::testing

int main(int argc, char** argv) { return lagoonwind::testing::Main(argc, argv); }
