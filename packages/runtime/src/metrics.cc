#include "metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.45, 1, 2.5, 5, 10, 30, 60, 120};
const prometheus::Histogram::BucketBoundaries kStepBuckets{0.00001, 0.0001, 0.0005, 0.001,
                                                           0.005,   0.02,   0.1,    0.5};
/// Label value for all customers without their own series.
constexpr std::string_view kOtherCustomers = "other";

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
      first_response_(prometheus::BuildHistogram()
                          .Name("lagoonwind_first_answer_seconds")
                          .Help("Time from a request's arrival to the head of its answer")
                          .Register(*registry_)),
      service_(prometheus::BuildCounter()
                   .Name("lagoonwind_service_units_total")
                   .Help("Service charged, by customer")
                   .Register(*registry_)),
      link_bytes_(prometheus::BuildGauge()
                      .Name("lagoonwind_link_bytes_total")
                      .Help("Bytes of frames on links, by kind of message and direction")
                      .Register(*registry_)),
      link_frames_(prometheus::BuildGauge()
                       .Name("lagoonwind_link_frames_total")
                       .Help("Frames on links, by kind of message and direction")
                       .Register(*registry_)),
      step_(prometheus::BuildHistogram()
                .Name("lagoonwind_step_seconds")
                .Help("Time that one step of the decisions takes")
                .Register(*registry_)
                .Add({}, kStepBuckets)),
      window_(AddGauge(*registry_, "lagoonwind_window_requests",
                       "Requests that the backend server may run at a time")),
      running_(AddGauge(*registry_, "lagoonwind_running_requests", "Requests that run")),
      waiting_(AddGauge(*registry_, "lagoonwind_waiting_requests", "Requests that wait")),
      draining_(AddGauge(*registry_, "lagoonwind_draining", "1 while the process drains")),
      links_(AddGauge(*registry_, "lagoonwind_links", "Open links to other daemons")),
      grants_sent_(AddGauge(*registry_, "lagoonwind_grants_sent_total", "Grants sent to entries")),
      grants_expired_(AddGauge(*registry_, "lagoonwind_grants_expired_total",
                               "Grants that no entry used in time")),
      configuration_offset_(AddGauge(*registry_, "lagoonwind_configuration_offset",
                                     "Offset of the configuration in force")) {}

Metrics::CustomerSeries Metrics::MakeSeries(const std::string& customer) {
  CustomerSeries series;
  for (std::size_t i = 0; i < kOutcomeCount; ++i) {
    const std::string outcome(policy::Name(static_cast<policy::Outcome>(i)));
    series.requests[i] = &requests_.Add({{"customer", customer}, {"outcome", outcome}});
  }
  series.duration = &duration_.Add({{"customer", customer}}, kSecondsBuckets);
  series.first_response = &first_response_.Add({{"customer", customer}}, kSecondsBuckets);
  series.service = &service_.Add({{"customer", customer}});
  return series;
}

Metrics::CustomerSeries Metrics::SeriesOf(std::string_view customer) {
  const std::scoped_lock lock(mutex_);
  if (const auto found = series_.find(absl::string_view(customer.data(), customer.size()));
      found != series_.end()) {
    return found->second;
  }
  const bool full = series_.size() >= limits::kMaxCustomerSeries;
  const std::string name(full ? kOtherCustomers : customer);
  const auto [position, added] = series_.try_emplace(name);
  if (added) {
    position->second = MakeSeries(name);
  }
  return position->second;
}

void Metrics::RequestFinished(std::string_view customer, policy::Outcome outcome, double seconds) {
  const CustomerSeries series = SeriesOf(customer);
  series.requests[static_cast<std::size_t>(outcome)]->Increment();
  series.duration->Observe(seconds);
}

void Metrics::ResponseStarted(std::string_view customer, double seconds) {
  SeriesOf(customer).first_response->Observe(seconds);
}

void Metrics::ServiceCharged(std::string_view customer, double service) {
  SeriesOf(customer).service->Increment(service);
}

void Metrics::Update(const policy::Stats& stats) {
  window_.Set(stats.concurrency_limit);
  running_.Set(stats.running);
  waiting_.Set(stats.waiting);
  draining_.Set(stats.draining ? 1 : 0);
  links_.Set(
      static_cast<double>(std::ranges::count(stats.members, true, &policy::MemberStats::linked)));
  grants_sent_.Set(static_cast<double>(stats.grants_sent));
  grants_expired_.Set(static_cast<double>(stats.grants_expired));
  configuration_offset_.Set(static_cast<double>(stats.configuration_offset));
  CopyTraffic();
}

void Metrics::CopyTraffic() const {
  const auto copy_counts = [&](std::string_view direction, const auto& counts) {
    for (std::size_t i = 0; i < kMessageKinds.size(); ++i) {
      const prometheus::Labels labels{{"kind", std::string(kMessageKinds[i])},
                                      {"direction", std::string(direction)}};
      link_bytes_.Add(labels).Set(static_cast<double>(counts[i].bytes.load()));
      link_frames_.Add(labels).Set(static_cast<double>(counts[i].frames.load()));
    }
  };
  copy_counts("sent", traffic_.sent);
  copy_counts("received", traffic_.received);
}

std::string Metrics::Page() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace lagoonwind::runtime
