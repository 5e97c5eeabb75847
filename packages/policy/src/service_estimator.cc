#include "service_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lagoonwind::policy {
namespace {

/// Fractional part of the golden ratio; the fractional parts of its multiples cover [0, 1) evenly.
constexpr double kGoldenFraction = 0.6180339887498949;
constexpr double kHashRange = 18446744073709551616.0;

}  // namespace

ServiceEstimator::ServiceEstimator(const Blackboard& board) : board_(board) {
  double min_per_share = std::numeric_limits<double>::infinity();
  CustomerId last;
  for (const auto& [key, demand] : board.demand) {
    if (key.customer == last) {
      continue;
    }
    last = key.customer;
    const auto account = board.accounts.find(last);
    if (account != board.accounts.end() && account->second.has_total) {
      const LedgerTotal& total = account->second.total;
      min_per_share = std::min(
          min_per_share, (total.service + total.in_flight) / board.configuration->Share(last));
    }
  }
  min_service_per_share_ = std::isinf(min_per_share) ? 0 : min_per_share;
}

double ServiceEstimator::ServicePerShare(CustomerId customer) const {
  const double share = board_.configuration->Share(customer);
  const auto found = board_.accounts.find(customer);
  const CustomerAccount account =
      found == board_.accounts.end() ? CustomerAccount{} : found->second;
  const double own_service = board_.LocalService(customer) + account.in_flight;
  const ServiceEstimateMode mode = board_.options.fair_share.estimate_mode;
  if (mode == ServiceEstimateMode::kLocal) {
    return own_service / share;
  }
  const double base = account.has_total ? account.total.service + account.total.in_flight
                                        : min_service_per_share_ * share;
  double service = base + UnreportedUsage(own_service, account);
  if (mode == ServiceEstimateMode::kDithered) {
    const double other_agents = account.total.agent_count - 1.0;
    service += Dither(customer) * other_agents * board_.costs.MeanCost(customer);
  }
  return service / share;
}

double ServiceEstimator::UnreportedUsage(double own_service, const CustomerAccount& account) const {
  const double unreported = own_service - account.included;
  const bool scaled =
      board_.options.fair_share.estimate_mode != ServiceEstimateMode::kLedgerTotal &&
      unreported > 0;
  return scaled ? unreported * account.total.agent_count : unreported;
}

double ServiceEstimator::Dither(CustomerId customer) const {
  const double offset =
      static_cast<double>(CombineHashes(board_.self.value, customer.value)) / kHashRange;
  const double phase = kGoldenFraction * static_cast<double>(board_.ledger_round);
  return std::fmod(offset + phase, 1.0);
}

}  // namespace lagoonwind::policy
