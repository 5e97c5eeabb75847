#include <doctest/doctest.h>

#include "fleet_bench.h"

namespace lagoonwind::bench {
namespace {

constexpr std::uint64_t kSeeds = 100;
/// Crashes that each of several copies sent at the same time may cause: one before the request is
/// suspected and one while it is. Copies sent later cause none.
constexpr std::uint64_t kMaxCrashes = 2;

FleetOptions ResentRequestOptions(std::uint64_t seed, int copies) {
  return FleetOptions{.seed = seed,
                      .length = std::chrono::seconds(20),
                      .link_delay = std::chrono::milliseconds(1 + seed % 20),
                      .crashing_submissions = 10,
                      .crashing_copies = copies};
}

TEST_CASE("a crashing request resent over all entries crashes at most two incarnations") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const FleetResult result = RunFleetBench(ResentRequestOptions(seed, 1));
    CHECK(result.crashes <= kMaxCrashes);
    CHECK(result.crashing_quarantined >= 8);
    CHECK(result.false_not_run == 0);
  }
}

TEST_CASE(
    "copies sent at the same time crash at most two incarnations each, however often resent") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const FleetResult result = RunFleetBench(ResentRequestOptions(seed, 3));
    CHECK(result.crashes <= kMaxCrashes * 3);
    CHECK(result.false_not_run == 0);
  }
}

TEST_CASE("requests that ran beside the crashing one are retried and get a known outcome") {
  std::uint64_t unknown = 0;
  std::uint64_t sent = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetResult result = RunFleetBench(ResentRequestOptions(seed, 1));
    unknown += result.unknown - result.crashing_unknown;
    sent += result.sent;
    CHECK(result.not_run == result.crashing_quarantined);
  }
  CHECK(sent > 100 * kSeeds);
  CHECK(unknown == 0);
}

TEST_CASE("without quarantine the same request continues to crash engines") {
  FleetOptions options = ResentRequestOptions(1, 1);
  options.quarantine = false;
  CHECK(RunFleetBench(options).crashes > 5 * kMaxCrashes);
}

}  // namespace
}  // namespace lagoonwind::bench
