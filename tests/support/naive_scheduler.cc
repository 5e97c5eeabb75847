#include "naive_scheduler.h"

#include <algorithm>

namespace lagoonwind::testing {

void NaiveScheduler::SetBacklogged(CustomerId customer, bool backlogged) {
  Row& row = rows_[customer];
  if (backlogged && !row.backlogged) {
    double least = -1;
    for (const auto& [id, other] : rows_) {
      if (other.backlogged && (least < 0 || other.service / other.share < least)) {
        least = other.service / other.share;
      }
    }
    row.service = std::max(row.service, least * row.share);
  }
  row.backlogged = backlogged;
}

CustomerId NaiveScheduler::Next() const {
  CustomerId best;
  double least = 0;
  for (const auto& [id, row] : rows_) {
    const double service = row.service / row.share;
    if (row.backlogged && (!best.valid() || service < least)) {
      best = id;
      least = service;
    }
  }
  return best;
}

double NaiveScheduler::Gap() const {
  std::vector<double> services;
  for (const auto& [id, row] : rows_) {
    if (row.backlogged) {
      services.push_back(row.service / row.share);
    }
  }
  if (services.empty()) {
    return 0;
  }
  const auto [least, most] = std::ranges::minmax(services);
  return most - least;
}

}  // namespace lagoonwind::testing
