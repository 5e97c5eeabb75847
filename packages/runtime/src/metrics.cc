#include "metrics.h"

#include <prometheus/text_serializer.h>

namespace lagoonwind::runtime {
namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.45, 1, 2.5, 5, 10, 30, 60, 120};

prometheus::Gauge& AddGauge(prometheus::Registry& registry, const std::string& name,
                            const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("lagoonwind_requests_total")
                    .Help("Requests that are over, by customer and outcome")
                    .Register(*registry_)),
      duration_(prometheus::BuildHistogram()
                    .Name("lagoonwind_request_duration_seconds")
                    .Help("Time from a request's arrival to its end, by customer")
                    .Register(*registry_)),
      first_answer_(prometheus::BuildHistogram()
                        .Name("lagoonwind_first_answer_seconds")
                        .Help("Time from a request's arrival to the head of its answer")
                        .Register(*registry_)),
      service_(prometheus::BuildCounter()
                   .Name("lagoonwind_service_units_total")
                   .Help("Service charged, by customer")
                   .Register(*registry_)),
      window_(AddGauge(*registry_, "lagoonwind_window_requests",
                       "Requests that the backend server may run at a time")),
      running_(AddGauge(*registry_, "lagoonwind_running_requests", "Requests that run")),
      waiting_(AddGauge(*registry_, "lagoonwind_waiting_requests", "Requests that wait")),
      configuration_offset_(AddGauge(*registry_, "lagoonwind_configuration_offset",
                                     "Offset of the configuration in force")) {}

void Metrics::RequestFinished(std::string_view customer, policy::Outcome outcome, double seconds) {
  const std::string name(customer);
  requests_.Add({{"customer", name}, {"outcome", std::string(policy::Name(outcome))}}).Increment();
  duration_.Add({{"customer", name}}, kSecondsBuckets).Observe(seconds);
}

void Metrics::AnswerBegan(std::string_view customer, double seconds) {
  first_answer_.Add({{"customer", std::string(customer)}}, kSecondsBuckets).Observe(seconds);
}

void Metrics::ServiceCharged(std::string_view customer, double service) {
  service_.Add({{"customer", std::string(customer)}}).Increment(service);
}

void Metrics::Update(const policy::Stats& stats) {
  window_.Set(stats.window);
  running_.Set(stats.running);
  waiting_.Set(stats.waiting);
  configuration_offset_.Set(static_cast<double>(stats.configuration_offset));
}

std::string Metrics::Page() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace lagoonwind::runtime
