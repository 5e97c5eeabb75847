#include <doctest/doctest.h>

#include <iterator>
#include <random>

#include "capacity_bench.h"

namespace lagoonwind::bench {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSchedules = 300;
/// Schedules of which the fixed window is given the same.
constexpr std::uint64_t kComparedSchedules = 20;

/// The stated range: a cold engine bears two to four requests, a warm one up to 40; the bearing
/// grows by 0.1 to 50 requests a second.
BenchOptions Schedule(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto pick = [&](auto... values) {
    const std::common_type_t<decltype(values)...> list[] = {values...};
    return list[random() % std::size(list)];
  };
  BenchOptions options{.seed = seed, .length = seconds(20)};
  options.engine.cold_capacity = pick(2, 3, 4);
  options.engine.warm_capacity = pick(4, 8, 16, 40);
  options.engine.capacity_growth_per_second = pick(0.1, 0.5, 1.0, 5.0, 50.0);
  options.engine.token_interval = std::chrono::milliseconds(pick(30, 50, 70));
  options.engine.knee = pick(0.5, 0.6, 0.7);
  options.max_tokens = pick(20, 200, 1000);
  return options;
}

TEST_CASE("a cold engine gets no more than it bears, whatever the growth of its bearing") {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    CHECK(RunCapacityBench(Schedule(seed)).overloads == 0);
  }
}

TEST_CASE("a window fixed at the warm bearing overloads the same engines") {
  std::uint64_t overloaded = 0;
  for (std::uint64_t seed = 1; seed <= kComparedSchedules; ++seed) {
    BenchOptions options = Schedule(seed);
    options.fixed_concurrency_limit = static_cast<std::uint32_t>(options.engine.warm_capacity);
    overloaded += RunCapacityBench(options).overloads > 0 ? 1 : 0;
  }
  CHECK(overloaded > kComparedSchedules / 2);
}

TEST_CASE(
    "an engine that falls back into cold start unannounced, twice running, isn't overloaded") {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    BenchOptions options = Schedule(seed);
    const Duration first = seconds(5) + Duration(seed * 10'007);
    options.cold_resets = {first, first + std::chrono::milliseconds(300 + 13 * seed)};
    CAPTURE(seed);
    CHECK(RunCapacityBench(options).overloads == 0);
  }
}

TEST_CASE("an agent that restarts while its engine runs work doesn't overload it") {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    BenchOptions options = Schedule(seed);
    const Duration first = seconds(5) + Duration(seed * 10'007);
    options.agent_restarts = {first, first + std::chrono::milliseconds(13 * seed)};
    CAPTURE(seed);
    CHECK(RunCapacityBench(options).overloads == 0);
  }
}

TEST_CASE("a warm engine is used to its throughput within seconds") {
  for (const double capacity : {2.0, 4.0, 16.0, 40.0}) {
    const BenchOptions options{.engine = {.cold_capacity = capacity, .warm_capacity = capacity},
                               .length = seconds(20),
                               .warm_up = seconds(5)};
    CAPTURE(capacity);
    CHECK(RunCapacityBench(options).throughput > 0.9);
  }
}

}  // namespace
}  // namespace lagoonwind::bench
