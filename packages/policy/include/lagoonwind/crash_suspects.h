#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/engine_load.h"

/// \file
/// Detection of requests that crash the backend servers that run them.
namespace lagoonwind::policy {

/// Crash of a backend server.
struct ServerCrash {
  ServerId server;
  Time at;
};

/// A request that backend servers ran as they crashed.
struct SuspectRequest {
  Digest digest;
  /// At most one for each server; empty if only the conclusion is known.
  std::vector<ServerCrash> crashes;
  Time last_crash;
  /// Trials that were begun since the request was quarantined.
  int trials = 0;
  bool quarantined = false;
};

/// Options of CrashSuspects.
struct CrashSuspectsOptions {
  /// Number of different backend servers that a request has crashed when it is quarantined.
  std::size_t crashes = 2;
  /// Time after its last crash for which a request remains a suspect.
  Duration evidence_lifetime = std::chrono::seconds(120);
  /// Time after its last crash for which a request remains quarantined if it is never tried.
  Duration quarantine_lifetime = std::chrono::minutes(4);
  /// Time after the last crash until the request is tried once, so that one that was quarantined by
  /// mistake is cleared, and the factor by which each trial lengthens it.
  Duration first_trial_delay = std::chrono::seconds(30);
  int trial_delay_growth = 4;
};

/// Quarantines requests that crash the backend servers that run them: a caller may retry such a
/// request at any gateway, and each backend server that starts it crashes. A request is a suspect
/// after one crash and is quarantined after crashes of two backend servers. A complete response is
/// proof that it is harmless. Gateways share crashes, responses and conclusions. Not thread safe.
class CrashSuspects {
 public:
  explicit CrashSuspects(const CrashSuspectsOptions& options = {}) : options_(options) {}

  /// Records that an execution of the request ended with the crash of its backend server.
  /// \param digest  Digest of the request's content.
  /// \return True if the request is quarantined from now on.
  bool RecordCrash(Digest digest, ServerId server, Time now);
  /// Records that a backend server responded completely. Clears the request.
  /// \return True if the request was quarantined.
  bool RecordResponse(Digest digest, Time now);
  /// True if the request must not be sent to any backend server, apart from trials.
  [[nodiscard]] bool IsQuarantined(Digest digest, Time now) const;
  /// Time until a quarantined request may be sent as a trial; zero if one is due.
  [[nodiscard]] Duration TimeUntilTrial(Digest digest, Time now) const;
  /// Records that a quarantined request is sent as a trial.
  void BeginTrial(Digest digest, Time now);
  /// Takes back BeginTrial(), as the request reached no backend server.
  void AbandonTrial(Digest digest, Time now);
  /// True if the request was cleared by a response after `time`.
  [[nodiscard]] bool RespondedAfter(Digest digest, Time time) const;

  /// A backend server that crashed, and the request that it ran.
  struct Crash {
    Digest digest;
    ServerId server;
    Time at;
  };
  /// A response that cleared a request.
  struct Response {
    Digest digest;
    Time at;
  };
  /// Crashes that this gateway has seen since `since`, at most ten seconds ago.
  [[nodiscard]] std::vector<Crash> CrashesSince(Time since) const;
  /// Responses at this gateway that cleared suspects since `since`, at most ten seconds ago.
  [[nodiscard]] std::vector<Response> ResponsesSince(Time since) const;
  /// Returns what is known against a request; absent if it is no suspect.
  [[nodiscard]] std::optional<SuspectRequest> Find(Digest digest, Time now) const;
  /// Requests that are suspects, those that are quarantined first, then by the time of their last
  /// crash.
  /// \param most  Largest number that is returned.
  [[nodiscard]] std::vector<SuspectRequest> Suspects(std::size_t most, Time now) const;
  /// Requests that are quarantined.
  /// \param most  Largest number that is returned.
  [[nodiscard]] std::vector<SuspectRequest> Quarantined(std::size_t most, Time now) const;
  /// Time of the last conclusion or trial of this gateway.
  [[nodiscard]] Time last_change() const { return last_change_; }
  /// Applies a crash that a peer has reported.
  /// \return True if the request is quarantined from now on.
  bool MergePeerCrash(const Crash& crash, Time now) { return AddCrash(crash, now); }
  /// Applies a response that a peer has reported, or that ended a stored quarantine.
  void MergePeerResponse(const Response& response);
  /// Applies a suspect that a peer has reported, or a quarantine from the store.
  /// \return True if the request is quarantined from now on.
  bool Merge(const SuspectRequest& suspect, Time now);

 private:
  struct Suspect {
    std::vector<ServerCrash> crashes;
    Time last_crash{};
    /// Crashes until then are no evidence.
    Time responded_at = Time::min();
    Time next_trial{};
    int trials = 0;
    bool quarantined = false;
  };
  bool AddCrash(const Crash& crash, Time now);
  static void AddServer(Suspect& suspect, const ServerCrash& crash);
  /// \return Null if there are too many suspects.
  Suspect* FindOrAdd(Digest digest, Time now);
  /// Draws the conclusion from the evidence against a request.
  /// \return True if it is quarantined from now on.
  bool Conclude(Suspect& suspect, bool stated);
  [[nodiscard]] bool HasExpired(const Suspect& suspect, Time now) const;
  [[nodiscard]] Duration TrialDelay(int trials) const;
  [[nodiscard]] bool IsSuspect(const Suspect& suspect, Time now) const;
  static SuspectRequest Describe(Digest digest, const Suspect& suspect);
  [[nodiscard]] std::vector<SuspectRequest> Select(bool only_quarantined, std::size_t most,
                                                   Time now) const;

  CrashSuspectsOptions options_;
  absl::flat_hash_map<Digest, Suspect> suspects_;
  std::vector<Crash> local_crashes_;
  std::vector<Response> local_responses_;
  Time last_change_{};
};

}  // namespace lagoonwind::policy
