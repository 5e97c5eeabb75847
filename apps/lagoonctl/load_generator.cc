#include "load_generator.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>

#include "response_validator.h"

namespace lagoonwind::ctl {
namespace {

namespace asio = http::asio;
using nlohmann::json;

constexpr std::chrono::minutes kResponseTimeout{2};
constexpr std::chrono::milliseconds kSampleInterval{100};
constexpr std::chrono::milliseconds kFleetSampleInterval{500};
constexpr int kSamplesPerProgressReport = 10;

json MakeMessages(const LoadStream& stream, const std::string& key) {
  const std::string filler(static_cast<std::size_t>(stream.prompt_bytes), 'x');
  const json message{{"role", "user"}, {"content", key + filler}};
  return json::array({message});
}

http::Request MakeRequest(const LoadStream& stream, const std::string& key) {
  http::Request request{.method = "POST",
                        .content_type = "application/json",
                        .fields = {{"Authorization", "Bearer " + stream.token}}};
  if (!stream.is_model()) {
    const std::string filler(static_cast<std::size_t>(stream.prompt_bytes), 'x');
    request.target = "/services/" + stream.target + "/runs";
    request.fields.push_back({"Idempotency-Key", key});
    request.body = json{{"booking", key + filler}}.dump();
    return request;
  }
  const json body{{"model", stream.target},
                  {"messages", MakeMessages(stream, key)},
                  {"max_tokens", stream.max_tokens},
                  {"stream", true}};
  request.target = "/v1/chat/completions";
  request.body = body.dump();
  return request;
}

}  // namespace

LoadGenerator::LoadGenerator(LoadGeneratorOptions options, std::vector<LoadStream> streams)
    : options_(std::move(options)),
      streams_(std::move(streams)),
      random_(options_.seed),
      probe_(options_.daemons),
      run_id_(absl::StrCat("load-", options_.seed, "-",
                           std::chrono::system_clock::now().time_since_epoch().count())) {
  for (const auto& stream : streams_) {
    result_.tallies[stream.customer];
  }
}

LoadResult LoadGenerator::Run() {
  asio::co_spawn(io_, Main(), asio::detached);
  io_.run();
  return std::move(result_);
}

asio::awaitable<void> LoadGenerator::Main() {
  co_await probe_.Begin();
  for (auto& [customer, tally] : result_.tallies) {
    const auto share = probe_.shares().find(customer);
    tally.share = share == probe_.shares().end() ? 1 : share->second;
  }
  result_.shares_known = !probe_.shares().empty();
  start_ = Clock::now();
  active_streams_ = streams_.size();
  for (const auto& stream : streams_) {
    asio::co_spawn(io_, GenerateArrivals(stream), asio::detached);
  }
  if (!probe_.empty()) {
    asio::co_spawn(io_, SampleFleet(), asio::detached);
  }
  co_await SampleTallies();
  result_.seconds = std::chrono::duration<double>(Clock::now() - start_).count();
  result_.fairness_gap = fairness_meter_.gap();
  result_.widest_pair = fairness_meter_.widest_pair();
  result_.usage = co_await probe_.End();
}

asio::awaitable<void> LoadGenerator::GenerateArrivals(const LoadStream& stream) {
  asio::steady_timer timer(io_);
  std::exponential_distribution<double> interarrival_time(stream.rate);
  std::chrono::duration<double> arrival{interarrival_time(random_)};
  while (arrival.count() < options_.seconds) {
    timer.expires_at(start_ + std::chrono::duration_cast<Clock::duration>(arrival));
    co_await timer.async_wait(asio::use_awaitable);
    if (sent_requests_ >= options_.max_requests) {
      break;
    }
    asio::co_spawn(io_, SendRequest(stream, ++sent_requests_), asio::detached);
    arrival += std::chrono::duration<double>(interarrival_time(random_));
  }
  --active_streams_;
}

asio::awaitable<void> LoadGenerator::SendRequest(const LoadStream& stream, int number) {
  const std::string key = absl::StrCat(run_id_, "-", number);
  const std::string entry =
      options_.entries[static_cast<std::size_t>(number) % options_.entries.size()];
  Tally& tally = result_.tallies[stream.customer];
  ++tally.sent;
  ++tally.awaiting_response;
  ++outstanding_requests_;
  const std::string expected_key =
      stream.is_model() ? StandInTokenPrefix(MakeMessages(stream, key).dump()) : key;
  ResponseValidator validator(stream, expected_key, Clock::now(), tally);
  // A named variable, because GCC 12 destroys such a temporary of a co_await expression twice.
  http::Request request = MakeRequest(stream, key);
  http::BodySink sink = [&](std::string_view part) { validator.OnBodyPart(part, Clock::now()); };
  const auto response =
      co_await http::FetchStream(entry, std::move(request), kResponseTimeout, std::move(sink));
  if (response.ok()) {
    validator.OnEnd(response->status, http::FindField(response->fields, "Lagoonwind-Outcome"),
                    response->body, Clock::now());
  } else {
    validator.OnEnd(0, absl::IsUnavailable(response.status()) ? "not-run" : "unknown", "",
                    Clock::now());
  }
  --outstanding_requests_;
}

asio::awaitable<void> LoadGenerator::SampleTallies() {
  asio::steady_timer timer(io_);
  for (int sample = 1; !Finished(); ++sample) {
    TakeSample();
    if (options_.progress && sample % kSamplesPerProgressReport == 0) {
      PrintProgress();
    }
    timer.expires_after(kSampleInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  TakeSample();
}

asio::awaitable<void> LoadGenerator::SampleFleet() {
  asio::steady_timer timer(io_);
  while (active_streams_ > 0) {
    co_await probe_.Sample();
    timer.expires_after(kFleetSampleInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void LoadGenerator::TakeSample() {
  std::map<std::string, CustomerSample> customers;
  LoadSample sample{.seconds = std::chrono::duration<double>(Clock::now() - start_).count()};
  for (const auto& [customer, tally] : result_.tallies) {
    customers[customer] = CustomerSample{
        .service = tally.service, .share = tally.share, .backlogged = tally.awaiting_response > 0};
    sample.service_per_share.push_back(tally.service / tally.share);
  }
  fairness_meter_.Sample(customers);
  result_.samples.push_back(std::move(sample));
}

void LoadGenerator::PrintProgress() const {
  const std::chrono::duration<double> elapsed = Clock::now() - start_;
  std::cerr << absl::StrFormat("%.0f of %.0f s: %d sent, %d outstanding\n", elapsed.count(),
                               options_.seconds, sent_requests_, outstanding_requests_);
}

}  // namespace lagoonwind::ctl
