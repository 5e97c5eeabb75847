#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lagoonwind/engine_load.h"

/// \file
/// Slow start of backend servers, and less work for those that respond worse than their peers.
namespace lagoonwind::policy {

/// What one attempt showed of a backend server.
struct PaceOutcome {
  /// Time to the first byte that was expected for the server's queue; 0 for plain services.
  Duration expected{0};
  /// Time to the first byte; ignored if `failed`.
  Duration first_byte{0};
  bool failed = false;
};

/// Why the fraction of a backend server changed.
enum class PaceReason { kStarted, kAsGood, kSlower, kFailing };

/// Name of a reason in logs.
std::string_view Name(PaceReason reason);

/// A change of a backend server's fraction, with the evidence for it.
struct PaceChange {
  PaceReason reason = PaceReason::kStarted;
  double previous = 1;
  double fraction = 1;
  /// Responses of the server that were judged, the mean of their slowdown (time to the first byte
  /// relative to the expected time) and the fraction of them that failed.
  int responses = 0;
  double slowdown = 0;
  double failure_ratio = 0;
  /// Medians of the other servers of the service in the same seconds, and their number.
  double peer_slowdown = 0;
  double peer_failure_ratio = 0;
  int peers = 0;
};

/// Determines for each backend server the fraction of an even portion of the work that it gets:
/// little after a start or recovery, more with each response that is as good as those of the other
/// servers of the service, less while responses are worse. Addresses backend servers that just
/// started, recovered or became slower, to which all gateways would send at once as they are the
/// least loaded. Each gateway judges by its own responses. Not thread safe.
class ServerPace {
 public:
  /// \param salt  Random number of this gateway, which spreads gateways over the work allowed.
  explicit ServerPace(std::uint64_t salt) : salt_(salt) {}

  /// Sets the number of live gateways, which share the work that a server is allowed.
  /// \pre gateways > 0
  void SetGateways(int gateways) { gateways_ = gateways; }
  /// Begins a slow start, unless the server's fraction is smaller already.
  /// \return The change; absent if there is none.
  std::optional<PaceChange> Begin(ServerId server, Time now);
  /// Counts a request of a service that the server is one of `candidates` for.
  /// \pre candidates > 0
  void RecordRequest(ServerId server, std::size_t candidates, Time now);
  /// Records that a request was sent to the server.
  void RecordSent(ServerId server);
  /// Records what an attempt showed.
  /// \return The change of the server's fraction; absent if there is none.
  std::optional<PaceChange> RecordOutcome(const std::string& service, ServerId server,
                                          const PaceOutcome& outcome, Time now);
  void Remove(ServerId server) { paced_.erase(server); }

  /// Fraction of an even portion of the work that the server gets now; above 0, at most 1.
  [[nodiscard]] double Fraction(ServerId server, Time now) const;
  /// True if one more request is within the server's pace.
  /// \param outstanding        Requests of this gateway that run on it.
  /// \param concurrency_limit  Maximum number of requests that it runs for all gateways.
  [[nodiscard]] bool MayTake(ServerId server, int outstanding, int concurrency_limit,
                             Time now) const;
  /// True if a plain service's server has work for less than this gateway's portion of its limit.
  [[nodiscard]] bool HasRoom(int outstanding, int concurrency_limit) const {
    return outstanding * gateways_ < concurrency_limit;
  }
  /// True if all servers get all of their work.
  [[nodiscard]] bool IsIdle() const { return paced_.empty(); }
  /// Number of servers that get less than an even portion, or none of whose responses has shown yet
  /// that they can take it.
  [[nodiscard]] std::size_t paced_count() const { return paced_.size(); }

 private:
  struct Tally {
    int responses = 0;
    int failures = 0;
    double slowdown_sum = 0;
    void Add(const Tally& other);
    [[nodiscard]] std::optional<double> MeanSlowdown() const;
    [[nodiscard]] double FailureRatio() const;
  };
  struct PacedServer {
    /// Fraction at `updated`.
    double fraction = 0;
    Time updated;
    Time last_step;
    /// True if the last step was down.
    bool was_bad = false;
    /// Requests that may be sent to it now.
    double credit = 0;
    /// Outcomes since the last step.
    Tally tally;
  };
  /// Outcomes of one service in one second.
  struct Window {
    std::int64_t second = -1;
    absl::flat_hash_map<ServerId, Tally> servers;
  };
  struct Service {
    /// The present second and the one before, by parity.
    std::array<Window, 2> windows;
    /// Number of consecutive seconds in which a server responded worse than its peers.
    absl::flat_hash_map<ServerId, int> bad_seconds;
  };

  /// Uniformly distributed in [0, 1) over gateways and servers.
  [[nodiscard]] double RandomOf(ServerId server) const;
  [[nodiscard]] static double FractionOf(const PacedServer& state, Time now);
  /// The evidence for or against a server: its own tally and the medians of its peers.
  [[nodiscard]] static PaceChange Compare(const Service& service, ServerId server,
                                          const Tally& tally);
  /// Counts the seconds that end with `window` in which servers were worse than their peers.
  static void CountBadSeconds(Service& service, const Window& window);
  std::optional<PaceChange> Step(const Service& service, ServerId server, PacedServer& state,
                                 Time now);
  std::optional<PaceChange> Detect(Service& service, ServerId server, Time now);

  std::uint64_t salt_;
  int gateways_ = 1;
  absl::flat_hash_map<ServerId, PacedServer> paced_;
  absl::flat_hash_map<std::string, Service> services_;
};

}  // namespace lagoonwind::policy
