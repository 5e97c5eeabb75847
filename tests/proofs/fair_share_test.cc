#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

#include "virtual_fleet.h"

namespace lagoonwind::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSchedules = 300;
constexpr Duration kRun = 50s;
/// Time at which all faults of a schedule have ended.
constexpr Duration kFaultsEnd = 20s;
/// Period after the faults over which the gap is measured.
constexpr Duration kWindow = 30s;
constexpr std::uint64_t kMinMeanCost = 30;

std::uint64_t Draw(std::mt19937_64& random, std::uint64_t min, std::uint64_t max) {
  return min + random() % (max - min + 1);
}

/// Draws a small fleet in which each customer reaches only one random entry.
VirtualFleetOptions DrawFleetOptions(std::uint64_t seed, std::mt19937_64& random) {
  VirtualFleetOptions options{.entries = Draw(random, 2, 3),
                              .agents = Draw(random, 3, 6),
                              .slots = static_cast<std::uint32_t>(Draw(random, 1, 4)),
                              .seed = seed};
  const std::uint64_t customers = Draw(random, 3, 8);
  for (std::uint64_t i = 0; i < customers; ++i) {
    VirtualCustomer customer{.name = "customer-" + std::to_string(i),
                             .share = static_cast<std::uint32_t>(Draw(random, 1, 3)),
                             .entries = {Draw(random, 0, options.entries - 1)},
                             .mean_cost = static_cast<double>(Draw(random, kMinMeanCost, 150)),
                             .depth = 12};
    options.customers.push_back(std::move(customer));
  }
  return options;
}

/// Bound of the gap, see "The bound" in docs/FAIRNESS.md: the service of the whole fleet between
/// two reports, plus a term for the mean request with the highest cost per share on each slot and
/// its estimation error.
double Bound(const VirtualFleetOptions& options) {
  const double slots = static_cast<double>(options.agents) * options.slots;
  const double delay = std::chrono::duration<double>(options.fair_share.report_interval).count();
  double max_cost_per_share = 0;
  for (const auto& customer : options.customers) {
    max_cost_per_share = std::max(max_cost_per_share, customer.mean_cost / customer.share);
  }
  return slots * options.rate * delay + 4 * max_cost_per_share * std::sqrt(slots) +
         8 * max_cost_per_share;
}

/// Time within which each backlogged customer must receive service: twice the bound at the rate of
/// service per share.
Duration MaxWait(const VirtualFleetOptions& options) {
  double shares = 0;
  for (const auto& customer : options.customers) {
    shares += customer.share;
  }
  const double rate = static_cast<double>(options.agents) * options.slots * options.rate / shares;
  const std::chrono::duration<double> wait(2 * Bound(options) / rate);
  return std::chrono::duration_cast<Duration>(wait);
}

/// Partitions one entry and half of the agents from the others, meanwhile freezes a random agent,
/// and restarts a random agent and a random entry.
void RunFaults(const VirtualFleetOptions& options, std::mt19937_64& random, VirtualFleet& fleet) {
  const Time start = fleet.now();
  const std::size_t cut_agents = options.agents / 2;
  fleet.RunUntil(start + 3s);
  fleet.SetPartition(0, 1);
  for (std::size_t i = 0; i < cut_agents; ++i) {
    fleet.SetPartition(fleet.agent(i), 1);
  }
  const std::size_t frozen = fleet.agent(Draw(random, 0, options.agents - 1));
  fleet.SetFrozen(frozen, true);
  fleet.RunUntil(start + 10s);
  fleet.SetFrozen(frozen, false);
  fleet.Restart(fleet.agent(Draw(random, 0, options.agents - 1)));
  fleet.RunUntil(start + 14s);
  fleet.Restart(Draw(random, 0, options.entries - 1));
  fleet.RunUntil(start + kFaultsEnd);
  for (std::size_t i = 0; i < options.entries + options.agents; ++i) {
    fleet.SetPartition(i, 0);
  }
}

struct ScheduleResult {
  double gap = 0;
  double bound = 0;
  /// Least service per share that a customer received within MaxWait() and at least kWindow.
  double least_service = 0;
};

ScheduleResult RunSchedule(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  VirtualFleetOptions options = DrawFleetOptions(seed, random);
  VirtualFleet fleet(options);
  const Time start = fleet.now();
  RunFaults(options, random, fleet);
  fleet.RunUntil(start + kRun);
  const std::vector<double> before = fleet.ServicePerShare();
  fleet.RunUntil(start + kRun + kWindow);
  std::vector<double> after = fleet.ServicePerShare();
  std::ranges::transform(after, before, after.begin(), std::minus<>());
  ScheduleResult result{.gap = Spread(after), .bound = Bound(options)};
  fleet.RunUntil(start + kRun + std::max<Duration>(kWindow, MaxWait(options)));
  after = fleet.ServicePerShare();
  std::ranges::transform(after, before, after.begin(), std::minus<>());
  result.least_service = std::ranges::min(after);
  return result;
}

TEST_CASE("the gap between backlogged customers stays bounded after faults in 300 schedules") {
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const ScheduleResult result = RunSchedule(seed);
    CAPTURE(seed);
    CHECK(result.gap <= result.bound);
    CHECK(result.least_service > 0);
    worst = std::max(worst, result.gap / result.bound);
  }
  MESSAGE("largest ratio of a gap to its bound: " << worst);
}

/// One customer sends a flood to all entries, each other one only to one entry; mean costs differ
/// by a factor of 100.
TEST_CASE(
    "a flood at all entries affects only its sender, also when costs differ by a factor of 100") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    VirtualFleetOptions options{.entries = 3, .agents = 6, .slots = 4, .seed = seed};
    options.customers.push_back(
        {.name = "flood", .entries = {0, 1, 2}, .mean_cost = 300, .depth = 90});
    for (std::size_t i = 0; i < 5; ++i) {
      options.customers.push_back({.name = "calm-" + std::to_string(i),
                                   .entries = {i % 3},
                                   .mean_cost = i == 0 ? 3.0 : 60.0,
                                   .depth = 30});
    }
    VirtualFleet fleet(options);
    fleet.RunUntil(fleet.now() + 120s);
    const std::vector<double> service = fleet.ServicePerShare();
    const double even = std::accumulate(service.begin(), service.end(), 0.0) / 6;
    CAPTURE(seed);
    CHECK(service[0] < 1.15 * even);
    CHECK(std::ranges::min(service) > 0.85 * even);
  }
}

TEST_CASE("in a fleet of Pakthong's size less than 1% of slot time is idle while requests wait") {
  VirtualFleetOptions options{.entries = 3, .agents = 10, .slots = 8};
  for (std::size_t i = 0; i < 16; ++i) {
    options.customers.push_back({.name = "customer-" + std::to_string(i),
                                 .share = i % 5 == 0 ? 4U : 1U,
                                 .entries = {i % 3},
                                 .depth = 30});
  }
  VirtualFleet fleet(options);
  fleet.RunUntil(fleet.now() + 30s);
  CHECK(fleet.IdleRatio() < 0.01);
}

}  // namespace
}  // namespace lagoonwind::testing
