#include "lagoonwind/customer_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lagoonwind::policy {
namespace {

/// Time for which a computed fair share is reused.
constexpr Duration kFairShareLifetime = std::chrono::milliseconds(50);

}  // namespace

void WindowedSum::Add(double amount, Time now) {
  const std::int64_t bucket = BucketNumber(now);
  const auto slot = static_cast<std::size_t>(bucket % kBuckets);
  if (bucket_numbers_[slot] != bucket) {
    bucket_numbers_[slot] = bucket;
    bucket_sums_[slot] = 0;
  }
  bucket_sums_[slot] += amount;
}

double WindowedSum::Sum(Time now) const {
  const std::int64_t oldest = BucketNumber(now) - kBuckets;
  double sum = 0;
  for (std::size_t i = 0; i < bucket_sums_.size(); ++i) {
    sum += bucket_numbers_[i] > oldest ? bucket_sums_[i] : 0;
  }
  return sum;
}

double MaxMinLevel(std::span<const double> demands, double capacity) {
  std::vector<double> sorted(demands.begin(), demands.end());
  std::ranges::sort(sorted);
  double remaining = capacity;
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    const double level = remaining / static_cast<double>(sorted.size() - i);
    if (sorted[i] > level) {
      return level;
    }
    remaining -= sorted[i];
  }
  return std::numeric_limits<double>::infinity();
}

CustomerShare::Counters& CustomerShare::CountersOf(CustomerId customer) {
  const auto [slot, added] = customers_.try_emplace(customer, window_);
  if (added) {
    slot->second.local.customer = customer;
  }
  return slot->second;
}

void CustomerShare::RecordRequested(CustomerId customer, std::int64_t tokens, Time now) {
  Counters& counters = CountersOf(customer);
  counters.requested.Add(static_cast<double>(tokens), now);
  counters.local.requested_tokens += static_cast<std::uint64_t>(tokens);
}

void CustomerShare::RecordAdmitted(CustomerId customer, std::int64_t tokens, Time now) {
  Counters& counters = CountersOf(customer);
  counters.admitted.Add(static_cast<double>(tokens), now);
  counters.local.admitted_tokens += static_cast<std::uint64_t>(tokens);
}

void CustomerShare::UpdateFairShare(Time now) const {
  if (fair_share_.computed_at != Time{} && now - fair_share_.computed_at < kFairShareLifetime) {
    return;
  }
  std::vector<double> demands;
  demands.reserve(customers_.size());
  double admitted = 0;
  for (const auto& [customer, counters] : customers_) {
    const double customer_admitted = counters.admitted.Sum(now);
    admitted += customer_admitted;
    demands.push_back(std::max(counters.requested.Sum(now), customer_admitted));
  }
  const double level = MaxMinLevel(demands, admitted);
  fair_share_ = {.tokens = level, .contended = std::isfinite(level), .computed_at = now};
  if (!fair_share_.contended) {
    fair_share_.tokens = demands.empty() ? 0 : std::ranges::max(demands);
  }
}

double CustomerShare::Usage(CustomerId customer, Time now) const {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) {
    return 0;
  }
  UpdateFairShare(now);
  if (fair_share_.tokens <= 0) {
    return 0;
  }
  const double usage = found->second.admitted.Sum(now) / fair_share_.tokens;
  return fair_share_.contended ? usage : std::min(usage, 1.0);
}

std::vector<CustomerReport> CustomerShare::LocalReports() const {
  std::vector<CustomerReport> reports;
  reports.reserve(customers_.size());
  for (const auto& [customer, counters] : customers_) {
    if (counters.local.requested_tokens > 0) {
      reports.push_back(counters.local);
    }
  }
  return reports;
}

void CustomerShare::MergePeerReport(Incarnation peer, std::span<const CustomerReport> reports,
                                    Time now) {
  for (const CustomerReport& report : reports) {
    Counters& counters = CountersOf(report.customer);
    const auto [slot, added] = counters.peer_reports.try_emplace(peer, report);
    CustomerReport& last_report = slot->second;
    // The first report of a peer includes tokens from before the window.
    if (!added && report.requested_tokens >= last_report.requested_tokens) {
      counters.requested.Add(
          static_cast<double>(report.requested_tokens - last_report.requested_tokens), now);
      counters.admitted.Add(
          static_cast<double>(report.admitted_tokens - last_report.admitted_tokens), now);
    }
    last_report = report;
  }
}

}  // namespace lagoonwind::policy
