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

/// Metrics of a gateway; docs/METRICS.md lists them with their units. Not thread safe.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// A request is over.
  /// \param kind     Kind of its route.
  /// \param outcome  What became of it.
  /// \param seconds  From its arrival.
  void ObserveRequest(std::string_view kind, std::string_view customer, std::string_view outcome,
                      double seconds);
  /// The first byte of an answer's body arrived.
  void ObserveFirstByte(std::string_view kind, double seconds);
  /// An engine was expected to begin after `expected` and began after `seen` seconds.
  void ObserveStartError(double expected, double actual);
  /// A request was sent to a backend server once more.
  void CountRetry(std::string_view reason);
  /// Sets a gauge that is read from elsewhere.
  /// \param service  Becomes a label unless it is empty.
  void Set(const std::string& name, const std::string& help, double value,
           const std::string& service = "");
  /// The page in Prometheus' text format.
  [[nodiscard]] std::string Serialize() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  /// Looks up a counter once and remembers it by `key`.
  prometheus::Counter& Cached(const std::string& key,
                              prometheus::Family<prometheus::Counter>& family,
                              const prometheus::Labels& labels);
  prometheus::Histogram& Cached(const std::string& key,
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
  absl::flat_hash_map<std::string, prometheus::Gauge*> gauges_;
  /// Customers that have series of their own.
  absl::flat_hash_set<std::string> customer_names_;
};

}  // namespace lagoonwind::gateway
