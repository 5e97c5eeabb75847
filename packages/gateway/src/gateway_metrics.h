#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

namespace lagoonwind::gateway {

/// Metrics of a gateway; docs/GATEWAY_METRICS.md lists them with their units. Not thread safe.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// Records a completed request.
  /// \param kind     Kind of its route.
  /// \param outcome  How it ended.
  /// \param seconds  Time since its arrival.
  void ObserveRequest(std::string_view kind, std::string_view customer, std::string_view outcome,
                      double seconds);
  /// Records the time from a request's arrival to the first byte of the response body.
  void ObserveFirstByte(std::string_view kind, double seconds);
  /// Records the absolute error of the estimated time until an engine responds. Both in seconds.
  void ObserveStartError(double expected, double actual);
  /// Counts a retry.
  void CountRetry(std::string_view reason);
  /// Counts a response that is malformed or whose bytes may come from several responses.
  void CountFaultyResponse() { faulty_responses_.Increment(); }
  /// Sets a gauge.
  /// \param service  Value of the `service` label; no label if empty.
  void Set(const std::string& name, const std::string& help, double value,
           const std::string& service = "");
  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string Serialize() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  /// Returns the time series cached under `key`; adds it to the family on first use.
  prometheus::Counter& SeriesFor(const std::string& key,
                                 prometheus::Family<prometheus::Counter>& family,
                                 const prometheus::Labels& labels);
  prometheus::Histogram& SeriesFor(const std::string& key,
                                   prometheus::Family<prometheus::Histogram>& family,
                                   std::string_view kind);

  absl::flat_hash_map<std::string, prometheus::Counter*> counters_;
  absl::flat_hash_map<std::string, prometheus::Histogram*> histograms_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& customers_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Histogram>& duration_;
  prometheus::Family<prometheus::Histogram>& first_byte_;
  prometheus::Histogram& start_error_;
  prometheus::Counter& faulty_responses_;
  absl::flat_hash_map<std::string, prometheus::Gauge*> gauges_;
  /// Customers that have their own time series.
  absl::flat_hash_set<std::string> customer_names_;
};

}  // namespace lagoonwind::gateway
