#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "lagoonwind/attempt_limits.h"
#include "lagoonwind/customer_share.h"
#include "lagoonwind/engine_load.h"

/// \file
/// Whether a request is sent to a backend server, to which, or refused.
namespace lagoonwind::policy {

/// How one backend server has done lately. Load pattern: a backend server fails or hangs part of
/// its requests while it counts as healthy. Not thread safe.
class ServerHealth {
 public:
  /// The backend server answered as it should.
  void RecordSuccess(ServerId server, Time now);
  /// It refused or broke a connection, sent bytes that are no answer, or let a request hang.
  void RecordFailure(ServerId server, Time now);
  /// It answered that it failed; counted against what the others fail.
  void RecordResponse(ServerId server, bool failed, Time now);
  /// True if other backend servers go before it.
  [[nodiscard]] bool IsEjected(ServerId server, Time now) const;
  void Remove(ServerId server) { servers_.erase(server); }

 private:
  struct State {
    int consecutive_failures = 0;
    double failure_ratio = 0;
    Time ejected_until{};
  };
  absl::flat_hash_map<ServerId, State> servers_;
  /// Share of failures over all backend servers.
  double fleet_failure_ratio_ = 0;
};

/// A backend server that may be sent to.
struct Candidate {
  ServerId server;
  bool same_zone = false;
  /// Requests a second that this gateway may send to it; 0 if there is no such bound.
  double cold_rate_limit = 0;
  /// Requests that it runs at a time.
  int concurrency_limit = 0;
  /// Memory of an engine in tokens; 0 for plain services.
  std::int64_t kv_cache_tokens = 0;
};

/// A request as far as it matters to where it goes.
struct DispatchRequest {
  CustomerId customer;
  /// Null for plain services.
  const Prompt* prompt = nullptr;
  /// Time to the first byte that serves the caller in full.
  Duration objective{0};
  /// Time that is left until the caller gives up or the route's timeout.
  Duration time_left{0};
  /// The whole of that time as the route states it; more than `time_left` for callers that return.
  Duration timeout{0};
  /// True for a repeated send, which was admitted before.
  bool is_retry = false;
};

enum class DispatchVerdict {
  kSend,
  /// No backend server is known that may be sent to.
  kNoServer,
  /// All that may be sent to are cold and have their share of requests.
  kColdStartLimit,
  /// The first byte would come too late.
  kOverloaded,
  /// The customer has more than its share while others wait.
  kOverShare,
  /// The slots or the memory that the customer may use are taken.
  kNoCapacity,
  /// The answer can't be whole in the time that is left.
  kCannotMeetDeadline,
};

/// Name of a verdict for logs and metrics.
std::string_view Name(DispatchVerdict verdict);

struct DispatchDecision {
  DispatchVerdict verdict = DispatchVerdict::kNoServer;
  ServerId server;
  /// What the request meets there, or would meet at the best backend server.
  EngineEstimate estimate;
  /// The customer's use of its share.
  double usage = 0;
  /// Time after which there is expected to be room again.
  Duration retry_after{0};
};

/// Chooses the backend server that costs callers least, of time and of reading again, and refuses
/// at once what would begin too late. Load patterns: bursts beyond what engines can read, hot
/// prompt parts, one customer's flood, cold backend servers, long prompts beside short ones. Not
/// thread safe.
class Dispatcher {
 public:
  /// \param load, share, health, cold  Must outlive it.
  Dispatcher(const EngineLoad& load, const CustomerShare& share, const ServerHealth& health,
             const ColdStartLimiter& cold)
      : load_(load), share_(share), health_(health), cold_(cold) {}

  /// \param outstanding  Requests that run on each candidate, for plain services.
  /// \param seed         Any number; spreads choices among equals.
  [[nodiscard]] DispatchDecision Decide(const DispatchRequest& request,
                                        std::span<const Candidate> candidates,
                                        std::span<const int> outstanding, std::uint64_t seed,
                                        Time now) const;

 private:
  /// What a request would meet at one candidate, and what that costs.
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
  [[nodiscard]] double EngineCost(const DispatchRequest& request, const Candidate& candidate,
                                  const EngineEstimate& estimate, double mean_queueing_delay) const;
  [[nodiscard]] bool IsEligible(const Candidate& candidate, bool allow_ejected, Time now) const;
  /// Index of the cheapest option that `allowed` takes.
  template <class Eligible>
  [[nodiscard]] static std::optional<std::size_t> Cheapest(std::span<const Option> options,
                                                           const Eligible& eligible) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < options.size(); ++i) {
      if (eligible(i) && (!best || options[i].cost < options[*best].cost)) {
        best = i;
      }
    }
    return best;
  }
  /// Mean time in seconds until engines have read what they have.
  [[nodiscard]] static double MeanQueueingDelay(std::span<const Option> options);
  [[nodiscard]] DispatchVerdict Evaluate(const DispatchRequest& request, const Candidate& candidate,
                                         const EngineEstimate& estimate, double usage) const;

  const EngineLoad& load_;
  const CustomerShare& share_;
  const ServerHealth& health_;
  const ColdStartLimiter& cold_;
};

}  // namespace lagoonwind::policy
