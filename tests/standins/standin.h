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
/// Stand-ins of the platform and of backend servers, for tests and the local fleet only.
namespace lagoonwind::standins {

/// Faults that POST /standin/fault sets.
struct Faults {
  bool refuse = false;
  std::chrono::milliseconds delay{0};
  int lose_responses = 0;
};

/// Parses the body of POST /standin/fault; unknown keys are ignored.
Faults ParseFaults(const std::string& body);

/// A server of its own, driven by requests. Thread safe.
class StandIn {
 public:
  virtual ~StandIn() = default;
  /// Applies the faults, then answers.
  http::asio::awaitable<http::Response> Handle(http::Request request);

 protected:
  virtual http::asio::awaitable<http::Response> Respond(http::Request request) = 0;
  /// Called after faults were set, with the body that set them.
  virtual void OnFaultsChanged(const nlohmann::json& body);

 private:
  std::mutex mutex_;
  Faults faults_;
};

http::Response JsonResponse(unsigned status, const nlohmann::json& body);

/// An answer that breaks the connection off before its first byte of body.
http::Response LostResponse();

/// A run as GET /standin/runs reports it; times are Unix time in microseconds.
struct ExecutionRecord {
  std::string id;
  std::string customer;
  std::string key;
  std::int64_t started = 0;
  std::optional<std::int64_t> finished;
};

/// Everything that a backend server ran. Thread safe.
class ExecutionLog {
 public:
  /// Returns the number of the new run.
  std::size_t Start(const http::Request& request);
  void Finish(std::size_t execution);
  [[nodiscard]] nlohmann::json ToJson() const;

 private:
  mutable std::mutex mutex_;
  std::vector<ExecutionRecord> executions_;
};

/// The append-only log and the host list.
struct PlatformOptions {
  /// Records of each stream that are kept.
  std::size_t max_records_per_stream = 1'000'000;
};
std::unique_ptr<StandIn> MakePlatform(const PlatformOptions& options);

struct EngineOptions {
  std::vector<std::string> models{"crest"};
  /// Tokens a second of each request while the load is well below the bearing.
  double tokens_per_second = 200;
  /// Requests that a warm engine bears at a time; it crashes above.
  std::uint32_t capacity = 8;
  /// Requests that it bears right after its start.
  std::uint32_t cold_capacity = 8;
  /// Time in which the bearing grows from cold to warm.
  std::chrono::milliseconds warm_up{0};
};
std::unique_ptr<StandIn> MakeEngine(const EngineOptions& options);

struct ServiceOptions {
  std::vector<std::string> services{"bookings"};
  /// Time that each call takes.
  std::chrono::milliseconds service_time{20};
};
std::unique_ptr<StandIn> MakeService(const ServiceOptions& options);

}  // namespace lagoonwind::standins
