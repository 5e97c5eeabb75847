#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// What a gateway believes about the load of model engines.
namespace lagoonwind::policy {

/// One run of a backend server; a restart is another one.
using ServerId = Handle<struct ServerTag>;

/// One part of a prompt. Requests that begin with the same parts share what was read of them.
struct PromptSegment {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

struct Prompt {
  std::int64_t input_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::vector<PromptSegment> segments;
};

/// Options of EngineLoad.
struct EngineLoadOptions {
  /// Prompt tokens that an engine reads in a second until it is known better.
  double prefill_rate = 40000;
  /// Time after its last use anywhere from which on a part counts as forgotten by all engines.
  Duration segment_lifetime = std::chrono::seconds(6);
  /// Silence of a peer after which what it reported last no longer counts.
  Duration peer_timeout = std::chrono::seconds(5);
};

/// Load of one engine as a request would meet it.
struct EngineEstimate {
  /// Time until the engine has read what was sent before.
  Duration queueing_delay{0};
  /// Time to read what the engine doesn't keep of the prompt.
  Duration prefill_time{0};
  std::int64_t uncached_tokens = 0;
  /// Tokens of shared parts that another engine keeps and this one doesn't.
  std::int64_t cached_elsewhere_tokens = 0;
  /// The same, each part divided by how often this engine is expected to use it once it is read.
  double cached_elsewhere_tokens_per_use = 0;
  /// Requests that wait or run, and the memory that they need beyond shared parts.
  std::int64_t running = 0;
  std::int64_t running_tokens = 0;
};

/// What one gateway has sent to one engine; all but `running` only grow, so that a lost or repeated
/// report does no harm.
struct EngineReport {
  ServerId server;
  std::uint64_t prefill_tokens = 0;
  std::int64_t running = 0;
  std::int64_t running_tokens = 0;
};

/// A part of a prompt that a gateway has lately sent to an engine.
struct SegmentReport {
  ServerId server;
  std::uint64_t prefix_hash = 0;
};

/// Model of the engines' unread prompts, running requests and kept prompt parts, from this
/// gateway's own sends and from what its peers report. Load pattern: long prompts and bursts, under
/// which engines that are chosen blindly get more to read than they can within the objective.
/// Engines read prompts in order of arrival, so that one queue length per engine describes them.
/// Not thread safe.
class EngineLoad {
 public:
  using RequestNumber = std::uint64_t;

  explicit EngineLoad(const EngineLoadOptions& options) : options_(options) {}

  /// What `prompt` would meet at `server` now.
  [[nodiscard]] EngineEstimate Estimate(ServerId server, const Prompt& prompt, Time now) const {
    return EstimateAll(std::span(&server, 1), prompt, now).front();
  }
  /// What it would meet at each of `servers`, in their order.
  [[nodiscard]] std::vector<EngineEstimate> EstimateAll(std::span<const ServerId> servers,
                                                        const Prompt& prompt, Time now) const;

  /// Tells how much an engine keeps, in tokens.
  void SetKvCacheCapacity(ServerId server, std::int64_t tokens) {
    engines_[server].kv_cache_tokens = tokens;
  }

  /// The prompt was sent to `server`.
  /// \return Names the request in the calls that follow.
  RequestNumber RecordSent(ServerId server, const Prompt& prompt, Time now);
  /// The answer began, so that the engine has read this prompt and all before it.
  void RecordFirstByte(ServerId server, RequestNumber request, Time now);
  /// The request is over. If it hadn't begun, the engine drops its prompt.
  void RecordEnd(ServerId server, RequestNumber request, Time now);

  /// What this gateway has sent to engines.
  [[nodiscard]] std::vector<EngineReport> LocalReports() const;
  /// Parts that this gateway sent since `since`.
  [[nodiscard]] std::vector<SegmentReport> SegmentsSince(Time since) const;
  /// Takes in what a peer reports.
  /// \param peer  A run of a gateway.
  void MergePeerReport(Incarnation peer, std::span<const EngineReport> engines,
                       std::span<const SegmentReport> segments, Time now);

  /// No longer counts running requests of peers that have been silent for too long.
  void DropSilentPeers(Time now);

  /// Forgets an engine that is gone.
  void Remove(ServerId server) { engines_.erase(server); }
  /// Prompt tokens that an engine reads in a second, as learnt from answers.
  [[nodiscard]] double prefill_rate() const { return prefill_rate_; }

 private:
  struct RunningRequest {
    RequestNumber number = 0;
    Time sent_at;
    /// Value of `Engine::sent_tokens` after this request.
    std::uint64_t end_position = 0;
    std::int64_t uncached_tokens = 0;
    std::int64_t queued_tokens = 0;
    std::int64_t kv_tokens = 0;
    bool first_byte_received = false;
  };
  struct PeerState {
    EngineReport last_report;
    Time last_received;
  };
  struct SegmentUse {
    Time used_at;
    /// Value of `Engine::sent_tokens` then.
    std::uint64_t end_position = 0;
  };
  struct Engine {
    /// When the engine will have read all that it was sent.
    Time prefill_done_at{};
    /// Tokens to read that were ever sent by any gateway.
    std::uint64_t total_prefill_tokens = 0;
    std::uint64_t local_prefill_tokens = 0;
    std::int64_t local_kv_tokens = 0;
    std::vector<RunningRequest> running;
    /// Memory for prompts and answers; 0 if unknown.
    std::int64_t kv_cache_tokens = 0;
    absl::flat_hash_map<Incarnation, PeerState> peers;
    /// Sums of what peers reported last.
    std::int64_t peers_running = 0;
    std::int64_t peers_kv_tokens = 0;
    /// Last use of each part, by the hash of the prompt up to its end.
    absl::flat_hash_map<std::uint64_t, SegmentUse> segments;
  };
  struct SentSegment {
    Time sent_at;
    SegmentReport report;
  };
  /// A part that some engine has read lately.
  struct KnownSegment {
    Time last_used{};
    /// Uses anywhere, of which those longer ago count less.
    double uses = 0;
  };
  /// A part of the prompt that is looked at.
  struct SegmentLookup {
    /// Hash of the prompt up to its end.
    std::uint64_t prefix_hash = 0;
    std::int64_t tokens = 0;
    bool known = false;
    double uses = 0;
    /// Engines looked at that keep it.
    int caching_engines = 0;
  };

  [[nodiscard]] Duration PrefillTime(std::int64_t tokens) const;
  /// \param since  When the engine may have begun to read them.
  void AddPrefillWork(Engine& engine, std::uint64_t tokens, Time since) const;
  [[nodiscard]] std::vector<SegmentLookup> LookUpSegments(const Prompt& prompt, Time now) const;
  /// How many of the first parts an engine keeps.
  [[nodiscard]] std::size_t CountCachedSegments(const Engine* engine,
                                                std::span<const SegmentLookup> segments,
                                                Time now) const;
  [[nodiscard]] EngineEstimate EstimateEngine(const Engine* engine, const Prompt& prompt,
                                              std::span<const SegmentLookup> segments,
                                              std::size_t cached_count, Time now) const;
  [[nodiscard]] double DecayedUses(const KnownSegment& segment, Time now) const;
  [[nodiscard]] const Engine* FindEngine(ServerId server) const;
  [[nodiscard]] static std::int64_t RunningTokens(const Engine& engine) {
    return engine.local_kv_tokens + engine.peers_kv_tokens;
  }
  static void ApplyReport(Engine& engine, PeerState& state, const EngineReport& report, Time now);
  [[nodiscard]] bool IsCached(const Engine& engine, std::uint64_t prefix_hash, Time now) const;
  void UpdatePrefillRate(const RunningRequest& request, Time now);
  void RecordSegmentUse(Engine& engine, std::uint64_t prefix_hash, Time now);

  EngineLoadOptions options_;
  double prefill_rate_ = options_.prefill_rate;
  RequestNumber last_request_number_ = 0;
  absl::flat_hash_map<ServerId, Engine> engines_;
  /// When each peer last reported.
  absl::flat_hash_map<Incarnation, Time> last_report_times_;
  absl::flat_hash_map<std::uint64_t, KnownSegment> known_segments_;
  std::deque<SentSegment> sent_segments_;
};

}  // namespace lagoonwind::policy
