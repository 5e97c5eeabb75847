#include <doctest/doctest.h>

#include <algorithm>

#include "virtual_fleet.h"

namespace lagoonwind::testing {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSettle = 10s;
constexpr Duration kDuration = 40s;
/// Largest gap that issue 4 allows, as a multiple of the omniscient scheduler's.
constexpr double kMaxGapRatio = 2;

/// Sixteen customers at Pakthong's size, each behind one entry only.
VirtualFleetOptions OneEntryPerCustomer(std::uint64_t seed) {
  VirtualFleetOptions options{.entries = 3, .agents = 10, .slots = 8, .seed = seed};
  for (std::size_t i = 0; i < 16; ++i) {
    options.customers.push_back({.name = "customer-" + std::to_string(i),
                                 .share = i % 5 == 0 ? 4U : 1U,
                                 .entries = {i % options.entries},
                                 .depth = 30});
  }
  return options;
}

double LargestAfterSettling(std::vector<double> gaps) {
  gaps.erase(gaps.begin(), gaps.begin() + kSettle / kGapInterval);
  return std::ranges::max(gaps);
}

TEST_CASE("with every customer behind one entry the gap stays within twice the omniscient one") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const VirtualFleetOptions options = OneEntryPerCustomer(seed);
    const double reference = LargestAfterSettling(OmniscientGaps(options, kDuration));
    VirtualFleet fleet(options);
    std::vector<double> gaps;
    const Time start = fleet.now();
    while (fleet.now() - start < kDuration) {
      fleet.RunUntil(fleet.now() + kGapInterval);
      gaps.push_back(Spread(fleet.ServicePerShare()));
    }
    const double gap_ratio = LargestAfterSettling(gaps) / reference;
    MESSAGE("seed " << seed << ": " << gap_ratio << " times the omniscient scheduler's gap");
    CHECK(gap_ratio <= kMaxGapRatio);
  }
}

}  // namespace
}  // namespace lagoonwind::testing
