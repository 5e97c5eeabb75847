#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "fairness_meter.h"
#include "fleet_probe.h"
#include "load_mix.h"
#include "load_result.h"

namespace lagoonwind::ctl {

struct LoadGeneratorOptions {
  /// Callers' ports of entries as IP:PORT; requests are distributed round-robin.
  std::vector<std::string> entries;
  /// Operators' ports of daemons to poll for shares, utilisation and control traffic; may be empty.
  std::vector<std::string> daemons;
  /// How long requests are sent.
  double seconds = 5;
  /// Maximum number of requests over all streams.
  int max_requests = 100'000;
  /// Seed of the arrival times.
  std::uint64_t seed = 1;
  /// Print progress to stderr every second.
  bool progress = false;
};

/// Open-loop load generator: sends the streams of a mix at Poisson arrival times, independently of
/// responses. For a single use; not thread safe.
class LoadGenerator {
 public:
  LoadGenerator(LoadGeneratorOptions options, std::vector<LoadStream> streams);
  /// Runs on the calling thread until every request has ended.
  LoadResult Run();

 private:
  using Clock = std::chrono::steady_clock;

  http::asio::awaitable<void> Main();
  http::asio::awaitable<void> GenerateArrivals(const LoadStream& stream);
  http::asio::awaitable<void> SendRequest(const LoadStream& stream, int number);
  http::asio::awaitable<void> SampleTallies();
  http::asio::awaitable<void> SampleFleet();
  void TakeSample();
  void PrintProgress() const;
  [[nodiscard]] bool Finished() const { return active_streams_ == 0 && outstanding_requests_ == 0; }

  LoadGeneratorOptions options_;
  std::vector<LoadStream> streams_;
  std::mt19937_64 random_;
  http::asio::io_context io_;
  FleetProbe probe_;
  FairnessMeter fairness_meter_;
  LoadResult result_;
  Clock::time_point start_;
  /// Makes idempotency keys unique across load tests.
  std::string run_id_;
  int sent_requests_ = 0;
  int outstanding_requests_ = 0;
  /// Streams with arrivals still to come.
  std::size_t active_streams_ = 0;
};

}  // namespace lagoonwind::ctl
