#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "lagoonwind/base.h"

namespace lagoonwind::testing {

/// Central fair-queueing scheduler without communication delay, the reference for the fairness of
/// the distributed one. Assigns the next free slot to the backlogged customer with the least
/// service per share. Not thread safe.
class NaiveScheduler {
 public:
  /// \param share  Weight of the customer, at least 1.
  void AddCustomer(CustomerId customer, std::uint32_t share) { customers_[customer].share = share; }
  /// A customer that becomes backlogged gets no credit for its idle time: its service per share is
  /// raised to the least of the backlogged customers.
  void SetBacklogged(CustomerId customer, bool backlogged);
  /// Adds service that the customer received, in units of service.
  void Charge(CustomerId customer, double service) { customers_[customer].service += service; }
  /// \return The customer that gets the next slot; invalid if no customer is backlogged.
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
