#include "gateway_metrics.h"

#include <prometheus/text_serializer.h>

#include <cmath>

namespace lagoonwind::gateway {
namespace {

using prometheus::Labels;

const prometheus::Histogram::BucketBoundaries kSeconds{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5,
                                                       0.6,  0.8,   1,    2,   3,   5,   10,  15};
/// Customers with their own time series; all others share one to bound the cardinality.
constexpr std::size_t kMaxCustomerSeries = 100;

}  // namespace

GatewayMetrics::GatewayMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("lagoonwind_gateway_requests_total")
                    .Help("Requests that are over, by kind of route and outcome")
                    .Register(*registry_)),
      customers_(prometheus::BuildCounter()
                     .Name("lagoonwind_gateway_customer_requests_total")
                     .Help("Requests that are over, by customer and outcome")
                     .Register(*registry_)),
      retries_(prometheus::BuildCounter()
                   .Name("lagoonwind_gateway_resent_total")
                   .Help("Requests that were sent once more, by reason")
                   .Register(*registry_)),
      duration_(prometheus::BuildHistogram()
                    .Name("lagoonwind_gateway_request_seconds")
                    .Help("Time from a request's arrival to its end, by kind of route")
                    .Register(*registry_)),
      first_byte_(prometheus::BuildHistogram()
                      .Name("lagoonwind_gateway_first_byte_seconds")
                      .Help("Time from a request's arrival to the first byte of the answer's body")
                      .Register(*registry_)),
      start_error_(prometheus::BuildHistogram()
                       .Name("lagoonwind_gateway_begin_error_seconds")
                       .Help("Difference of expected and seen time until an engine began")
                       .Register(*registry_)
                       .Add({}, kSeconds)),
      faulty_responses_(
          prometheus::BuildCounter()
              .Name("lagoonwind_gateway_faulty_responses_total")
              .Help("Responses that are malformed or may consist of several responses")
              .Register(*registry_)
              .Add({})) {}

prometheus::Counter& GatewayMetrics::SeriesFor(const std::string& key,
                                               prometheus::Family<prometheus::Counter>& family,
                                               const Labels& labels) {
  const auto [it, inserted] = counters_.try_emplace(key);
  if (inserted) {
    it->second = &family.Add(labels);
  }
  return *it->second;
}

prometheus::Histogram& GatewayMetrics::SeriesFor(const std::string& key,
                                                 prometheus::Family<prometheus::Histogram>& family,
                                                 std::string_view kind) {
  const auto [it, inserted] = histograms_.try_emplace(key);
  if (inserted) {
    it->second = &family.Add({{"kind", std::string(kind)}}, kSeconds);
  }
  return *it->second;
}

void GatewayMetrics::ObserveRequest(std::string_view kind, std::string_view customer,
                                    std::string_view outcome, double seconds) {
  const std::string kind_text(kind);
  const std::string outcome_text(outcome);
  SeriesFor("request/" + kind_text + "/" + outcome_text, requests_,
            {{"kind", kind_text}, {"outcome", outcome_text}})
      .Increment();
  SeriesFor("duration/" + kind_text, duration_, kind).Observe(seconds);
  if (customer.empty()) {
    return;
  }
  std::string name(customer);
  if (!customer_names_.contains(name)) {
    if (customer_names_.size() >= kMaxCustomerSeries) {
      name = "other";
    } else {
      customer_names_.insert(name);
    }
  }
  SeriesFor("customer/" + name + "/" + outcome_text, customers_,
            {{"customer", name}, {"outcome", outcome_text}})
      .Increment();
}

void GatewayMetrics::ObserveFirstByte(std::string_view kind, double seconds) {
  SeriesFor("first/" + std::string(kind), first_byte_, kind).Observe(seconds);
}

void GatewayMetrics::ObserveStartError(double expected, double actual) {
  start_error_.Observe(std::abs(expected - actual));
}

void GatewayMetrics::CountRetry(std::string_view reason) {
  retries_.Add({{"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::Set(const std::string& name, const std::string& help, double value,
                         const std::string& service) {
  const auto [it, inserted] = gauges_.try_emplace(name + "/" + service);
  if (inserted) {
    const Labels labels = service.empty() ? Labels{} : Labels{{"service", service}};
    it->second = &prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels);
  }
  it->second->Set(value);
}

std::string GatewayMetrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace lagoonwind::gateway
