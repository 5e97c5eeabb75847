#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <span>
#include <string_view>

#include "lagoonwind/wire.h"
#include "virtual_fleet.h"

/// \file
/// Measures the fairness gap of the production scheduling policy in virtual time, next to that of a
/// scheduler that knows the state of the whole fleet. Prints CSV.
/// Usage: fairness_experiment [SIZE [SEEDS]]

namespace {

using namespace std::chrono_literals;
using lagoonwind::Duration;
using lagoonwind::Time;
using lagoonwind::testing::VirtualFleet;
using lagoonwind::testing::VirtualFleetOptions;
namespace policy = lagoonwind::policy;
namespace testing = lagoonwind::testing;

/// Initial time that is left out of the gap statistics.
constexpr Duration kSettlingTime = 10s;

struct Size {
  std::string_view name;
  std::size_t entries = 0;
  std::size_t agents = 0;
  std::uint32_t slots = 0;
  std::size_t customers = 0;
  /// Requests that each customer keeps queued at each of its entries.
  std::uint32_t depth = 6;
  Duration duration;
};

struct Variant {
  std::string_view name;
  policy::FairShareOptions options;
};

struct Gap {
  double max = 0;
  double p99 = 0;
};

VirtualFleetOptions OptionsFor(const Size& size, std::uint64_t seed) {
  VirtualFleetOptions options{
      .entries = size.entries, .agents = size.agents, .slots = size.slots, .seed = seed};
  for (std::size_t i = 0; i < size.customers; ++i) {
    testing::VirtualCustomer customer{.name = "customer-" + std::to_string(i),
                                      .share = i % 5 == 0 ? 4U : 1U,
                                      .depth = size.depth};
    // A third of the customers use a single entry, the others up to four.
    if (i % 3 == 0) {
      customer.entries.push_back(i % size.entries);
    } else {
      for (std::size_t entry = 0; entry < std::min<std::size_t>(size.entries, 4); ++entry) {
        customer.entries.push_back((i + entry) % size.entries);
      }
    }
    options.customers.push_back(std::move(customer));
  }
  return options;
}

Gap Summarise(std::vector<double> gaps) {
  gaps.erase(gaps.begin(), gaps.begin() + kSettlingTime / testing::kGapInterval);
  std::ranges::sort(gaps);
  return {.max = gaps.back(), .p99 = gaps[gaps.size() * 99 / 100]};
}

/// Encoded size in bytes of the control message that carries an action; 0 for messages that belong
/// to a single request.
std::size_t ControlBytes(const policy::Action& action) {
  namespace wire = lagoonwind::wire;
  wire::Message message;
  if (const auto* report = std::get_if<policy::SendLedgerReport>(&action)) {
    message.__set_ledger_report(wire::ToWire(report->report));
  } else if (const auto* totals = std::get_if<policy::SendLedgerTotals>(&action)) {
    message.__set_ledger_totals(wire::ToWire(totals->totals));
  } else if (const auto* demand = std::get_if<policy::SendDemand>(&action)) {
    message.__set_demand(wire::ToWire(demand->demand));
  } else if (const auto* grant = std::get_if<policy::SendGrant>(&action)) {
    message.__set_grant({});
    message.grant.id = static_cast<std::int64_t>(grant->grant.value);
    message.grant.customer = static_cast<std::int64_t>(grant->customer.value);
    message.grant.target = static_cast<std::int64_t>(grant->target.value);
  } else {
    return 0;
  }
  return wire::EncodeFrame(message).size();
}

/// Control traffic of the whole fleet in bytes, by type of message.
struct Traffic {
  std::size_t ledger = 0;
  std::size_t demand = 0;
  std::size_t grants = 0;

  void Add(const policy::Action& action) {
    const std::size_t bytes = ControlBytes(action);
    if (std::holds_alternative<policy::SendDemand>(action)) {
      demand += bytes;
    } else if (std::holds_alternative<policy::SendGrant>(action)) {
      grants += bytes;
    } else {
      ledger += bytes;
    }
  }
};

void Measure(const Size& size, const Variant& variant, std::uint64_t seed) {
  VirtualFleetOptions options = OptionsFor(size, seed);
  options.fair_share = variant.options;
  const Gap reference = Summarise(testing::OmniscientGaps(options, size.duration));
  VirtualFleet fleet(options);
  Traffic traffic;
  fleet.Observe([&](lagoonwind::MemberId, const policy::Action& action) { traffic.Add(action); });
  std::vector<double> gaps;
  const Time start = fleet.now();
  while (fleet.now() - start < size.duration) {
    fleet.RunUntil(fleet.now() + testing::kGapInterval);
    gaps.push_back(testing::Spread(fleet.ServicePerShare()));
  }
  const Gap gap = Summarise(gaps);
  double entry_time = 0;
  double agent_time = 0;
  for (std::size_t i = 0; i < size.entries + size.agents; ++i) {
    const double seconds = std::chrono::duration<double>(fleet.ProcessorTime(i)).count();
    (i < size.entries ? entry_time : agent_time) += seconds;
  }
  const double duration = std::chrono::duration<double>(size.duration).count();
  std::printf("%s,%s,%lu,%.0f,%.0f,%.0f,%.0f,%.2f,%.2f,%.4f,%.3f,%.3f,%.0f,%.0f,%.0f\n",
              size.name.data(), variant.name.data(), seed, gap.max, gap.p99, reference.max,
              reference.p99, gap.max / reference.max, gap.p99 / reference.p99, fleet.IdleRatio(),
              100 * entry_time / duration / static_cast<double>(size.entries),
              100 * agent_time / duration / static_cast<double>(size.agents),
              static_cast<double>(traffic.ledger) / duration / static_cast<double>(size.agents),
              static_cast<double>(traffic.grants) / duration / static_cast<double>(size.agents),
              static_cast<double>(traffic.demand) / duration / static_cast<double>(size.entries));
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  using policy::CostEstimate;
  using policy::ServiceEstimateMode;
  const std::string_view selected_size = argc > 1 ? argv[1] : "";
  const std::uint64_t seeds = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 2;
  const std::vector<Size> sizes{
      {"pakthong", 3, 10, 8, 16, 8, 300s},
      {"saltline", 3, 12, 8, 16, 8, 300s},
      {"medium", 10, 60, 8, 16, 40, 60s},
      {"letter", 20, 100, 8, 370, 6, 60s},
  };
  const std::vector<Variant> variants{
      {"local", {.estimate_mode = ServiceEstimateMode::kLocal}},
      {"late-total", {.estimate_mode = ServiceEstimateMode::kLedgerTotal}},
      {"reach", {.estimate_mode = ServiceEstimateMode::kScaledTotal}},
      {"dithered", {.estimate_mode = ServiceEstimateMode::kDithered}},
      {"dithered-no-estimate",
       {.estimate_mode = ServiceEstimateMode::kDithered, .cost_estimate = CostEstimate::kNone}},
      {"dithered-quantile",
       {.estimate_mode = ServiceEstimateMode::kDithered, .cost_estimate = CostEstimate::kQuantile}},
  };
  std::printf(
      "size,variant,seed,gap_max,gap_p99,omniscient_max,omniscient_p99,max_ratio,p99_ratio,"
      "idle_share,entry_core_percent,agent_core_percent,agent_ledger_bytes_s,"
      "agent_grant_bytes_s,entry_demand_bytes_s\n");
  for (const auto& size : sizes) {
    if (!selected_size.empty() && selected_size != size.name) {
      continue;
    }
    for (const auto& variant : variants) {
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Measure(size, variant, seed);
      }
    }
  }
  return 0;
}
