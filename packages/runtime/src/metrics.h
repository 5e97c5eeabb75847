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

/// Metrics of one process; docs/METRICS.md lists them with their units. The first
/// limits::kMaxCustomerSeries customers have their own series; all others are combined under the
/// customer `other`. Thread safe; its mutex is a leaf in the lock order.
class Metrics {
 public:
  Metrics();

  /// Records the end of a request at an entry.
  /// \param seconds  Time since its arrival.
  void RequestFinished(std::string_view customer, policy::Outcome outcome, double seconds);
  /// Records that the first part of a response reached an entry.
  /// \param seconds  Time since the arrival of the request.
  void ResponseStarted(std::string_view customer, double seconds);
  /// Records service charged at an agent, in units of service.
  void ServiceCharged(std::string_view customer, double service);
  /// Records a step of the policy.
  /// \param seconds  Duration of the step.
  void StepFinished(double seconds) { step_.Observe(seconds); }
  /// Traffic counters of the links of this process.
  [[nodiscard]] LinkTraffic& traffic() { return traffic_; }
  /// Copies the statistics of the policy and the traffic counters of the links into the metrics.
  void Update(const policy::Stats& stats);
  /// Returns all metrics in the Prometheus text format.
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
