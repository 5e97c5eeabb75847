#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "lagoonwind/base.h"

namespace lagoonwind::testing {

/// Central scheduler that knows everything at once; the reference that decisions are measured
/// against. Always gives the next free slot to the backlogged customer with the least service per
/// share. Not thread safe.
class NaiveScheduler {
 public:
  /// \param share  Weight of the customer, at least 1.
  void AddCustomer(CustomerId customer, std::uint32_t share) { customers_[customer].share = share; }
  void SetBacklogged(CustomerId customer, bool backlogged);
  /// Charges service that was given, in units of service.
  void Charge(CustomerId customer, double service) { customers_[customer].service += service; }
  /// The customer that gets the next slot; invalid if nobody waits.
  [[nodiscard]] CustomerId Next() const;
  /// Largest difference in service per share between two backlogged customers.
  [[nodiscard]] double Gap() const;

 private:
  struct CustomerState {
    std::uint32_t share = 1;
    double service = 0;
    bool backlogged = false;
  };

  std::map<CustomerId, CustomerState> customers_;
};

}  // namespace lagoonwind::testing
