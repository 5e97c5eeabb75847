#include "naive_scheduler.h"

#include <algorithm>

namespace lagoonwind::testing {

void NaiveScheduler::SetBacklogged(CustomerId customer, bool backlogged) {
  CustomerState& state = customers_[customer];
  if (backlogged && !state.backlogged) {
    double least = -1;
    for (const auto& [id, other] : customers_) {
      if (other.backlogged && (least < 0 || other.service / other.share < least)) {
        least = other.service / other.share;
      }
    }
    state.service = std::max(state.service, least * state.share);
  }
  state.backlogged = backlogged;
}

CustomerId NaiveScheduler::Next() const {
  CustomerId best;
  double least = 0;
  for (const auto& [id, state] : customers_) {
    const double service = state.service / state.share;
    if (state.backlogged && (!best.valid() || service < least)) {
      best = id;
      least = service;
    }
  }
  return best;
}

double NaiveScheduler::Gap() const {
  std::vector<double> services;
  for (const auto& [id, state] : customers_) {
    if (state.backlogged) {
      services.push_back(state.service / state.share);
    }
  }
  if (services.empty()) {
    return 0;
  }
  const auto [least, most] = std::ranges::minmax(services);
  return most - least;
}

}  // namespace lagoonwind::testing
