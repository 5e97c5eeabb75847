#include "cost_estimator.h"

namespace lagoonwind::policy {
namespace {

/// Weight of the newest sample in the exponential moving average; corresponds to an average over
/// about 15 samples.
constexpr double kMeanWeight = 0.125;
/// The estimated quantile of request cost.
constexpr double kQuantile = 0.9;
/// Step size of the quantile estimate, as a fraction of the mean.
constexpr double kQuantileStep = 0.25;

}  // namespace

void CostEstimator::AddSample(CustomerId customer, double cost) {
  Learn(rows_[customer], cost);
  Learn(all_, cost);
}

void CostEstimator::Learn(Row& row, double cost) {
  if (row.mean == 0) {
    row = Row{.mean = cost, .quantile = cost};
    return;
  }
  row.mean += kMeanWeight * (cost - row.mean);
  const double step = kQuantileStep * row.mean;
  row.quantile += cost > row.quantile ? kQuantile * step : -(1 - kQuantile) * step;
}

double CostEstimator::MeanCost(CustomerId customer) const {
  const auto found = rows_.find(customer);
  return found == rows_.end() ? all_.mean : found->second.mean;
}

double CostEstimator::ExpectedCost(CustomerId customer, CostEstimate estimate) const {
  const auto found = rows_.find(customer);
  const Row& row = found == rows_.end() ? all_ : found->second;
  switch (estimate) {
    case CostEstimate::kNone:
      return 0;
    case CostEstimate::kMean:
      return row.mean;
    case CostEstimate::kQuantile:
      return row.quantile;
  }
  return 0;
}

}  // namespace lagoonwind::policy
