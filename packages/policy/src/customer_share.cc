#include "lagoonwind/customer_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lagoonwind::policy {
namespace {

/// Time for which a share is used before it is worked out anew.
constexpr Duration kLevelLifetime = std::chrono::milliseconds(50);

}  // namespace

void WindowedSum::Add(double amount, Time now) {
  const std::int64_t number = BucketOf(now);
  const auto slot = static_cast<std::size_t>(number % kBuckets);
  if (numbers_[slot] != number) {
    numbers_[slot] = number;
    sums_[slot] = 0;
  }
  sums_[slot] += amount;
}

double WindowedSum::Sum(Time now) const {
  const std::int64_t oldest = BucketOf(now) - kBuckets;
  double sum = 0;
  for (std::size_t i = 0; i < sums_.size(); ++i) {
    sum += numbers_[i] > oldest ? sums_[i] : 0;
  }
  return sum;
}

double MaxMinLevel(std::span<const double> demands, double capacity) {
  std::vector<double> sorted(demands.begin(), demands.end());
  std::ranges::sort(sorted);
  double left = capacity;
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    const double level = left / static_cast<double>(sorted.size() - i);
    if (sorted[i] > level) {
      return level;
    }
    left -= sorted[i];
  }
  return std::numeric_limits<double>::infinity();
}

CustomerShare::Counts& CustomerShare::CountsOf(CustomerId customer) {
  const auto [slot, added] = customers_.try_emplace(customer, window_);
  if (added) {
    slot->second.own.customer = customer;
  }
  return slot->second;
}

void CustomerShare::Asked(CustomerId customer, std::int64_t tokens, Time now) {
  Counts& counts = CountsOf(customer);
  counts.asked.Add(static_cast<double>(tokens), now);
  counts.own.asked_tokens += static_cast<std::uint64_t>(tokens);
}

void CustomerShare::Admitted(CustomerId customer, std::int64_t tokens, Time now) {
  Counts& counts = CountsOf(customer);
  counts.admitted.Add(static_cast<double>(tokens), now);
  counts.own.admitted_tokens += static_cast<std::uint64_t>(tokens);
}

void CustomerShare::UpdateLevel(Time now) const {
  if (level_.at != Time{} && now - level_.at < kLevelLifetime) {
    return;
  }
  std::vector<double> demands;
  demands.reserve(customers_.size());
  double admitted = 0;
  for (const auto& [customer, counts] : customers_) {
    const double got = counts.admitted.Sum(now);
    admitted += got;
    demands.push_back(std::max(counts.asked.Sum(now), got));
  }
  const double share = MaxMinLevel(demands, admitted);
  level_ = {.share = share, .contended = std::isfinite(share), .at = now};
  if (!level_.contended) {
    level_.share = demands.empty() ? 0 : std::ranges::max(demands);
  }
}

double CustomerShare::Usage(CustomerId customer, Time now) const {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) {
    return 0;
  }
  UpdateLevel(now);
  if (level_.share <= 0) {
    return 0;
  }
  const double usage = found->second.admitted.Sum(now) / level_.share;
  return level_.contended ? usage : std::min(usage, 1.0);
}

std::vector<CustomerReport> CustomerShare::Reports() const {
  std::vector<CustomerReport> reports;
  reports.reserve(customers_.size());
  for (const auto& [customer, counts] : customers_) {
    if (counts.own.asked_tokens > 0) {
      reports.push_back(counts.own);
    }
  }
  return reports;
}

void CustomerShare::PeerReported(Incarnation peer, std::span<const CustomerReport> reports,
                                 Time now) {
  for (const CustomerReport& report : reports) {
    Counts& counts = CountsOf(report.customer);
    const auto [slot, added] = counts.peers.try_emplace(peer, report);
    CustomerReport& last = slot->second;
    // The first report of a peer counts what lies before the window.
    if (!added && report.asked_tokens >= last.asked_tokens) {
      counts.asked.Add(static_cast<double>(report.asked_tokens - last.asked_tokens), now);
      counts.admitted.Add(static_cast<double>(report.admitted_tokens - last.admitted_tokens), now);
    }
    last = report;
  }
}

}  // namespace lagoonwind::policy
