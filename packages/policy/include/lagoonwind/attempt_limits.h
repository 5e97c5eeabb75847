#pragma once

#include <absl/container/flat_hash_map.h>

#include "lagoonwind/base.h"
#include "lagoonwind/customer_share.h"
#include "lagoonwind/engine_load.h"

/// \file
/// Limits on attempts that hold for the whole fleet although each gateway enforces them on its own:
/// the retry budget and the request rate of cold backend servers.
namespace lagoonwind::policy {

/// Options of FleetRetryBudget.
struct FleetRetryBudgetOptions {
  /// Ratio of retries to requests that the fleet may reach.
  double ratio = 0.2;
  /// Additional retries that the whole fleet may make in one window.
  double slack = 0;
  /// Length of the sliding window in which requests and retries are counted.
  Duration window = std::chrono::seconds(10);
};

/// Limits the retries of requests to one service, as all gateways retry at once when responses are
/// lost or backend servers crash. Each gateway uses a fixed fraction of the fleet's budget, so the
/// limit also holds while gateways cannot reach each other. Not thread safe.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryBudgetOptions& options)
      : options_(options), requests_(options.window), retries_(options.window) {}

  /// Records the arrival of a request for the service.
  void RecordRequest(Time now) { requests_.Add(1, now); }
  /// Takes one retry from the budget.
  /// \param gateways  Number of gateways that share the budget; at least 1.
  /// \return False if the budget is exhausted.
  bool TryConsume(int gateways, Time now);
  /// Retries left in this gateway's budget; below 1 if it is exhausted.
  [[nodiscard]] double Remaining(int gateways, Time now) const;

 private:
  FleetRetryBudgetOptions options_;
  WindowedSum requests_;
  WindowedSum retries_;
};

/// Limits the request rate of cold backend servers. When an availability zone returns, its backend
/// servers are cold and the least loaded, so that all gateways would choose them at once. Not
/// thread safe.
class ColdStartLimiter {
 public:
  /// Time until the next request may be sent to `server`; zero if it may be sent now.
  /// \param rate  Requests per second that this gateway may send to the backend server.
  [[nodiscard]] Duration Delay(ServerId server, double rate, Time now) const;
  /// Records that a request was sent to `server`.
  void RecordSent(ServerId server, Time now) { last_sent_[server] = now; }

 private:
  absl::flat_hash_map<ServerId, Time> last_sent_;
};

}  // namespace lagoonwind::policy
