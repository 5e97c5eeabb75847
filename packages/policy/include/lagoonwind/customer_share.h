#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// Fair shares of customers over all gateways.
namespace lagoonwind::policy {

/// Tokens that a customer asked for and was admitted for at one gateway since its start; they only
/// grow.
struct CustomerReport {
  CustomerId customer;
  std::uint64_t requested_tokens = 0;
  std::uint64_t admitted_tokens = 0;
};

/// Sum of what was added within a sliding window. Not thread safe.
class WindowedSum {
 public:
  /// \param window  Length of the window.
  explicit WindowedSum(Duration window) : bucket_length_(window / kBuckets) {}
  void Add(double amount, Time now);
  [[nodiscard]] double Sum(Time now) const;

 private:
  static constexpr int kBuckets = 16;
  [[nodiscard]] std::int64_t BucketNumber(Time now) const {
    return now.time_since_epoch() / bucket_length_;
  }

  Duration bucket_length_;
  std::array<double, kBuckets> bucket_sums_{};
  std::array<std::int64_t, kBuckets> bucket_numbers_{};
};

/// Compares what customers get with their max-min fair share of what the fleet admits. Load
/// pattern: one customer sends many times its usual, at one gateway or at all of them. Not thread
/// safe.
class CustomerShare {
 public:
  explicit CustomerShare(Duration window) : window_(window) {}

  void RecordRequested(CustomerId customer, std::int64_t tokens, Time now);
  void RecordAdmitted(CustomerId customer, std::int64_t tokens, Time now);

  /// What a customer was admitted for in the window as a part of its share; 1 is the whole share,
  /// 0 a customer that got nothing.
  [[nodiscard]] double Usage(CustomerId customer, Time now) const;

  /// What this gateway counted.
  [[nodiscard]] std::vector<CustomerReport> LocalReports() const;
  /// Takes in what a peer reports.
  void MergePeerReport(Incarnation peer, std::span<const CustomerReport> reports, Time now);

 private:
  struct Counters {
    explicit Counters(Duration window) : requested(window), admitted(window) {}
    WindowedSum requested;
    WindowedSum admitted;
    CustomerReport local;
    absl::flat_hash_map<Incarnation, CustomerReport> peer_reports;
  };

  Counters& CountersOf(CustomerId customer);
  void UpdateFairShare(Time now) const;

  Duration window_;
  absl::flat_hash_map<CustomerId, Counters> customers_;
  /// Max-min fair share, and when it was worked out. If nobody was refused, the share is what the
  /// largest customer got, so that the first refusals meet it and not those that ask for less.
  struct FairShare {
    double tokens = 0;
    bool contended = false;
    Time computed_at{};
  };
  mutable FairShare fair_share_;
};

/// Largest amount that each of `demands` may get so that all together get `capacity` (max-min
/// fairness by water filling). Infinite if the capacity suffices for all.
double MaxMinLevel(std::span<const double> demands, double capacity);

}  // namespace lagoonwind::policy
