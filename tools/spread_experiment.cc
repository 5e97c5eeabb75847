#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "spread_fleet.h"

/// Measures in virtual time how long rule changes take to reach every process of fleets of
/// increasing size, and the traffic that this causes. Prints CSV.
namespace {

using lagoonwind::Duration;
using lagoonwind::testing::SpreadFleet;
using lagoonwind::testing::SpreadFleetOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Size {
  int entries;
  int agents;
  int zones;
  int links;
};

/// Customers per agent in the fleet size that the requirements state.
constexpr int kCustomersPerAgent = 6;
constexpr int kChanges = 5;

std::string RulesOf(int customers, int change) {
  std::string text;
  for (int i = 0; i < customers; ++i) {
    std::string digest = std::to_string(i);
    digest.insert(0, 64 - digest.size(), 'a');
    text += "customer customer-" + std::to_string(i) + " share 1 token sha256:" + digest +
            " queue 200  # asked by: account team, contract\n";
  }
  return text + "zone z0 " + (change % 2 == 1 ? "out" : "in") + "  # asked by: night shift\n";
}

double Milliseconds(Duration time) { return static_cast<double>(time.count()) / 1000.0; }

std::uint64_t MaxBytesPerProcess(const SpreadFleet& fleet,
                                 const std::vector<std::uint64_t>& before) {
  std::uint64_t max_bytes = 0;
  for (int i = 0; i < fleet.size(); ++i) {
    max_bytes = std::max(max_bytes, fleet.bytes(i) - before[static_cast<std::size_t>(i)]);
  }
  return max_bytes;
}

std::vector<std::uint64_t> BytesPerProcess(const SpreadFleet& fleet) {
  std::vector<std::uint64_t> bytes(static_cast<std::size_t>(fleet.size()));
  std::ranges::generate(bytes, [&fleet, i = 0]() mutable { return fleet.bytes(i++); });
  return bytes;
}

/// Disconnects the first zone and returns the time until each of its processes refuses new
/// requests.
Duration MeasureZoneCutOff(SpreadFleet& fleet) {
  fleet.CutZone(0, true);
  const auto all_closed = [&] {
    for (int i = 0; i < fleet.size(); ++i) {
      if (fleet.zone(i) == 0 &&
          fleet.stats(i).refusal_reason == lagoonwind::policy::Reason::kNone) {
        return false;
      }
    }
    return true;
  };
  return fleet.RunUntil(all_closed, seconds(60));
}

void Measure(const Size& size) {
  const int customers = kCustomersPerAgent * size.agents;
  SpreadFleet fleet(SpreadFleetOptions{.entries = size.entries,
                                       .agents = size.agents,
                                       .zones = size.zones,
                                       .links = size.links,
                                       .rules = RulesOf(customers, 0)});
  const Duration cold_start =
      fleet.RunUntil([&] { return fleet.AllHaveConfiguration(0); }, seconds(60));
  fleet.Run(seconds(5));
  auto before = BytesPerProcess(fleet);
  const auto reads = fleet.log().reads;
  constexpr seconds kIdle{10};
  fleet.Run(kIdle);
  const auto idle = MaxBytesPerProcess(fleet, before) / kIdle.count();
  const double reads_a_second = static_cast<double>(fleet.log().reads - reads) / kIdle.count();
  Duration slowest{0};
  Duration slowest_zone_out{0};
  std::uint64_t change_bytes = 0;
  for (int change = 1; change <= kChanges; ++change) {
    before = BytesPerProcess(fleet);
    // The pause of 2110 ms below places each change at a different phase of the log reads.
    const auto offset = fleet.Apply(RulesOf(customers, change));
    const Duration took =
        fleet.RunUntil([&] { return fleet.AllHaveConfiguration(offset); }, seconds(60));
    slowest = std::max(slowest, took);
    if (change % 2 == 1) {
      slowest_zone_out = std::max(slowest_zone_out, took);
    }
    change_bytes = std::max(change_bytes, MaxBytesPerProcess(fleet, before));
    fleet.Run(milliseconds(2110));
  }
  // The last change takes the zone out; it must be in service again before it is disconnected.
  const auto in = fleet.Apply(RulesOf(customers, 0));
  fleet.RunUntil([&] { return fleet.AllHaveConfiguration(in); }, seconds(60));
  fleet.Run(seconds(2));
  const Duration cut_off = MeasureZoneCutOff(fleet);
  std::printf("%d,%d,%d,%.0f,%.0f,%.0f,%.0f,%llu,%llu,%.1f,%llu\n", fleet.size(), customers,
              size.links, Milliseconds(cold_start), Milliseconds(slowest),
              Milliseconds(slowest_zone_out), Milliseconds(cut_off),
              static_cast<unsigned long long>(idle), static_cast<unsigned long long>(change_bytes),
              reads_a_second, static_cast<unsigned long long>(fleet.log().appends));
  std::fflush(stdout);
}

}  // namespace

int main() {
  std::puts(
      "processes,customers,links_of_entry,cold_start_ms,in_force_ms,zone_out_last_work_ms,cut_off_"
      "last_work_ms,"
      "idle_bytes_per_s,bytes_in_change,log_reads_per_s,log_appends");
  for (const Size& size : {Size{2, 5, 3, 0}, Size{8, 12, 3, 0}, Size{40, 60, 6, 20},
                           Size{160, 240, 6, 20}, Size{410, 600, 6, 20}}) {
    Measure(size);
  }
  return 0;
}
