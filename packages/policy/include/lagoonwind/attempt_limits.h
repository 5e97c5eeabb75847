#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/customer_share.h"
#include "lagoonwind/engine_load.h"

/// \file
/// Limits on sends that hold over the whole fleet although each gateway counts for itself.
namespace lagoonwind::policy {

/// Options of RetryBudget.
struct FleetRetryBudgetOptions {
  /// Sends beyond the first of each request, as a share of the requests.
  double ratio = 0.2;
  /// Such sends that the whole fleet may make besides in one window.
  double slack = 0;
  Duration window = std::chrono::seconds(10);
};

/// Bounds repeated sends. Load pattern: answers are lost or backend servers crash, and every
/// gateway repeats at once. Each gateway uses a fixed part of the fleet's budget, so that the bound
/// holds also when gateways can't talk. Not thread safe.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryBudgetOptions& options)
      : options_(options), requests_(options.window), retries_(options.window) {}

  /// A request for the service arrived.
  void RecordRequest(Time now) { requests_.Add(1, now); }
  /// Takes one repeated send out of the budget if there is one left.
  /// \param gateways  Gateways that share the budget.
  bool TryConsume(int gateways, Time now);
  /// Repeated sends that are left.
  [[nodiscard]] double Remaining(int gateways, Time now) const;

 private:
  FleetRetryBudgetOptions options_;
  WindowedSum requests_;
  WindowedSum retries_;
};

/// Bounds requests to cold backend servers. Load pattern: a zone comes back cold and is the least
/// loaded, so that all gateways choose it at once. Not thread safe.
class ColdStartLimiter {
 public:
  /// Time until a request may be sent; zero if at once.
  /// \param rate  Requests a second that this gateway may send to the backend server.
  [[nodiscard]] Duration Delay(ServerId server, double rate, Time now) const;
  /// A request was sent.
  void RecordSent(ServerId server, Time now) { last_sent_[server] = now; }

 private:
  absl::flat_hash_map<ServerId, Time> last_sent_;
};

/// Remembers requests that crash the backend servers that run them. Load pattern: one request
/// crashes each backend server that begins it, and its caller sends it again at any gateway. Not
/// thread safe.
class CrashSuspects {
 public:
  /// A run of the request ended with the crash of its backend server.
  /// \param digest  Of the request's content.
  void RecordCrash(Digest digest, ServerId server, Time now);
  /// True if the request must not be sent any more.
  [[nodiscard]] bool IsQuarantined(Digest digest, Time now) const;
  /// Crashes that this gateway saw since `since`.
  struct Crash {
    Digest digest;
    ServerId server;
  };
  [[nodiscard]] std::vector<Crash> CrashesSince(Time since) const;
  /// Takes in a crash that a peer saw.
  void MergePeerCrash(const Crash& crash, Time now) { AddCrash(crash, now); }

 private:
  struct Suspect {
    std::vector<ServerId> crashed_servers;
    Time last_crash;
  };
  struct LocalCrash {
    Crash crash;
    Time observed_at;
  };
  void AddCrash(const Crash& crash, Time now);

  absl::flat_hash_map<Digest, Suspect> suspects_;
  std::vector<LocalCrash> local_crashes_;
};

}  // namespace lagoonwind::policy
