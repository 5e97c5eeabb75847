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
  Update(customers_[customer], cost);
  Update(overall_, cost);
}

void CostEstimator::Update(Statistics& statistics, double cost) {
  if (statistics.mean == 0) {
    statistics = Statistics{.mean = cost, .quantile = cost};
    return;
  }
  statistics.mean += kMeanWeight * (cost - statistics.mean);
  const double step = kQuantileStep * statistics.mean;
  statistics.quantile += cost > statistics.quantile ? kQuantile * step : -(1 - kQuantile) * step;
}

double CostEstimator::MeanCost(CustomerId customer) const {
  const auto found = customers_.find(customer);
  return found == customers_.end() ? overall_.mean : found->second.mean;
}

double CostEstimator::ExpectedCost(CustomerId customer, CostEstimate estimate) const {
  const auto found = customers_.find(customer);
  const Statistics& statistics = found == customers_.end() ? overall_ : found->second;
  switch (estimate) {
    case CostEstimate::kNone:
      return 0;
    case CostEstimate::kMean:
      return statistics.mean;
    case CostEstimate::kQuantile:
      return statistics.quantile;
  }
  return 0;
}

}  // namespace lagoonwind::policy
