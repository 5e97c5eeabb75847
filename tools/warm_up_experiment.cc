#include <cstdlib>
#include <iostream>

#include "capacity_bench.h"

/// Measures overloads, crashes and utilisation of a simulated engine, summed or averaged over
/// seeds, with the agent's adaptive concurrency limit and with fixed limits. Prints CSV. Usage:
/// warm_up_experiment [SEEDS]
namespace {

using lagoonwind::bench::BenchOptions;
using lagoonwind::bench::BenchResult;

constexpr int kDefaultSeeds = 50;

struct Scenario {
  /// Value of the CSV column `scenario`.
  const char* name;
  BenchOptions options;
};

void Report(const Scenario& scenario, std::uint32_t fixed_concurrency_limit, int seeds) {
  BenchResult total;
  for (int seed = 1; seed <= seeds; ++seed) {
    BenchOptions options = scenario.options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.fixed_concurrency_limit = fixed_concurrency_limit;
    const BenchResult result = lagoonwind::bench::RunCapacityBench(options);
    total.overloads += result.overloads;
    total.crashes += result.crashes;
    total.throughput += result.throughput / seeds;
    total.occupancy += result.occupancy / seeds;
  }
  std::cout << scenario.name << "," << (fixed_concurrency_limit > 0 ? "fixed" : "found") << ","
            << fixed_concurrency_limit << "," << seeds << "," << total.overloads << ","
            << total.crashes << "," << total.throughput << "," << total.occupancy << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  using std::chrono::seconds;
  const int seeds = argc > 1 ? std::atoi(argv[1]) : kDefaultSeeds;
  const Scenario scenarios[] = {
      {"warm", {.engine = {.cold_capacity = 16}}},
      {"warm, after 5 s", {.engine = {.cold_capacity = 16}, .warm_up = seconds(5)}},
      {"small and warm, after 5 s",
       {.engine = {.cold_capacity = 4, .warm_capacity = 4}, .warm_up = seconds(5)}},
      {"cold, 0.2/s", {.engine = {.capacity_growth_per_second = 0.2}}},
      {"cold, 1/s", {.engine = {.capacity_growth_per_second = 1}}},
      {"cold, 10/s", {.engine = {.capacity_growth_per_second = 10}}},
      {"one when cold, 0.5/s", {.engine = {.cold_capacity = 1, .capacity_growth_per_second = 0.5}}},
      {"two fallbacks",
       {.engine = {.capacity_growth_per_second = 1}, .cold_resets = {seconds(20), seconds(23)}}},
      {"agent restarts twice",
       {.engine = {.cold_capacity = 16}, .agent_restarts = {seconds(10), seconds(12)}}},
      {"200 requests wide",
       {.engine = {.cold_capacity = 4, .warm_capacity = 200, .capacity_growth_per_second = 20}}},
  };
  std::cout << "scenario,window,size,seeds,overloads,crashes,throughput,occupancy\n";
  for (const Scenario& scenario : scenarios) {
    Report(scenario, 0, seeds);
    Report(scenario, 1, seeds);
    Report(scenario, static_cast<std::uint32_t>(scenario.options.engine.warm_capacity), seeds);
  }
  return EXIT_SUCCESS;
}
