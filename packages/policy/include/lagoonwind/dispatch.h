#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "lagoonwind/attempt_limits.h"
#include "lagoonwind/customer_share.h"
#include "lagoonwind/engine_load.h"
#include "lagoonwind/server_pace.h"

/// \file
/// Admission control and load balancing: whether a request is sent to a backend server, and to
/// which, or refused. A backend server is either an inference engine, which serves a model, or
/// belongs to a plain service.
namespace lagoonwind::policy {

/// Outlier ejection by recent failures of each backend server. Protects callers from a backend
/// server that fails or hangs part of its requests while it is listed as healthy. Not thread safe.
class ServerHealth {
 public:
  /// Records a complete response, which ends an ejection and resets the count of consecutive
  /// failures.
  void RecordSuccess(ServerId server, Time now);
  /// Records a response whose end only the end of its connection showed: it ends a run of
  /// consecutive failures, as the backend server has responded, but not an ejection.
  void RecordUnframedEnd(ServerId server) { servers_[server].consecutive_failures = 0; }
  /// Records a refused or broken connection, a malformed response or a request that made no
  /// progress.
  void RecordFailure(ServerId server, Time now);
  /// Records whether a complete response reports a failure of the backend server. Ejects the
  /// backend server if its failure ratio exceeds the fleet's by too much.
  void RecordResponse(ServerId server, bool failed, Time now);
  /// True while the backend server is ejected: it is used only if no other is available.
  [[nodiscard]] bool IsEjected(ServerId server, Time now) const;
  void Remove(ServerId server) { servers_.erase(server); }

 private:
  struct State {
    int consecutive_failures = 0;
    double failure_ratio = 0;
    Time ejected_until{};
  };
  absl::flat_hash_map<ServerId, State> servers_;
  /// Failure ratio over all backend servers.
  double fleet_failure_ratio_ = 0;
};

/// A backend server that a request may be sent to.
struct Candidate {
  ServerId server;
  bool same_zone = false;
  /// Requests per second that this gateway may send to it while it is cold; 0 if unlimited.
  double cold_rate_limit = 0;
  /// Maximum number of requests that it runs concurrently.
  int concurrency_limit = 0;
  /// KV cache capacity of an engine, in tokens; 0 for plain services.
  std::int64_t kv_cache_tokens = 0;
};

/// The properties of a request that determine where it is sent.
struct DispatchRequest {
  CustomerId customer;
  /// Null for plain services.
  const Prompt* prompt = nullptr;
  /// Latency objective of the route: time to the first byte of the response.
  Duration objective{0};
  /// Time left until the caller's deadline or the route's timeout, whichever comes first.
  Duration time_left{0};
  /// Full timeout of the route. Callers that try again may have less `time_left`.
  Duration timeout{0};
  /// True for a retry, which has passed admission control before.
  bool is_retry = false;
};

enum class DispatchVerdict {
  kSend,
  /// There are no candidates.
  kNoServer,
  /// All candidates are cold and have reached their request rate.
  kColdStartLimit,
  /// The response would begin too late.
  kOverloaded,
  /// The customer's usage of its fair share is too high for the present queueing delay.
  kOverShare,
  /// The part of the engine's concurrency limit or KV cache that the customer may use is exhausted.
  kNoCapacity,
  /// The response cannot be complete in the time left.
  kCannotMeetDeadline,
};

/// Name of a verdict in logs and metrics.
std::string_view Name(DispatchVerdict verdict);

struct DispatchDecision {
  DispatchVerdict verdict = DispatchVerdict::kNoServer;
  ServerId server;
  /// Estimate for `server`, which is the best candidate if the request is refused.
  EngineEstimate estimate;
  /// The customer's usage of its fair share; 0 for retries and plain services.
  double usage = 0;
  /// Time after which capacity is expected to be available again.
  Duration retry_after{0};
};

/// Chooses the backend server with the least cost in latency and repeated prefill, and refuses
/// requests whose response would begin too late. Handles bursts beyond the engines' prefill rate,
/// popular prompt segments, excess traffic of one customer, cold backend servers, and long prompts
/// mixed with short ones. Not thread safe.
class Dispatcher {
 public:
  /// \param load, share, health, cold, pace  Must outlive the dispatcher. Without `pace`, all
  ///     backend servers get an even portion of the work.
  Dispatcher(const EngineLoad& load, const CustomerShare& share, const ServerHealth& health,
             const ColdStartLimiter& cold, const ServerPace* pace = nullptr)
      : load_(load), share_(share), health_(health), cold_(cold), pace_(pace) {}

  /// Chooses one of the candidates for the request, or refuses the request.
  /// \param outstanding  Requests of this gateway that run on each candidate; used for plain
  ///     services.
  /// \param seed         Random number that breaks ties.
  [[nodiscard]] DispatchDecision Decide(const DispatchRequest& request,
                                        std::span<const Candidate> candidates,
                                        std::span<const int> outstanding, std::uint64_t seed,
                                        Time now) const;

 private:
  /// Estimate for the request at one candidate, and the cost of choosing it.
  struct Option {
    EngineEstimate estimate;
    double cost = 0;
  };
  [[nodiscard]] std::vector<Option> Options(const DispatchRequest& request,
                                            std::span<const Candidate> candidates,
                                            std::span<const int> outstanding, std::uint64_t seed,
                                            Time now) const;
  [[nodiscard]] double PlainServiceCost(const Candidate& candidate, int outstanding,
                                        std::uint64_t seed) const;
  /// Properties of the request and the fleet that the costs of all engines depend on.
  struct CostInputs {
    double mean_queueing_delay_s = 0;
    std::uint64_t shared_prefix_hash = 0;
  };
  [[nodiscard]] double EngineCost(const DispatchRequest& request, const Candidate& candidate,
                                  const EngineEstimate& estimate, const CostInputs& inputs) const;
  [[nodiscard]] bool IsEligible(const Candidate& candidate, bool allow_ejected, Time now) const;
  /// Index of the cheapest option for which `eligible` is true.
  template <class Eligible>
  [[nodiscard]] static std::optional<std::size_t> Cheapest(std::span<const Option> options,
                                                           const Eligible& eligible) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < options.size(); ++i) {
      if ((!best || options[i].cost < options[*best].cost) && eligible(i)) {
        best = i;
      }
    }
    return best;
  }
  /// Replaces the cheapest option if its server is beyond its pace: by the cheapest one that is
  /// within its own and can take the request, else by the cheapest relative to the servers'
  /// fractions that can, so that no request is refused because of a server's pace.
  [[nodiscard]] std::size_t ApplyPace(std::size_t best, std::span<const Option> options,
                                      std::span<const Candidate> candidates,
                                      std::span<const int> outstanding,
                                      absl::FunctionRef<bool(std::size_t)> can_take,
                                      Time now) const;
  /// Mean queueing delay over all options, in seconds.
  [[nodiscard]] static double MeanQueueingDelay(std::span<const Option> options);
  [[nodiscard]] DispatchVerdict Evaluate(const DispatchRequest& request, const Candidate& candidate,
                                         const EngineEstimate& estimate, double usage) const;

  const EngineLoad& load_;
  const CustomerShare& share_;
  const ServerHealth& health_;
  const ColdStartLimiter& cold_;
  const ServerPace* pace_;
};

}  // namespace lagoonwind::policy
