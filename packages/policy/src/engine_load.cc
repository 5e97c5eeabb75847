#include "lagoonwind/engine_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonwind::policy {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Time to the first event at an idle engine apart from prefill: the first decoding step and the
/// network round trip.
constexpr Duration kFirstEventOverhead = milliseconds(60);
/// Prefill sizes below this give no sample of the rate, as the overhead outweighs the prefill.
constexpr std::int64_t kMinRateSampleTokens = 6000;
/// Time of prefills over which an engine's rate is averaged: several slow spells of a second. That
/// of the fleet is longer, as all engines add to it.
constexpr Duration kEngineRateMemory = std::chrono::seconds(3);
constexpr Duration kFleetRateMemory = std::chrono::seconds(30);
/// Time of prefills that the initial estimates count as.
constexpr Duration kInitialRateWeight = milliseconds(500);
/// Response lengths below this give no sample of the time per output token, as single events
/// outweigh it.
constexpr std::int64_t kMinOutputSampleTokens = 32;
/// Relative change of the estimated time per output token with each sample.
constexpr double kOutputTimeStep = 0.02;
constexpr Duration kMinTimePerOutputToken = std::chrono::microseconds(10);
/// Lateness of this process above which it gives no samples of the prefill rate.
constexpr Duration kMaxLocalDelay = milliseconds(5);
/// Samples are clamped to this factor of the current estimate, as larger deviations have other
/// causes.
constexpr double kMaxRateSampleRatio = 1.6;
/// Time for which a sent segment stays available to reports.
constexpr Duration kSegmentReportPeriod = std::chrono::seconds(5);
/// Number of segments above which those that no engine caches any more are removed.
constexpr std::size_t kSegmentSweepSize = 16384;
/// Longest time between two reports of a peer for which all tokens sent in between count as queued.
/// Reports are 80 to 130 ms apart in fleets of up to 22 gateways; during longer gaps, as after lost
/// reports, engines have prefilled part of the tokens.
constexpr Duration kMaxReportInterval = milliseconds(200);
/// Silence after which a peer that reports again counts as new.
constexpr Duration kPeerStateLifetime = std::chrono::minutes(1);
/// An overdue queue is expected to take at least this fraction of the time by which it is late.
constexpr double kOverdueFraction = 0.5;

/// Fraction of an engine's KV cache that is expected to hold prompts; the rest holds responses and
/// load that this gateway does not know of.
constexpr double kSegmentCacheFraction = 0.85;

template <class Map, class Predicate>
void EraseIf(Map& map, Predicate predicate) {
  for (auto it = map.begin(); it != map.end();) {
    if (predicate(it->second)) {
      map.erase(it++);
    } else {
      ++it;
    }
  }
}

}  // namespace

EngineLoad::EngineLoad(const EngineLoadOptions& options)
    : options_(options),
      fleet_rate_(options.prefill_rate, kInitialRateWeight),
      sweep_size_(kSegmentSweepSize) {}

void EngineLoad::RateEstimate::Add(double tokens, double seconds, Duration memory) {
  const double kept = std::exp(-seconds / Seconds(memory));
  tokens_ = tokens_ * kept + tokens;
  seconds_ = seconds_ * kept + seconds;
}

Duration EngineLoad::PrefillTime(const Engine* engine, std::int64_t tokens) const {
  return duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(tokens) / RateOf(engine)));
}

void EngineLoad::AddPrefillWork(Engine& engine, std::uint64_t tokens, Time since) const {
  engine.total_prefill_tokens += tokens;
  engine.prefill_done_at = std::max(engine.prefill_done_at, since) +
                           PrefillTime(&engine, static_cast<std::int64_t>(tokens));
}

bool EngineLoad::IsCached(const Engine& engine, const SegmentUse& use, Time now) const {
  if (engine.kv_cache_tokens == 0) {
    return now - use.used_at < options_.segment_lifetime;
  }
  // Engines evict the least recently used segments first, to make space for tokens prefilled since.
  const auto prefilled_since = static_cast<double>(engine.total_prefill_tokens - use.end_position);
  const double available_tokens =
      static_cast<double>(engine.kv_cache_tokens) * kSegmentCacheFraction -
      static_cast<double>(RunningTokens(engine));
  return prefilled_since < available_tokens;
}

double EngineLoad::DecayedUses(const KnownSegment& segment, Time now) const {
  using Seconds = std::chrono::duration<double>;
  return segment.uses *
         std::exp(-Seconds(now - segment.last_used) / Seconds(options_.segment_lifetime));
}

std::vector<EngineLoad::SegmentLookup> EngineLoad::LookUpSegments(const Prompt& prompt,
                                                                  Time now) const {
  std::vector<SegmentLookup> segments;
  segments.reserve(prompt.segments.size());
  std::uint64_t prefix_hash = 0;
  for (const PromptSegment& segment : prompt.segments) {
    prefix_hash = CombineHashes(prefix_hash, segment.id);
    SegmentLookup lookup{.prefix_hash = prefix_hash, .tokens = segment.tokens};
    const auto found = known_segments_.find(prefix_hash);
    if (found != known_segments_.end()) {
      lookup.known = now - found->second.last_used < options_.segment_lifetime;
      lookup.uses = DecayedUses(found->second, now);
      lookup.segment = &found->second;
    }
    segments.push_back(lookup);
  }
  return segments;
}

std::vector<std::uint16_t> EngineLoad::CountCachedSegments(std::span<const SegmentLookup> segments,
                                                           Time now) const {
  std::vector<std::uint16_t> counts(engines_by_index_.size());
  for (std::size_t i = 0; i < segments.size() && segments[i].segment != nullptr; ++i) {
    for (const SegmentUse& use : segments[i].segment->engines) {
      const Engine* engine = engines_by_index_[use.engine];
      if (counts[use.engine] == i && engine != nullptr && IsCached(*engine, use, now)) {
        counts[use.engine] = static_cast<std::uint16_t>(i + 1);
      }
    }
  }
  return counts;
}

const EngineLoad::Engine* EngineLoad::FindEngine(ServerId server) const {
  const auto found = engines_.find(server);
  return found == engines_.end() ? nullptr : found->second.get();
}

EngineLoad::Engine* EngineLoad::FindEngine(ServerId server) {
  const auto found = engines_.find(server);
  return found == engines_.end() ? nullptr : found->second.get();
}

EngineLoad::Engine& EngineLoad::EngineOf(ServerId server) {
  auto& engine = engines_[server];
  if (engine == nullptr) {
    engine = std::make_unique<Engine>();
    engine->index = static_cast<EngineIndex>(engines_by_index_.size());
    engines_by_index_.push_back(engine.get());
  }
  return *engine;
}

void EngineLoad::Remove(ServerId server) {
  const auto found = engines_.find(server);
  if (found != engines_.end()) {
    engines_by_index_[found->second->index] = nullptr;
    engines_.erase(found);
  }
}

EngineEstimate EngineLoad::EstimateEngine(const Engine* engine, const Prompt& prompt,
                                          std::span<const SegmentLookup> segments,
                                          std::size_t cached_count, Time now) const {
  std::int64_t cached_tokens = 0;
  for (const SegmentLookup& segment : segments.first(cached_count)) {
    cached_tokens += segment.tokens;
  }
  const auto add = [](std::int64_t sum, const SegmentLookup& segment) {
    return sum + segment.tokens;
  };
  const std::int64_t segment_tokens =
      std::accumulate(segments.begin(), segments.end(), std::int64_t{0}, add);
  EngineEstimate estimate{.uncached_tokens =
                              std::max(prompt.input_tokens, segment_tokens) - cached_tokens};
  estimate.prefill_time = PrefillTime(engine, estimate.uncached_tokens);
  for (const SegmentLookup& segment : segments.subspan(cached_count)) {
    if (segment.known) {
      estimate.cached_elsewhere_tokens += segment.tokens;
      estimate.cached_elsewhere_tokens_per_use +=
          static_cast<double>(segment.tokens) /
          std::max(segment.uses / (segment.caching_engines + 1), 1.0);
    }
  }
  if (engine == nullptr) {
    return estimate;
  }
  estimate.queueing_delay = std::max(engine->prefill_done_at - now, Duration{0});
  const auto waiting =
      std::ranges::find(engine->running, false, &RunningRequest::first_byte_received);
  if (waiting != engine->running.end()) {
    const Duration expected =
        PrefillTime(engine, waiting->queued_tokens + waiting->uncached_tokens) +
        kFirstEventOverhead;
    const Duration overdue = now - waiting->sent_at - expected;
    estimate.queueing_delay =
        std::max(estimate.queueing_delay,
                 duration_cast<Duration>(std::max(overdue, Duration{0}) * kOverdueFraction));
  }
  estimate.running = static_cast<std::int64_t>(engine->running.size()) + engine->peers_running;
  estimate.running_tokens = RunningTokens(*engine);
  return estimate;
}

std::vector<EngineEstimate> EngineLoad::EstimateAll(std::span<const ServerId> servers,
                                                    const Prompt& prompt, Time now) const {
  std::vector<SegmentLookup> segments = LookUpSegments(prompt, now);
  const std::vector<std::uint16_t> counts_by_index = CountCachedSegments(segments, now);
  std::vector<const Engine*> engines(servers.size());
  std::ranges::transform(servers, engines.begin(),
                         [this](ServerId server) { return FindEngine(server); });
  const auto cached_count = [&](const Engine* engine) {
    return engine == nullptr ? std::size_t{0} : std::size_t{counts_by_index[engine->index]};
  };
  for (const Engine* engine : engines) {
    std::ranges::for_each(std::span(segments).first(cached_count(engine)),
                          [](SegmentLookup& segment) { ++segment.caching_engines; });
  }
  std::vector<EngineEstimate> estimates(servers.size());
  std::ranges::transform(engines, estimates.begin(), [&](const Engine* engine) {
    return EstimateEngine(engine, prompt, segments, cached_count(engine), now);
  });
  return estimates;
}

void EngineLoad::RecordSegmentUse(const Engine& engine, std::uint64_t prefix_hash, Time now) {
  KnownSegment& known = known_segments_[prefix_hash];
  known.uses = DecayedUses(known, now) + 1;
  known.last_used = now;
  const SegmentUse use{
      .engine = engine.index, .used_at = now, .end_position = engine.total_prefill_tokens};
  const auto found = std::ranges::find(known.engines, engine.index, &SegmentUse::engine);
  if (found == known.engines.end()) {
    known.engines.push_back(use);
  } else {
    *found = use;
  }
  if (known_segments_.size() > sweep_size_) {
    SweepSegments(now);
  }
}

void EngineLoad::SweepSegments(Time now) {
  EraseIf(known_segments_, [&](KnownSegment& segment) {
    std::erase_if(segment.engines, [&](const SegmentUse& use) {
      const Engine* engine = engines_by_index_[use.engine];
      return engine == nullptr || !IsCached(*engine, use, now);
    });
    return segment.engines.empty() && now - segment.last_used >= options_.segment_lifetime;
  });
  // Cached segments remain, so that the next sweep must not follow at once.
  sweep_size_ = std::max(kSegmentSweepSize, 2 * known_segments_.size());
}

EngineLoad::RequestNumber EngineLoad::RecordSent(ServerId server, const Prompt& prompt, Time now) {
  Engine& engine = EngineOf(server);
  const std::int64_t uncached_tokens = Estimate(server, prompt, now).uncached_tokens;
  const Duration queueing_delay = std::max(engine.prefill_done_at - now, Duration{0});
  RunningRequest request{
      .number = ++last_request_number_,
      .sent_at = now,
      .uncached_tokens = uncached_tokens,
      .queued_tokens = static_cast<std::int64_t>(
          std::chrono::duration<double>(queueing_delay).count() * RateOf(&engine))};
  AddPrefillWork(engine, static_cast<std::uint64_t>(uncached_tokens), now);
  request.end_position = engine.total_prefill_tokens;
  request.kv_tokens = uncached_tokens + prompt.max_output_tokens;
  request.output_tokens = prompt.output_tokens();
  engine.local_prefill_tokens += static_cast<std::uint64_t>(uncached_tokens);
  engine.local_kv_tokens += request.kv_tokens;
  engine.running.push_back(request);
  std::uint64_t prefix_hash = 0;
  for (const PromptSegment& segment : prompt.segments) {
    prefix_hash = CombineHashes(prefix_hash, segment.id);
    RecordSegmentUse(engine, prefix_hash, now);
    sent_segments_.push_back(
        {.sent_at = now, .report = {.server = server, .prefix_hash = prefix_hash}});
  }
  while (!sent_segments_.empty() && now - sent_segments_.front().sent_at > kSegmentReportPeriod) {
    sent_segments_.pop_front();
  }
  return request.number;
}

void EngineLoad::AddRateSample(Engine& engine, double tokens, double seconds) {
  if (!engine.rate) {
    engine.rate.emplace(fleet_rate_.Rate(), kInitialRateWeight);
  }
  engine.rate->Add(tokens, seconds, kEngineRateMemory);
  fleet_rate_.Add(tokens, seconds, kFleetRateMemory);
}

void EngineLoad::MeasurePrefill(Engine& engine, const RunningRequest& request, Time now) {
  const std::int64_t tokens = request.queued_tokens + request.uncached_tokens;
  const Duration prefill_time = now - request.sent_at - kFirstEventOverhead;
  if (tokens < kMinRateSampleTokens || prefill_time <= Duration{0}) {
    return;
  }
  const double rate = RateOf(&engine);
  const double time = std::chrono::duration<double>(prefill_time).count();
  const double sample = std::clamp(static_cast<double>(tokens) / time, rate / kMaxRateSampleRatio,
                                   rate * kMaxRateSampleRatio);
  const double seconds = static_cast<double>(tokens) / sample;
  AddRateSample(engine, static_cast<double>(tokens), seconds);
  engine.local_measured_tokens += static_cast<std::uint64_t>(tokens);
  engine.local_measured_time +=
      duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(seconds));
}

void EngineLoad::RecordFirstByte(ServerId server, RequestNumber request, Time now,
                                 Duration local_delay) {
  Engine* found = FindEngine(server);
  if (found == nullptr) {
    return;
  }
  Engine& engine = *found;
  const auto found_request = std::ranges::find(engine.running, request, &RunningRequest::number);
  if (found_request == engine.running.end() || found_request->first_byte_received) {
    return;
  }
  found_request->first_byte_received = true;
  found_request->first_byte_at = now;
  if (local_delay <= kMaxLocalDelay) {
    MeasurePrefill(engine, *found_request, now);
  }
  const auto remaining_tokens =
      static_cast<std::int64_t>(engine.total_prefill_tokens - found_request->end_position);
  engine.prefill_done_at = now + PrefillTime(&engine, remaining_tokens);
}

void EngineLoad::RecordComplete(ServerId server, RequestNumber request, Time now) {
  const Engine* engine = FindEngine(server);
  if (engine == nullptr) {
    return;
  }
  const auto found = std::ranges::find(engine->running, request, &RunningRequest::number);
  if (found == engine->running.end() || !found->first_byte_received ||
      found->output_tokens < kMinOutputSampleTokens) {
    return;
  }
  const Duration sample = (now - found->first_byte_at) / found->output_tokens;
  const double step = sample > time_per_output_token_ ? kOutputTimeStep : -kOutputTimeStep;
  time_per_output_token_ = duration_cast<Duration>(time_per_output_token_ * (1 + step));
  time_per_output_token_ = std::max(time_per_output_token_, kMinTimePerOutputToken);
}

void EngineLoad::RecordEnd(ServerId server, RequestNumber request, Time now) {
  Engine* found = FindEngine(server);
  if (found == nullptr) {
    return;
  }
  Engine& engine = *found;
  const auto found_request = std::ranges::find(engine.running, request, &RunningRequest::number);
  if (found_request == engine.running.end()) {
    return;
  }
  if (!found_request->first_byte_received) {
    engine.prefill_done_at = std::max(
        now, engine.prefill_done_at - PrefillTime(&engine, found_request->uncached_tokens));
  }
  engine.local_kv_tokens -= found_request->kv_tokens;
  engine.running.erase(found_request);
}

std::vector<EngineReport> EngineLoad::LocalReports() const {
  std::vector<EngineReport> reports;
  reports.reserve(engines_.size());
  for (const auto& [server, engine] : engines_) {
    if (engine->local_prefill_tokens > 0 || !engine->running.empty()) {
      reports.push_back({.server = server,
                         .prefill_tokens = engine->local_prefill_tokens,
                         .running = static_cast<std::int64_t>(engine->running.size()),
                         .running_tokens = engine->local_kv_tokens,
                         .measured_tokens = engine->local_measured_tokens,
                         .measured_time = engine->local_measured_time});
    }
  }
  return reports;
}

std::vector<SegmentReport> EngineLoad::SegmentsSince(Time since) const {
  std::vector<SegmentReport> segments;
  for (const SentSegment& sent : sent_segments_) {
    if (sent.sent_at >= since) {
      segments.push_back(sent.report);
    }
  }
  return segments;
}

void EngineLoad::ApplyReport(Engine& engine, PeerState& state, const EngineReport& report,
                             Time now) {
  engine.peers_running += report.running - state.last_report.running;
  engine.peers_kv_tokens += report.running_tokens - state.last_report.running_tokens;
  state.last_report = report;
  state.last_received = now;
}

void EngineLoad::DropSilentPeers(Time now) {
  EraseIf(last_report_times_,
          [&](Time last_received) { return now - last_received > kPeerStateLifetime; });
  for (auto& [server, engine] : engines_) {
    for (auto& [peer, state] : engine->peers) {
      if (now - state.last_received > options_.peer_timeout && state.last_report.running != 0) {
        EngineReport idle = state.last_report;
        idle.running = 0;
        idle.running_tokens = 0;
        ApplyReport(*engine, state, idle, state.last_received);
      }
    }
  }
}

void EngineLoad::MergePeerReport(Incarnation peer, std::span<const EngineReport> engines,
                                 std::span<const SegmentReport> segments, Time now) {
  const auto [last_report_time, added_peer] = last_report_times_.try_emplace(peer, now);
  const Time sent_since = std::min(now, last_report_time->second + kMaxReportInterval);
  last_report_time->second = now;
  for (const EngineReport& report : engines) {
    Engine& engine = EngineOf(report.server);
    const auto [slot, added] = engine.peers.try_emplace(peer);
    PeerState& state = slot->second;
    // The first report of a peer includes tokens from before, which engines have already prefilled.
    const EngineReport& last = state.last_report;
    if (!added && report.prefill_tokens > last.prefill_tokens) {
      const std::uint64_t tokens = report.prefill_tokens - last.prefill_tokens;
      AddPrefillWork(engine, tokens, sent_since);
    }
    if (!added && report.measured_tokens > last.measured_tokens &&
        report.measured_time > last.measured_time) {
      AddRateSample(
          engine, static_cast<double>(report.measured_tokens - last.measured_tokens),
          std::chrono::duration<double>(report.measured_time - last.measured_time).count());
    }
    ApplyReport(engine, state, report, now);
  }
  for (const SegmentReport& segment : segments) {
    RecordSegmentUse(EngineOf(segment.server), segment.prefix_hash, now);
  }
}

}  // namespace lagoonwind::policy
