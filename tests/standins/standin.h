#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lagoonwind/http.h"

/// \file
/// Simulated platform and backend servers, for tests and the local fleet only. Each is an HTTP
/// request handler; POST /standin/fault injects faults and GET /standin/runs lists executions.
namespace lagoonwind::standins {

/// Injected faults, set by POST /standin/fault.
struct Faults {
  /// Every request gets status 503 and is not processed.
  bool refuse = false;
  /// Time that each request waits before it is processed.
  std::chrono::milliseconds delay{0};
  /// Number of further requests that are processed but whose responses are dropped.
  int lose_responses = 0;
};

/// Parses the JSON body of POST /standin/fault. Unknown keys are ignored; a body that is not a JSON
/// object means no faults.
Faults ParseFaults(const std::string& body);

/// Base class of the simulated servers. Thread safe.
class StandIn {
 public:
  virtual ~StandIn() = default;
  /// Handles one request: sets faults for POST /standin/fault, otherwise applies the current faults
  /// and returns the response. Other requests below /standin/ are not subject to faults.
  http::asio::awaitable<http::Response> Handle(http::Request request);

 protected:
  /// Processes a request to which no fault applies.
  virtual http::asio::awaitable<http::Response> Respond(http::Request request) = 0;
  /// Called after faults were set, with the body of the request that set them. Does nothing by
  /// default.
  virtual void OnFaultsChanged(const nlohmann::json& body);

 private:
  std::mutex mutex_;
  Faults faults_;
};

/// Returns a response with a JSON body.
http::Response JsonResponse(unsigned status, const nlohmann::json& body);

/// Returns a response with status 200 whose connection is closed before the first byte of its body.
http::Response LostResponse();

/// One execution as reported by GET /standin/runs. Times are Unix time in microseconds.
struct ExecutionRecord {
  std::string id;
  std::string customer;
  /// Idempotency key.
  std::string key;
  std::int64_t started = 0;
  /// Empty while the execution is running, and for one that was interrupted.
  std::optional<std::int64_t> finished;
};

/// Records all executions of a backend server. Thread safe.
class ExecutionLog {
 public:
  /// Adds an execution that starts now. \return Its index, from 0.
  std::size_t Start(const http::Request& request);
  /// Records that an execution finished now.
  void Finish(std::size_t execution);
  /// Returns the body of GET /standin/runs.
  [[nodiscard]] nlohmann::json ToJson() const;

 private:
  mutable std::mutex mutex_;
  std::vector<ExecutionRecord> executions_;
};

struct PlatformOptions {
  /// Records retained per stream; older ones are removed.
  std::size_t max_records_per_stream = 1'000'000;
};
/// Creates a simulated platform: the append-only log and the host list.
std::unique_ptr<StandIn> MakePlatform(const PlatformOptions& options);

struct EngineOptions {
  /// Names of the models served.
  std::vector<std::string> models{"crest"};
  /// Tokens generated per second for each request at up to 60 % of the capacity; slower above.
  double tokens_per_second = 200;
  /// Concurrent requests that a warm engine can serve; it crashes above.
  std::uint32_t capacity = 8;
  /// Concurrent requests that it can serve right after its start.
  std::uint32_t cold_capacity = 8;
  /// Time in which the capacity grows linearly from `cold_capacity` to `capacity`.
  std::chrono::milliseconds warm_up{0};
};
/// Creates a simulated inference engine.
std::unique_ptr<StandIn> MakeEngine(const EngineOptions& options);

struct ServiceOptions {
  /// Names of the services provided.
  std::vector<std::string> services{"bookings"};
  /// Processing time of each call.
  std::chrono::milliseconds service_time{20};
};
/// Creates a simulated backend server of a plain service.
std::unique_ptr<StandIn> MakeService(const ServiceOptions& options);

}  // namespace lagoonwind::standins
