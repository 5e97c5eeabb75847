#pragma once

#include <absl/container/flat_hash_map.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "lagoonwind/policy.h"
#include "link_traffic.h"

namespace lagoonwind::runtime {

/// Metrics of one process; docs/METRICS.md lists them with their units. Thread safe; its mutex is a
/// leaf of the lock order. The first limits::kMaxCustomerSeries customers that are seen have series
/// of their own, all others share the customer `other`.
class Metrics {
 public:
  Metrics();

  /// A request is over at an entry.
  /// \param seconds  From its arrival.
  void RequestFinished(std::string_view customer, policy::Outcome outcome, double seconds);
  /// The first part of an answer reached an entry.
  /// \param seconds  From the request's arrival.
  void ResponseStarted(std::string_view customer, double seconds);
  /// Service was charged at an agent, in units of service.
  void ServiceCharged(std::string_view customer, double service);
  /// Decisions were made.
  /// \param seconds  Time of the step.
  void StepFinished(double seconds) { step_.Observe(seconds); }
  /// Counts of the links of this process.
  [[nodiscard]] LinkTraffic& traffic() { return traffic_; }
  /// Copies what decisions count.
  void Update(const policy::Stats& stats);
  /// The page in Prometheus' text format.
  [[nodiscard]] std::string Page() const;

 private:
  static constexpr std::size_t kOutcomeCount = 3;

  /// Series of one customer; they live as long as the registry.
  struct CustomerSeries {
    std::array<prometheus::Counter*, kOutcomeCount> requests{};
    prometheus::Histogram* duration = nullptr;
    prometheus::Histogram* first_response = nullptr;
    prometheus::Counter* service = nullptr;
  };

  CustomerSeries SeriesOf(std::string_view customer);
  CustomerSeries MakeSeries(const std::string& customer);
  void CopyTraffic() const;

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& duration_;
  prometheus::Family<prometheus::Histogram>& first_response_;
  prometheus::Family<prometheus::Counter>& service_;
  prometheus::Family<prometheus::Gauge>& link_bytes_;
  prometheus::Family<prometheus::Gauge>& link_frames_;
  prometheus::Histogram& step_;
  prometheus::Gauge& window_;
  prometheus::Gauge& running_;
  prometheus::Gauge& waiting_;
  prometheus::Gauge& draining_;
  prometheus::Gauge& links_;
  prometheus::Gauge& grants_sent_;
  prometheus::Gauge& grants_expired_;
  prometheus::Gauge& configuration_offset_;
  LinkTraffic traffic_;

  std::mutex mutex_;
  absl::flat_hash_map<std::string, CustomerSeries> series_;
};

}  // namespace lagoonwind::runtime
