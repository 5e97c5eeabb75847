// Engines of uneven speed under long prompts. One prefill rate for all engines overloads the slow
// ones and leaves the fast ones idle.
#include <doctest/doctest.h>

#include "virtual_engines.h"

namespace lagoonwind::policy {

TEST_CASE("gateways learn the rate of each of several uneven engines within five seconds") {
  for (const int count : {3, 30, 300}) {
    CAPTURE(count);
    const std::vector<VirtualEngine> engines = UnevenEngines();
    VirtualGateways gateways(count, engines);
    gateways.Run(std::chrono::seconds(5), 0.6);
    for (const std::size_t gateway : {std::size_t{0}, gateways.size() - 1}) {
      for (std::size_t i = 0; i < engines.size(); ++i) {
        CAPTURE(i);
        CHECK(gateways.Rate(gateway, i) > 0.85 * engines[i].rate);
        CHECK(gateways.Rate(gateway, i) < 1.15 * engines[i].rate);
      }
    }
  }
}

TEST_CASE("a slow spell of an engine is not taken for lasting slowness") {
  const std::vector<VirtualEngine> engines = UnevenEngines(true);
  VirtualGateways gateways(30, engines);
  // 15% of the time at 0.4 of the speed.
  constexpr double kMeanSpeed = 0.85 + 0.15 * 0.4;
  for (const int end_ms : {8000, 8600, 10000, 12000, 12600}) {
    CAPTURE(end_ms);
    gateways.Run(milliseconds(end_ms), 0.6);
    for (std::size_t i = 0; i < engines.size(); ++i) {
      CAPTURE(i);
      CHECK(gateways.Rate(0, i) > 0.7 * kMeanSpeed * engines[i].rate);
      CHECK(gateways.Rate(0, i) < 1.2 * engines[i].rate);
    }
  }
}

}  // namespace lagoonwind::policy
