#pragma once

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/engine_load.h"
#include "lagoonwind/rollout_types.h"

/// \file
/// Data types of a gateway: routes, services, configuration, backend servers and process settings.
namespace lagoonwind::gateway {

using policy::Prompt;
using policy::PromptSegment;
using policy::ServerId;
using std::chrono::milliseconds;

/// Determines whether a request may be retried after it may have been executed.
enum class RouteKind { kIdempotent, kMutating, kStreaming };

/// Name of a route kind in logs and metrics.
std::string_view Name(RouteKind kind);

/// Service that receives a part of a route's requests, in proportion to its weight.
struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kMutating;
  /// Longest time from a request's arrival to the end of its response.
  milliseconds timeout{0};
  /// Target for the time to the first byte of the response.
  milliseconds objective{0};
  std::vector<WeightedService> services;
  /// Largest number of attempts per request after which it may have been executed.
  int max_attempts = 1;
  /// True if requests need no API key.
  bool is_public = false;
  /// True if an interrupted stream may be resumed on another backend server.
  bool resumable = false;

  /// True if executing a request twice has the same effect as executing it once.
  [[nodiscard]] bool retryable() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStreaming && resumable);
  }
};

/// Properties of the inference engines of a service.
struct EngineTraits {
  /// Requests that an engine runs concurrently.
  int slots = 0;
  /// Capacity of the KV cache, in tokens.
  std::int64_t kv_cache_tokens = 0;
};

struct Service {
  std::string name;
  /// Connections that one backend server accepts from all clients together.
  int max_connections = 0;
  /// Cold-start period of a backend server, counted from its start.
  milliseconds cold_duration{0};
  /// Requests per second that a backend server can handle during its cold start; 0 if unlimited.
  double cold_requests_per_s = 0;
  /// Absent if the service's backend servers are not inference engines.
  std::optional<EngineTraits> engine;
};

/// Limits on callers' connections and requests.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 4U << 20U;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// One version of the operators' configuration. Immutable once it is in use.
struct Configuration {
  std::int64_t version = 0;
  /// Routes by host, sorted by decreasing length of the path prefix.
  absl::flat_hash_map<std::string, std::vector<std::shared_ptr<const Route>>> routes;
  absl::flat_hash_map<std::string, Service> services;
  /// Customer names by API key.
  absl::flat_hash_map<std::string, std::string> customers;
  /// False if the configuration defines no customers; then no request needs an API key.
  bool has_customers = false;
  CallerLimits limits;
  /// Expected throughput of all engines together, in tokens per second; 0 if not stated.
  double tokens_per_s = 0;

  /// Returns the route with the longest matching path prefix, or null. Thread safe.
  /// \param path  Path without the query.
  [[nodiscard]] std::shared_ptr<const Route> FindRoute(std::string_view host,
                                                       std::string_view path) const;
};

/// Description that a backend server publishes of itself.
struct BackendServer {
  /// Identifies one incarnation of the backend server.
  ServerId id;
  /// Forwarded requests name the expected backend server; it refuses requests for another name.
  std::string name;
  std::string service;
  /// `IP:PORT`.
  std::string address;
  std::string zone;
  /// Software version; empty if not stated.
  std::string version;
  /// Unix time of the start of this incarnation, in milliseconds.
  std::int64_t start_time_ms = 0;
  /// Increases with each description that one incarnation publishes.
  std::int64_t sequence = 0;
  /// True if it accepts no new requests.
  bool draining = false;
  /// Remaining time of the cold start.
  milliseconds cold_left{0};
  /// Requests that it processes concurrently.
  int slots = 0;
};

/// Settings of one gateway process. Fixed while it runs.
struct Settings {
  std::string name;
  std::string zone;
  std::string ip;
  /// `IP:PORT` on which callers connect.
  std::string caller_listen;
  /// `IP:PORT` on which the load balancer checks readiness.
  std::string readiness_listen;
  /// Port for traffic between gateways: UDP for reports, TCP for copying records.
  std::uint16_t peer_port = 0;
  /// IP addresses of gateways to contact first.
  std::vector<std::string> seeds;
  /// `IP:PORT` of the record store.
  std::string store_address;
  /// Port on which Prometheus scrapes metrics.
  std::uint16_t metrics_port = 0;
  /// Memory available to the process.
  std::uint64_t memory_bytes = 0;
  /// Number of descriptors that the process may have open.
  std::size_t max_descriptors = 4096;
  /// Number of CPU cores available to the process; may be a fraction.
  double cpu_cores = 1;
  /// Time from SIGTERM to the exit of the process.
  milliseconds shutdown_grace{8000};
  /// Retry budget of the fleet, as the ratio of retries to requests.
  double retry_ratio = 0.2;
  /// Retries that the whole fleet may make per retry window in addition to that ratio.
  double retry_slack = 0;
  milliseconds retry_window{10000};
  /// Window over which the customers' fair shares are computed.
  milliseconds share_window{4000};
  /// True if backend servers that have started or recovered are paced by their responses.
  bool slow_start = false;
  /// Limits of roll-outs. If absent, orders have no effect and versions play no part.
  std::optional<policy::RolloutLimits> rollout;
};

}  // namespace lagoonwind::gateway
