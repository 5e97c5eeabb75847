#include <doctest/doctest.h>

#include <iterator>
#include <random>

#include "capacity_bench.h"

namespace lagoonwind::bench {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSchedules = 300;
/// Schedules on which a fixed concurrency limit is run for comparison.
constexpr std::uint64_t kComparedSchedules = 20;

/// Draws an engine from the specified range: a capacity of two to four concurrent requests when
/// cold and up to 40 when warm, growing by 0.1 to 50 requests per second.
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

TEST_CASE("a cold engine is not overloaded, whatever the growth of its capacity") {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    CHECK(RunCapacityBench(Schedule(seed)).overloads == 0);
  }
}

TEST_CASE("a concurrency limit fixed at the warm capacity overloads the same engines") {
  std::uint64_t overloaded = 0;
  for (std::uint64_t seed = 1; seed <= kComparedSchedules; ++seed) {
    BenchOptions options = Schedule(seed);
    options.fixed_concurrency_limit = static_cast<std::uint32_t>(options.engine.warm_capacity);
    overloaded += RunCapacityBench(options).overloads > 0 ? 1 : 0;
  }
  CHECK(overloaded > kComparedSchedules / 2);
}

TEST_CASE("an engine that returns to cold start twice in a row without notice is not overloaded") {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    BenchOptions options = Schedule(seed);
    const Duration first = seconds(5) + Duration(seed * 10'007);
    options.cold_resets = {first, first + std::chrono::milliseconds(300 + 13 * seed)};
    CAPTURE(seed);
    CHECK(RunCapacityBench(options).overloads == 0);
  }
}

TEST_CASE("an agent that restarts while its engine runs requests does not overload it") {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    BenchOptions options = Schedule(seed);
    const Duration first = seconds(5) + Duration(seed * 10'007);
    options.agent_restarts = {first, first + std::chrono::milliseconds(13 * seed)};
    CAPTURE(seed);
    CHECK(RunCapacityBench(options).overloads == 0);
  }
}

TEST_CASE("a warm engine reaches 90% of its throughput within five seconds") {
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
