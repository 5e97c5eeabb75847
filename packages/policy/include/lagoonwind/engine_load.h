#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// Estimates the load of inference engines: queued prefill work, running requests and cached prompt
/// segments. Each gateway combines its own attempts with reports from its peers.
namespace lagoonwind::policy {

/// Identifies one incarnation of a backend server; a restart yields a new id.
using ServerId = Handle<struct ServerTag>;

/// A section of a prompt. Requests whose prompts begin with the same segments can reuse the KV
/// cache of those segments.
struct PromptSegment {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

struct Prompt {
  std::int64_t input_tokens = 0;
  std::int64_t max_output_tokens = 0;
  /// The caller's estimate of the response's length; often far off. Absent if it states none.
  std::optional<std::int64_t> expected_output_tokens;
  std::vector<PromptSegment> segments;

  /// Likely length of the response, in tokens.
  [[nodiscard]] std::int64_t output_tokens() const {
    return std::min(expected_output_tokens.value_or(max_output_tokens), max_output_tokens);
  }
};

/// Options of EngineLoad.
struct EngineLoadOptions {
  /// Initial estimate of the prefill rate, in tokens per second; refined from observed responses.
  double prefill_rate = 40000;
  /// Time since its last use after which a segment no longer counts as cached on engines of unknown
  /// KV cache capacity, nor as cached elsewhere. Also the decay time of segment use counts.
  Duration segment_lifetime = std::chrono::seconds(6);
  /// Initial estimate of the time per output token.
  Duration time_per_output_token = std::chrono::milliseconds(9);
  /// Time since a peer's last report after which its running requests are no longer counted.
  Duration peer_timeout = std::chrono::seconds(5);
};

/// Estimated latency and load of one engine for one request.
struct EngineEstimate {
  /// Time until the engine has prefilled the prompts sent to it earlier.
  Duration queueing_delay{0};
  /// Time to prefill the tokens of the prompt that the engine has not cached.
  Duration prefill_time{0};
  std::int64_t uncached_tokens = 0;
  /// Tokens of segments that were recently prefilled on some engine and are not cached on this one.
  std::int64_t cached_elsewhere_tokens = 0;
  /// The same, with the tokens of each segment divided by the number of uses expected on this
  /// engine.
  double cached_elsewhere_tokens_per_use = 0;
  /// Requests queued or running on the engine, and the KV cache space that they need beyond shared
  /// segments, in tokens.
  std::int64_t running = 0;
  std::int64_t running_tokens = 0;
};

/// Load that one gateway has placed on one engine. `prefill_tokens` counts from the gateway's start
/// and the other values are current, so that lost or repeated reports do no harm.
struct EngineReport {
  ServerId server;
  std::uint64_t prefill_tokens = 0;
  std::int64_t running = 0;
  std::int64_t running_tokens = 0;
  /// Tokens of the prefills whose duration was measured, and their total duration. Both count from
  /// the gateway's start.
  std::uint64_t measured_tokens = 0;
  std::chrono::microseconds measured_time{0};
};

/// A prompt segment that a gateway has recently sent to an engine.
struct SegmentReport {
  ServerId server;
  /// Hash of the prompt up to the end of the segment.
  std::uint64_t prefix_hash = 0;
};

/// Models each engine's queued prefill work, running requests and cached prompt segments, from this
/// gateway's own attempts and its peers' reports. Under long prompts and bursts, selection that
/// ignores load gives engines more prefill work than they can finish within the latency objective.
/// Engines prefill prompts in order of arrival, so one queue length per engine describes them. Not
/// thread safe.
class EngineLoad {
 public:
  using RequestNumber = std::uint64_t;

  explicit EngineLoad(const EngineLoadOptions& options);

  /// Estimates latency and load for `prompt` at `server`.
  [[nodiscard]] EngineEstimate Estimate(ServerId server, const Prompt& prompt, Time now) const {
    return EstimateAll(std::span(&server, 1), prompt, now).front();
  }
  /// Estimates them at each of `servers`, in the same order. The uses of a segment are divided
  /// among those of `servers` that cache it.
  [[nodiscard]] std::vector<EngineEstimate> EstimateAll(std::span<const ServerId> servers,
                                                        const Prompt& prompt, Time now) const;

  /// Sets the KV cache capacity of an engine, in tokens.
  void SetKvCacheCapacity(ServerId server, std::int64_t tokens) {
    EngineOf(server).kv_cache_tokens = tokens;
  }

  /// Records that the prompt was sent to `server`.
  /// \return Number of the request for RecordFirstByte and RecordEnd.
  RequestNumber RecordSent(ServerId server, const Prompt& prompt, Time now);
  /// Records the first byte of the response, which shows that the engine has prefilled this prompt
  /// and all earlier ones. Unknown requests are ignored.
  /// \param local_delay  Time by which this process is late in handling events. A late process
  ///     gives no sample of the engine's prefill rate.
  void RecordFirstByte(ServerId server, RequestNumber request, Time now,
                       Duration local_delay = Duration{0});
  /// Records that the response is complete, which shows the time per output token. Unknown requests
  /// are ignored.
  void RecordComplete(ServerId server, RequestNumber request, Time now);
  /// Records the end of the request. If no byte of its response has arrived, its prefill work
  /// leaves the queue, as the engine drops the prompt. Unknown requests are ignored.
  void RecordEnd(ServerId server, RequestNumber request, Time now);

  /// Reports of this gateway's own attempts, one per engine that it has used.
  [[nodiscard]] std::vector<EngineReport> LocalReports() const;
  /// Segments that this gateway sent since `since`, at most five seconds ago.
  [[nodiscard]] std::vector<SegmentReport> SegmentsSince(Time since) const;
  /// Applies the report of a peer.
  /// \param peer  Incarnation of the reporting gateway.
  void MergePeerReport(Incarnation peer, std::span<const EngineReport> engines,
                       std::span<const SegmentReport> segments, Time now);

  /// Stops counting the running requests of peers that have not reported within `peer_timeout`.
  void DropSilentPeers(Time now);

  /// Removes an engine that is gone.
  void Remove(ServerId server);
  /// Estimated time per token of Prompt::output_tokens(), from the first byte to the end of a
  /// response; half of the responses take longer.
  [[nodiscard]] Duration time_per_output_token() const { return time_per_output_token_; }
  /// Estimated mean prefill rate of an engine, in tokens per second, learned from response times.
  [[nodiscard]] double prefill_rate() const { return fleet_rate_.Rate(); }
  /// Estimated prefill rate of one engine, in tokens per second; the mean rate if it is unknown.
  [[nodiscard]] double prefill_rate(ServerId server) const { return RateOf(FindEngine(server)); }

 private:
  /// Ratio of tokens to time over recent prefills, with exponential decay of both sums.
  class RateEstimate {
   public:
    /// \param rate    Initial estimate, in tokens per second.
    /// \param weight  Time of prefills that the initial estimate counts as.
    RateEstimate(double rate, Duration weight)
        : tokens_(rate * Seconds(weight)), seconds_(Seconds(weight)) {}
    /// \param memory  Time of prefills after which a sample has lost most of its weight.
    void Add(double tokens, double seconds, Duration memory);
    [[nodiscard]] double Rate() const { return tokens_ / seconds_; }

   private:
    static double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }
    double tokens_;
    double seconds_;
  };
  struct RunningRequest {
    RequestNumber number = 0;
    Time sent_at;
    /// `Engine::total_prefill_tokens` after this request was added.
    std::uint64_t end_position = 0;
    std::int64_t uncached_tokens = 0;
    /// Prefill tokens queued ahead of it when it was sent.
    std::int64_t queued_tokens = 0;
    std::int64_t kv_tokens = 0;
    /// Zero if it is unknown.
    std::int64_t output_tokens = 0;
    bool first_byte_received = false;
    Time first_byte_at{};
  };
  struct PeerState {
    EngineReport last_report;
    Time last_received;
  };
  /// Position in `engines_by_index_`. Never reused, so that it identifies an engine that is gone.
  using EngineIndex = std::uint32_t;
  struct Engine {
    EngineIndex index = 0;
    /// Expected time at which the engine finishes all queued prefill work.
    Time prefill_done_at{};
    /// Prefill tokens sent by all gateways so far.
    std::uint64_t total_prefill_tokens = 0;
    std::uint64_t local_prefill_tokens = 0;
    std::int64_t local_kv_tokens = 0;
    std::uint64_t local_measured_tokens = 0;
    std::chrono::microseconds local_measured_time{0};
    /// Absent before the first measurement.
    std::optional<RateEstimate> rate;
    std::vector<RunningRequest> running;
    /// KV cache capacity for prompts and responses, in tokens; 0 if unknown.
    std::int64_t kv_cache_tokens = 0;
    absl::flat_hash_map<Incarnation, PeerState> peers;
    /// Sums over the last reports of all peers.
    std::int64_t peers_running = 0;
    std::int64_t peers_kv_tokens = 0;
  };
  struct SentSegment {
    Time sent_at;
    SegmentReport report;
  };
  /// Last use of a segment on one engine.
  struct SegmentUse {
    EngineIndex engine = 0;
    Time used_at;
    /// `Engine::total_prefill_tokens` at that time.
    std::uint64_t end_position = 0;
  };
  /// A segment that was recently prefilled on some engine.
  struct KnownSegment {
    Time last_used{};
    /// Uses on all engines, with exponential decay.
    double uses = 0;
    /// Engines that have prefilled it, one entry each. Some may have evicted it since.
    std::vector<SegmentUse> engines;
  };
  /// A segment of the prompt that an estimate is made for.
  struct SegmentLookup {
    /// Hash of the prompt up to the end of the segment.
    std::uint64_t prefix_hash = 0;
    std::int64_t tokens = 0;
    bool known = false;
    double uses = 0;
    /// Null if no engine has prefilled it.
    const KnownSegment* segment = nullptr;
    /// Number of the estimated engines that cache it.
    int caching_engines = 0;
  };

  [[nodiscard]] double RateOf(const Engine* engine) const {
    return engine != nullptr && engine->rate ? engine->rate->Rate() : fleet_rate_.Rate();
  }
  [[nodiscard]] Duration PrefillTime(const Engine* engine, std::int64_t tokens) const;
  /// \param since  Earliest time at which the engine may have started on the tokens.
  void AddPrefillWork(Engine& engine, std::uint64_t tokens, Time since) const;
  [[nodiscard]] std::vector<SegmentLookup> LookUpSegments(const Prompt& prompt, Time now) const;
  /// Number of leading segments that each engine caches, by engine index.
  [[nodiscard]] std::vector<std::uint16_t> CountCachedSegments(
      std::span<const SegmentLookup> segments, Time now) const;
  [[nodiscard]] EngineEstimate EstimateEngine(const Engine* engine, const Prompt& prompt,
                                              std::span<const SegmentLookup> segments,
                                              std::size_t cached_count, Time now) const;
  [[nodiscard]] double DecayedUses(const KnownSegment& segment, Time now) const;
  [[nodiscard]] const Engine* FindEngine(ServerId server) const;
  [[nodiscard]] Engine* FindEngine(ServerId server);
  /// Returns the engine, which is added if it is unknown.
  Engine& EngineOf(ServerId server);
  [[nodiscard]] static std::int64_t RunningTokens(const Engine& engine) {
    return engine.local_kv_tokens + engine.peers_kv_tokens;
  }
  /// Adds a measured prefill to the estimates of the engine and of the fleet.
  void AddRateSample(Engine& engine, double tokens, double seconds);
  static void ApplyReport(Engine& engine, PeerState& state, const EngineReport& report, Time now);
  /// True if the engine still caches a segment that it used.
  [[nodiscard]] bool IsCached(const Engine& engine, const SegmentUse& use, Time now) const;
  void MeasurePrefill(Engine& engine, const RunningRequest& request, Time now);
  void RecordSegmentUse(const Engine& engine, std::uint64_t prefix_hash, Time now);
  /// Removes segments that no engine caches any more.
  void SweepSegments(Time now);

  EngineLoadOptions options_;
  RateEstimate fleet_rate_;
  Duration time_per_output_token_ = options_.time_per_output_token;
  RequestNumber last_request_number_ = 0;
  absl::flat_hash_map<ServerId, std::unique_ptr<Engine>> engines_;
  /// Null for engines that are gone.
  std::vector<const Engine*> engines_by_index_;
  /// Time of each peer's last report.
  absl::flat_hash_map<Incarnation, Time> last_report_times_;
  /// By the hash of the prompt up to the end of the segment.
  absl::flat_hash_map<std::uint64_t, KnownSegment> known_segments_;
  std::size_t sweep_size_;
  std::deque<SentSegment> sent_segments_;
};

}  // namespace lagoonwind::policy
