#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "configuration_history.h"
#include "soak_checks.h"
#include "stop_signals.h"

namespace lagoonwind::testing {

struct SoakCallersOptions {
  /// Seed of all random choices.
  std::uint64_t seed = 1;
  /// Number of concurrent callers.
  int callers = 8;
  /// Number of gateways; requests go to gateways 1 to `gateways`.
  int gateways = 3;
};

/// Concurrent callers that send random requests to random gateways until stopped. Each caller sends
/// one request at a time and reuses its connection for up to a random number of requests. Every
/// second caller prefers gateways that are draining, as a load balancer does if too few others are
/// ready. They run on a thread of this object; Stop must be called at most once.
class SoakCallers {
 public:
  /// Starts the callers. `stop_signals` and `configurations` must outlive them.
  SoakCallers(const SoakCallersOptions& options, const StopSignals& stop_signals,
              const ConfigurationHistory& configurations);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// Waits until all callers have finished their current request. \return All calls.
  std::vector<CallRecord> Stop();

 private:
  using Random = std::mt19937_64;

  http::asio::awaitable<void> RunCaller(int caller_index);
  http::asio::awaitable<void> RunConnection(int caller_index, int gateway, Random& random);
  /// Sends a request and reads its response, or disconnects before the response if `disconnects`.
  /// \return True if the connection may be used again.
  static http::asio::awaitable<bool> SendAndReceive(boost::beast::tcp_stream& stream,
                                                    boost::beast::flat_buffer& buffer,
                                                    bool disconnects, CallRecord& call);
  CallRecord MakeCall(int caller_index, int gateway, Random& random);
  int PickGateway(int caller_index, Random& random) const;

  SoakCallersOptions options_;
  const StopSignals& stop_signals_;
  const ConfigurationHistory& configurations_;
  http::asio::io_context io_;
  std::atomic<bool> stopping_ = false;
  /// Accessed only on `thread_` until Stop has joined it.
  std::vector<CallRecord> calls_;
  std::uint64_t last_id_ = 0;
  std::jthread thread_;
};

}  // namespace lagoonwind::testing
