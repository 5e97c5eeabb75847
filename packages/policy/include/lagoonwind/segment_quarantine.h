#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/engine_load.h"

/// \file
/// Detection of prompt segments that crash engines. Requests with such a segment have nothing else
/// in common, so a digest of the whole request does not recognize them.
namespace lagoonwind::policy {

/// Identifies a prompt segment.
using SegmentId = Handle<struct SegmentTag>;

/// Segments of a prompt that other requests may share: all but the last.
std::vector<SegmentId> SharedSegments(const Prompt& prompt);

/// A request that an engine had not begun to respond to when it crashed.
struct CrashVictim {
  ServerId server;
  Digest request;
  std::vector<SegmentId> segments;
  /// When the request was sent to the engine, and when the engine crashed.
  Time sent_at;
  Time crashed_at;
};

/// When an event that concerns a segment last took place.
struct SegmentTime {
  SegmentId segment;
  Time at;
};

/// A segment that no request may have, apart from trials.
struct QuarantinedSegment {
  SegmentId segment;
  Time last_crash;
  /// Trials that were begun since the segment was quarantined.
  int trials = 0;
};

/// Trials of a quarantine whose reporter doesn't state them: the first one may be over.
inline constexpr int kUnknownTrials = 1;

/// Options of SegmentQuarantine.
struct SegmentQuarantineOptions {
  /// Crashes after which a segment is quarantined if no engine has ever responded to it, with
  /// simultaneous ones counted once.
  int crashes = 3;
  /// The same for a segment that engines responded to before, or that nothing tells apart from
  /// another one.
  int crashes_if_doubtful = 5;
  /// The same with all crashes counted, unless all are simultaneous: for a segment that no engine
  /// has ever responded to, and for one that engines responded to before.
  int all_crashes = 5;
  int all_crashes_if_responded = 7;
  /// Number of different requests that these crashes must concern.
  int requests = 2;
  /// Crashes within this time of each other count once, as one failure may take many engines.
  Duration simultaneous = std::chrono::milliseconds(50);
  /// Time after a crash until it counts. Meanwhile other engines respond to segments that have only
  /// accompanied the cause, and peers report it.
  Duration settling_time = std::chrono::milliseconds(400);
  /// Time after which a crash is no longer evidence.
  Duration evidence_lifetime = std::chrono::minutes(10);
  /// Time after the last crash until one request with the segment is tried. A segment that was
  /// quarantined by mistake is soon cleared.
  Duration first_trial_delay = std::chrono::seconds(1);
  /// The same after the first trial, and the factor by which each further one lengthens it.
  Duration trial_interval = std::chrono::seconds(10);
  int trial_interval_growth = 4;
  Duration max_trial_interval = std::chrono::minutes(8);
  /// Time for which a trial waits for a request whose other segments are all known to be harmless.
  /// The outcome of such a request decides on one segment.
  Duration decisive_trial_wait = std::chrono::seconds(10);
};

/// Quarantines segments that crash every engine that begins to respond to them. The evidence
/// against a segment is that it was in requests without a response on several engines that crashed;
/// any response to it on any engine is proof of the contrary. Segments that only accompany the
/// cause are thereby cleared by their other requests. Gateways share crashes and responses, and
/// each draws its own conclusions. Not thread safe.
class SegmentQuarantine {
 public:
  explicit SegmentQuarantine(const SegmentQuarantineOptions& options = {}) : options_(options) {}

  /// Records a request that an engine had not begun to respond to when it crashed.
  void RecordCrash(const CrashVictim& victim, Time now);
  /// Records that an engine responds to a request with these segments. Ends their quarantine.
  void RecordResponse(std::span<const SegmentId> segments, Time now);
  /// Draws conclusions from what was recorded. Call it a few times within the settling time.
  /// \return Segments that are now quarantined.
  std::vector<SegmentId> Update(Time now);
  /// Those of `segments` that are quarantined.
  [[nodiscard]] std::vector<SegmentId> QuarantinedAmong(std::span<const SegmentId> segments) const;
  [[nodiscard]] bool IsQuarantined(SegmentId segment) const {
    return quarantined_.contains(segment);
  }
  /// Time until a request with these segments, of which some are quarantined, may be sent as a
  /// trial; zero if one is due.
  [[nodiscard]] Duration TimeUntilTrial(std::span<const SegmentId> segments, Time now) const;
  /// Records that a request with these segments is sent as a trial of those that are quarantined.
  /// Only one gateway of the fleet should do so.
  void BeginTrial(std::span<const SegmentId> segments, Time now);
  /// Takes back BeginTrial(), as the request reached no engine.
  void AbandonTrial(std::span<const SegmentId> segments);
  /// State of a quarantined segment.
  [[nodiscard]] std::optional<QuarantinedSegment> Find(SegmentId segment) const;
  /// True if an engine responded to the segment after `time`.
  [[nodiscard]] bool RespondedAfter(SegmentId segment, Time time) const;

  /// Requests that this gateway lost since `since` to crashes of engines.
  [[nodiscard]] std::vector<CrashVictim> LocalVictimsSince(Time since) const;
  /// Responses at this gateway that have cleared a suspected segment since `since`.
  [[nodiscard]] std::vector<SegmentTime> LocalResponsesSince(Time since) const;
  [[nodiscard]] std::vector<QuarantinedSegment> Quarantined() const;
  /// Applies a lost request that a peer has reported.
  void MergePeerVictim(const CrashVictim& victim, Time now) { AddVictim(victim, now); }
  /// Applies a response that a peer has reported.
  void MergePeerResponse(const SegmentTime& response);
  /// Applies a quarantine that a peer or the store has reported.
  /// \return True if the segment was not quarantined before.
  bool MergeQuarantine(const QuarantinedSegment& quarantine, Time now);

 private:
  struct Crash {
    ServerId server;
    Time at;
    /// In the order in which they were sent.
    std::vector<CrashVictim> victims;
  };
  /// An item for reports to peers.
  template <class Item>
  struct Recorded {
    Item item;
    Time recorded_at;
  };
  struct Response {
    Time at;
    /// True if it was at this gateway.
    bool local = false;
  };
  struct Entry {
    Time last_crash;
    Time next_trial;
    int trials = 0;
  };
  /// Evidence against one segment.
  struct Tally {
    SegmentId segment;
    int crashes = 0;
    /// Crashes with simultaneous ones counted once.
    int moments = 0;
    Time last_counted{};
    /// Sum over the crashes. An engine responds in the order of arrival, so that the victim that
    /// was sent first is the most likely cause: it weighs 1, the next one a half, and so on.
    double weight = 0;
    const Crash* last_crash = nullptr;
    absl::flat_hash_set<Digest> requests;
    bool responded_before = false;
  };

  void AddVictim(const CrashVictim& victim, Time now);
  /// \return False if there are too many quarantined segments.
  bool AddQuarantine(const QuarantinedSegment& quarantine);
  /// Victims that may have caused the crash: those sent before the first one with a quarantined
  /// segment.
  [[nodiscard]] std::span<const CrashVictim> UnexplainedVictims(const Crash& crash) const;
  /// Evidence against each segment from crashes up to `until`.
  [[nodiscard]] std::vector<Tally> TallyCrashes(Time until) const;
  /// Segments whose evidence is sufficient and not weaker than that of any other segment.
  [[nodiscard]] std::vector<SegmentId> Causes(Time until) const;
  /// \param is_unique  False if the evidence against another segment is the same.
  [[nodiscard]] bool IsSufficient(const Tally& tally, bool is_unique) const;
  /// Tells peers of earlier responses to segments that are under strong suspicion.
  void AnnounceEarlierResponses(Time now);
  /// True if any request had a response at this gateway between the times.
  [[nodiscard]] bool AnyResponseBetween(Time from, Time to) const;
  /// True if the crash adds to the evidence of earlier ones.
  [[nodiscard]] bool IsFurtherCrash(const Tally& tally, const Crash& crash) const;
  /// True if a crash on a request with these segments can only be due to a single quarantined one.
  [[nodiscard]] bool IsDecisive(std::span<const SegmentId> segments) const;
  /// Time from a crash, or from the last trial, to the next one.
  [[nodiscard]] Duration TrialInterval(int trials) const;
  /// Records a further crash with a quarantined segment.
  void ExtendQuarantine(Entry& entry, Time crashed_at) const;
  /// Records that a request with the segment was lost to a crash.
  void AddSuspicion(SegmentId segment, Time crashed_at, Time now);
  /// Includes a response of this gateway in the next reports.
  void AnnounceResponse(const SegmentTime& response, Time now);
  void RemoveExpired(Time now);

  SegmentQuarantineOptions options_;
  /// In order of time.
  std::vector<Crash> crashes_;
  std::vector<Recorded<CrashVictim>> local_victims_;
  std::vector<Recorded<SegmentTime>> local_responses_;
  /// Times of responses at this gateway, to any request.
  std::deque<Time> response_times_;
  /// The last response to each segment.
  absl::flat_hash_map<SegmentId, Response> responses_;
  Time next_response_cleanup_{};
  /// Last crash that took a request with the segment.
  absl::flat_hash_map<SegmentId, Time> suspects_;
  absl::flat_hash_map<SegmentId, Entry> quarantined_;
};

}  // namespace lagoonwind::policy
