#include <doctest/doctest.h>

#include <algorithm>

#include "virtual_fleet.h"

namespace lagoonwind::testing {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSettle = 10s;
constexpr Duration kDuration = 40s;
/// Largest allowed gap as a multiple of the central scheduler's; the target of issue 4.
constexpr double kMaxGapRatio = 2;

/// A fleet of Pakthong's size with sixteen customers, each behind only one entry.
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

TEST_CASE("with each customer behind one entry the gap is at most twice the central scheduler's") {
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
    MESSAGE("seed " << seed << ": " << gap_ratio << " times the central scheduler's gap");
    CHECK(gap_ratio <= kMaxGapRatio);
  }
}

}  // namespace
}  // namespace lagoonwind::testing
