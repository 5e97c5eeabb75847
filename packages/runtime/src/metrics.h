#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

#include "lagoonwind/policy.h"

namespace lagoonwind::runtime {

/// Metrics of one process; docs/METRICS.md lists them with their units. Thread safe.
class Metrics {
 public:
  Metrics();

  /// A request is over at an entry.
  /// \param seconds  From its arrival.
  void RequestFinished(std::string_view customer, policy::Outcome outcome, double seconds);
  /// The first part of an answer reached an entry.
  /// \param seconds  From the request's arrival.
  void AnswerBegan(std::string_view customer, double seconds);
  /// Service was charged at an agent, in units of service.
  void ServiceCharged(std::string_view customer, double service);
  /// Copies what decisions count.
  void Update(const policy::Stats& stats);
  /// The page in Prometheus' text format.
  [[nodiscard]] std::string Page() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& duration_;
  prometheus::Family<prometheus::Histogram>& first_answer_;
  prometheus::Family<prometheus::Counter>& service_;
  prometheus::Gauge& window_;
  prometheus::Gauge& running_;
  prometheus::Gauge& waiting_;
  prometheus::Gauge& configuration_offset_;
};

}  // namespace lagoonwind::runtime
