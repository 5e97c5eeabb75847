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

/// \file
/// What a gateway knows: routes, services, customers, backend servers, and the requests it handles.
namespace lagoonwind::gateway {

using policy::Prompt;
using policy::PromptSegment;
using policy::ServerId;
using std::chrono::milliseconds;

/// What may be done with a request that was sent once.
enum class RouteKind { kIdempotent, kMutating, kStreaming };

/// Name of a kind for logs and metrics.
std::string_view Name(RouteKind kind);

/// A service that a route sends to, and its part of the route's traffic.
struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kMutating;
  /// Longest time that a caller waits for the end of an answer.
  milliseconds timeout{0};
  /// Time to the first byte of an answer that serves the caller in full.
  milliseconds objective{0};
  std::vector<WeightedService> services;
  /// Backend servers that one request may be sent to.
  int max_attempts = 1;
  /// True if callers need no key.
  bool is_public = false;
  /// True if a broken stream may be continued on another backend server.
  bool resumable = false;

  /// True if a second run of a request does no harm.
  [[nodiscard]] bool retryable() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStreaming && resumable);
  }
};

/// Properties of a service's model engines.
struct EngineTraits {
  /// Requests that an engine runs at a time.
  int slots = 0;
  /// Memory for prompts and answers, in tokens.
  std::int64_t kv_cache_tokens = 0;
};

struct Service {
  std::string name;
  /// Connections that one backend server accepts from all callers together.
  int max_connections = 0;
  /// Time for which a backend server is cold after its start.
  milliseconds cold_duration{0};
  /// Requests a second that a cold backend server bears; 0 if cold ones need no care.
  double cold_requests_per_s = 0;
  /// Absent for plain services.
  std::optional<EngineTraits> engine;
};

struct CallerLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 4U << 20U;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// One version of the operators' configuration. Immutable once it is in force.
struct Configuration {
  std::int64_t version = 0;
  /// Routes by host, longest path prefix first.
  absl::flat_hash_map<std::string, std::vector<std::shared_ptr<const Route>>> routes;
  absl::flat_hash_map<std::string, Service> services;
  /// Customer names by API key.
  absl::flat_hash_map<std::string, std::string> customers;
  /// False if the configuration names no customers, so that no request needs a key.
  bool has_customers = false;
  CallerLimits limits;
  /// Tokens a second that all engines together are expected to process; 0 if not stated.
  double tokens_per_s = 0;

  /// The route of a request, or null. Thread safe.
  /// \param path  Without the query.
  [[nodiscard]] std::shared_ptr<const Route> FindRoute(std::string_view host,
                                                       std::string_view path) const;
};

/// A backend server as it describes itself.
struct BackendServer {
  ServerId id;
  /// Name that the backend server checks when a request says whom it expects.
  std::string name;
  std::string service;
  /// `IP:PORT`.
  std::string address;
  std::string zone;
  /// Unix time of its start, in milliseconds.
  std::int64_t start_time_ms = 0;
  /// Counts the descriptions of one run.
  std::int64_t sequence = 0;
  bool draining = false;
  /// Time for which it stays cold.
  milliseconds cold_left{0};
  int slots = 0;
};

/// Settings of one process.
struct Settings {
  std::string name;
  std::string zone;
  std::string ip;
  /// Address for callers.
  std::string caller_listen;
  /// Address for the balancer's readiness checks.
  std::string readiness_listen;
  /// Port for messages between gateways, UDP and TCP.
  std::uint16_t peer_port = 0;
  /// IP addresses of gateways that may be up.
  std::vector<std::string> seeds;
  /// Address of the operators' store.
  std::string store_address;
  /// Port for Prometheus.
  std::uint16_t metrics_port = 0;
  std::uint64_t memory_bytes = 0;
  /// Part of a processor core that the process gets.
  double cpu_cores = 1;
  /// Time from SIGTERM to the end of the process.
  milliseconds shutdown_grace{8000};
  /// Sends beyond the first of each request that the fleet may make, as a share of the requests.
  double retry_ratio = 0.2;
  /// Such sends that are allowed besides, for each retry window over the whole fleet.
  double retry_slack = 0;
  milliseconds retry_window{10000};
  /// Window over which customers' shares are compared.
  milliseconds share_window{4000};
};

}  // namespace lagoonwind::gateway
