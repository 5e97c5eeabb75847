#include <cstdlib>
#include <iostream>
#include <string>

#include "fleet_bench.h"

/// Measures how a fleet handles a request that crashes backend servers, with and without
/// quarantine, and a partial failure of its backend servers (brown-out), with and without a retry
/// budget. Prints CSV: sums over all seeds, and the mean latency. Usage: retry_experiment [SEEDS]
namespace {

using lagoonwind::bench::FleetOptions;
using lagoonwind::bench::FleetResult;
using std::chrono::seconds;

constexpr int kDefaultSeeds = 20;
/// Retry ratio that no workload reaches, which disables the budget.
constexpr double kNoBudget = 1000;

void Report(const std::string& name, FleetOptions options, int seeds) {
  FleetResult sum;
  for (int seed = 1; seed <= seeds; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    const FleetResult result = lagoonwind::bench::RunFleetBench(options);
    sum.sent += result.sent;
    sum.complete += result.complete;
    sum.not_run += result.not_run;
    sum.unknown += result.unknown;
    sum.abandoned += result.abandoned;
    sum.executions += result.executions;
    sum.crashes += result.crashes;
    sum.retries_denied += result.retries_denied;
    sum.crashing_quarantined += result.crashing_quarantined;
    sum.mean_seconds += result.mean_seconds / seeds;
  }
  std::cout << name << "," << seeds << "," << sum.sent << "," << sum.complete << "," << sum.not_run
            << "," << sum.unknown << "," << sum.abandoned << "," << sum.executions << ","
            << sum.crashes << "," << sum.crashing_quarantined << "," << sum.retries_denied << ","
            << sum.mean_seconds << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : kDefaultSeeds;
  std::cout << "scenario,seeds,sent,complete,not_run,unknown,left,runs,crashes,quarantined,"
               "retries_denied,mean_s\n";
  for (const int copies : {1, 3}) {
    for (const bool quarantine : {false, true}) {
      const FleetOptions crash{
          .crashing_submissions = 20, .crashing_copies = copies, .quarantine = quarantine};
      Report("crash; copies " + std::to_string(copies) +
                 (quarantine ? "; quarantine" : "; no quarantine"),
             crash, seeds);
    }
  }
  // The capacity of the fleet is 160 requests per second: 4 backend servers running 8 requests of
  // 200 ms each.
  for (const double rate : {40.0, 100.0, 130.0, 180.0}) {
    for (const double retry_ratio : {kNoBudget, 0.2, 0.1}) {
      const FleetOptions brownout{.length = seconds(120),
                                  .requests_per_second = rate,
                                  .caller_timeout = seconds(5),
                                  .failure_ratio = 0.6,
                                  .brownout_start = seconds(20),
                                  .brownout_end = seconds(60),
                                  .retry_ratio = retry_ratio};
      Report("brown-out; rate " + std::to_string(static_cast<int>(rate)) + "; share " +
                 (retry_ratio == kNoBudget ? "none" : std::to_string(retry_ratio)),
             brownout, seeds);
    }
  }
  return EXIT_SUCCESS;
}
