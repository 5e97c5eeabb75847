#include <algorithm>
#include <random>

#include "naive_scheduler.h"
#include "virtual_fleet.h"

namespace lagoonwind::testing {
namespace {

using namespace std::chrono_literals;

/// Simulates all slots of the fleet under one central scheduler that knows the service received so
/// far and the mean cost of each customer's requests.
class OmniscientFleet {
 public:
  explicit OmniscientFleet(const VirtualFleetOptions& options)
      : options_(options),
        costs_(MakeCostStreams(options)),
        slots_(options.agents * options.slots),
        service_(options.customers.size()) {
    for (std::size_t i = 0; i < options.customers.size(); ++i) {
      const CustomerId id{i + 1};
      scheduler_.AddCustomer(id, options.customers[i].share);
      scheduler_.SetBacklogged(id, true);
    }
  }

  void Advance(Duration step) {
    const double slice = options_.rate * std::chrono::duration<double>(step).count();
    for (auto& slot : slots_) {
      if (slot.remaining <= 0) {
        Start(slot);
      }
      Serve(std::min(slice, slot.remaining), slot);
    }
  }

  [[nodiscard]] double Gap() const {
    std::vector<double> values(service_);
    for (std::size_t i = 0; i < values.size(); ++i) {
      values[i] /= options_.customers[i].share;
    }
    return Spread(values);
  }

 private:
  struct Slot {
    std::size_t customer = 0;
    double remaining = 0;
    double served = 0;
    double charged = 0;
  };

  void Start(Slot& slot) {
    slot.customer = scheduler_.Next().value - 1;
    slot.remaining =
        DrawHeavyTailedCost(costs_[slot.customer], options_.customers[slot.customer].mean_cost);
    slot.served = 0;
    slot.charged = 0;
    Charge(options_.customers[slot.customer].mean_cost, slot);
  }

  void Serve(double service, Slot& slot) {
    slot.remaining -= service;
    slot.served += service;
    service_[slot.customer] += service;
    if (slot.remaining <= 0 || slot.served > slot.charged) {
      Charge(slot.served - slot.charged, slot);
    }
  }

  void Charge(double service, Slot& slot) {
    slot.charged += service;
    scheduler_.Charge(CustomerId{slot.customer + 1}, service);
  }

  const VirtualFleetOptions& options_;
  NaiveScheduler scheduler_;
  std::vector<std::mt19937_64> costs_;
  std::vector<Slot> slots_;
  std::vector<double> service_;
};

}  // namespace

std::vector<double> OmniscientGaps(const VirtualFleetOptions& options, Duration duration) {
  OmniscientFleet fleet(options);
  std::vector<double> gaps;
  for (Duration at{0}; at < duration; at += kGapInterval) {
    fleet.Advance(kGapInterval / 2);
    fleet.Advance(kGapInterval / 2);
    gaps.push_back(fleet.Gap());
  }
  return gaps;
}

}  // namespace lagoonwind::testing
