#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// Usage of each customer, relative to its max-min fair share of the tokens that all gateways
/// admit.
namespace lagoonwind::policy {

/// Tokens that a customer has requested and has been admitted for at one gateway since the
/// gateway's start. The counters only grow.
struct CustomerReport {
  CustomerId customer;
  std::uint64_t requested_tokens = 0;
  std::uint64_t admitted_tokens = 0;
};

/// Sum of the amounts added within a sliding window. Not thread safe.
class WindowedSum {
 public:
  /// \param window  Length of the window; at least 16 microseconds, as it is divided into 16
  ///     buckets.
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

/// Compares the tokens that each customer was admitted for with its max-min fair share of all that
/// the fleet admits. Shows when one customer sends many times its usual traffic, at one gateway or
/// at all of them. Not thread safe.
class CustomerShare {
 public:
  explicit CustomerShare(Duration window) : window_(window) {}

  /// Records the tokens of an arrived request.
  void RecordRequested(CustomerId customer, std::int64_t tokens, Time now);
  /// Records the tokens of an admitted request.
  void RecordAdmitted(CustomerId customer, std::int64_t tokens, Time now);

  /// Ratio of the tokens that the customer was admitted for in the window to its fair share: 1 is
  /// the whole share, 0 a customer that was admitted for none.
  [[nodiscard]] double Usage(CustomerId customer, Time now) const;

  /// Counters of this gateway, one report per customer that has sent requests.
  [[nodiscard]] std::vector<CustomerReport> LocalReports() const;
  /// Applies the report of a peer.
  /// \param peer  Incarnation of the reporting gateway.
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
  /// Max-min fair share, and the time at which it was computed. While nothing is refused, it is the
  /// largest customer's demand, so that refusals start with that customer and not with those that
  /// request less.
  struct FairShare {
    double tokens = 0;
    bool contended = false;
    Time computed_at{};
  };
  mutable FairShare fair_share_;
};

/// Computes the max-min fair level by water filling: the largest amount that each of `demands` may
/// get while all together get `capacity`. Infinite if the capacity covers all demands. Thread safe.
double MaxMinLevel(std::span<const double> demands, double capacity);

}  // namespace lagoonwind::policy
