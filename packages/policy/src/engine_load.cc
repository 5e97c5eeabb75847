#include "lagoonwind/engine_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonwind::policy {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Time that an idle engine takes to the first event beside reading; an engine's first step and the
/// way there and back.
constexpr Duration kFirstEventOverhead = milliseconds(60);
/// Tokens to read below which the overhead outweighs the reading, so that no rate is learnt.
constexpr std::int64_t kMinRateSampleTokens = 6000;
/// Weight of one sample of the reading rate.
constexpr double kRateSampleWeight = 0.03;
/// Rates beyond this factor of the present estimate are cut, as they come from other causes.
constexpr double kMaxRateStep = 1.6;
/// Time for which a sent part is remembered to be reported.
constexpr Duration kPartReportTime = std::chrono::seconds(1);
/// Kept parts of one engine from which on outdated ones are looked for.
constexpr std::size_t kPartSweepSize = 4096;
/// Time between two reports of a peer up to which what it sent meanwhile counts as unread; reports
/// are 80 to 130 ms apart in fleets of up to 22 gateways. Over longer gaps, as after lost reports,
/// engines have read meanwhile.
constexpr Duration kUsualReportGap = milliseconds(200);
/// Time after which a silent peer counts as a new one.
constexpr Duration kForgetPeer = std::chrono::minutes(1);
/// A queue that is overdue is taken to need at least this part of the time it is late by.
constexpr double kOverdueShare = 0.5;

/// Part of an engine's memory that parts of prompts are expected to fill; the rest goes to answers
/// and to what isn't known of its load.
constexpr double kPartMemoryShare = 0.85;

template <class Parts, class Predicate>
void EraseIf(Parts& parts, Predicate predicate) {
  for (auto it = parts.begin(); it != parts.end();) {
    if (predicate(it->second)) {
      parts.erase(it++);
    } else {
      ++it;
    }
  }
}

}  // namespace

Duration EngineLoad::ReadingTime(std::int64_t tokens) const {
  return duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(tokens) / reading_rate_));
}

void EngineLoad::AddUnread(Engine& engine, std::uint64_t tokens, Time since) const {
  engine.sent_tokens += tokens;
  engine.read_until =
      std::max(engine.read_until, since) + ReadingTime(static_cast<std::int64_t>(tokens));
}

bool EngineLoad::Kept(const Engine& engine, std::uint64_t part, Time now) const {
  const auto found = engine.parts.find(part);
  if (found == engine.parts.end()) {
    return false;
  }
  if (engine.memory_tokens == 0) {
    return now - found->second.at < init_.part_lifetime;
  }
  // The least recently used parts yield to what was read since.
  const auto read_since = static_cast<double>(engine.sent_tokens - found->second.position);
  const double room = static_cast<double>(engine.memory_tokens) * kPartMemoryShare -
                      static_cast<double>(RunningTokens(engine));
  return read_since < room;
}

double EngineLoad::DecayedUses(const KnownPart& part, Time now) const {
  using Seconds = std::chrono::duration<double>;
  return part.uses * std::exp(-Seconds(now - part.at) / Seconds(init_.part_lifetime));
}

std::vector<EngineLoad::PartOutlook> EngineLoad::OutlookOf(const Prompt& prompt, Time now) const {
  std::vector<PartOutlook> parts;
  parts.reserve(prompt.parts.size());
  std::uint64_t prefix = 0;
  for (const PromptPart& part : prompt.parts) {
    prefix = CombineHashes(prefix, part.id);
    PartOutlook outlook{.prefix = prefix, .tokens = part.tokens};
    const auto found = known_parts_.find(prefix);
    if (found != known_parts_.end()) {
      outlook.known = now - found->second.at < init_.part_lifetime;
      outlook.uses = DecayedUses(found->second, now);
    }
    parts.push_back(outlook);
  }
  return parts;
}

std::size_t EngineLoad::KeptParts(const Engine* engine, std::span<const PartOutlook> parts,
                                  Time now) const {
  if (engine == nullptr) {
    return 0;
  }
  const auto end = std::ranges::find_if_not(
      parts, [&](const PartOutlook& part) { return Kept(*engine, part.prefix, now); });
  return static_cast<std::size_t>(end - parts.begin());
}

const EngineLoad::Engine* EngineLoad::Find(ServerId server) const {
  const auto found = engines_.find(server);
  return found == engines_.end() ? nullptr : &found->second;
}

EngineEstimate EngineLoad::EstimateOf(const Engine* engine, const Prompt& prompt,
                                      std::span<const PartOutlook> parts, std::size_t kept,
                                      Time now) const {
  std::int64_t kept_tokens = 0;
  for (const PartOutlook& part : parts.first(kept)) {
    kept_tokens += part.tokens;
  }
  const auto add = [](std::int64_t sum, const PartOutlook& part) { return sum + part.tokens; };
  const std::int64_t listed = std::accumulate(parts.begin(), parts.end(), std::int64_t{0}, add);
  EngineEstimate estimate{.unread_tokens = std::max(prompt.input_tokens, listed) - kept_tokens};
  estimate.read = ReadingTime(estimate.unread_tokens);
  for (const PartOutlook& part : parts.subspan(kept)) {
    if (part.known) {
      estimate.repeated_tokens += part.tokens;
      estimate.repeated_tokens_a_use +=
          static_cast<double>(part.tokens) / std::max(part.uses / (part.holders + 1), 1.0);
    }
  }
  if (engine == nullptr) {
    return estimate;
  }
  estimate.wait = std::max(engine->read_until - now, Duration{0});
  const auto waiting = std::ranges::find(engine->running, false, &Running::began);
  if (waiting != engine->running.end()) {
    const Duration expected = ReadingTime(waiting->ahead + waiting->unread) + kFirstEventOverhead;
    const Duration late = now - waiting->sent - expected;
    estimate.wait = std::max(estimate.wait,
                             duration_cast<Duration>(std::max(late, Duration{0}) * kOverdueShare));
  }
  estimate.running = static_cast<std::int64_t>(engine->running.size()) + engine->peers_running;
  estimate.running_tokens = RunningTokens(*engine);
  return estimate;
}

std::vector<EngineEstimate> EngineLoad::ExpectAll(std::span<const ServerId> servers,
                                                  const Prompt& prompt, Time now) const {
  std::vector<PartOutlook> parts = OutlookOf(prompt, now);
  std::vector<std::size_t> kept;
  kept.reserve(servers.size());
  for (const ServerId server : servers) {
    kept.push_back(KeptParts(Find(server), parts, now));
    std::ranges::for_each(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(kept.back()),
                          [](PartOutlook& part) { ++part.holders; });
  }
  std::vector<EngineEstimate> estimates;
  estimates.reserve(servers.size());
  for (std::size_t i = 0; i < servers.size(); ++i) {
    estimates.push_back(EstimateOf(Find(servers[i]), prompt, parts, kept[i], now));
  }
  return estimates;
}

void EngineLoad::UsePart(Engine& engine, std::uint64_t part, Time now) {
  engine.parts[part] = {.at = now, .position = engine.sent_tokens};
  KnownPart& known = known_parts_[part];
  known.uses = DecayedUses(known, now) + 1;
  known.at = now;
  const auto outdated = [&](Time used) { return now - used >= init_.part_lifetime; };
  if (engine.parts.size() > kPartSweepSize) {
    EraseIf(engine.parts, [&](const PartUse& use) { return outdated(use.at); });
  }
  if (known_parts_.size() > 4 * kPartSweepSize) {
    EraseIf(known_parts_, [&](const KnownPart& use) { return outdated(use.at); });
  }
}

EngineLoad::Sequence EngineLoad::Sent(ServerId server, const Prompt& prompt, Time now) {
  Engine& engine = engines_[server];
  const std::int64_t unread = Expect(server, prompt, now).unread_tokens;
  const Duration wait = std::max(engine.read_until - now, Duration{0});
  Running request{.sequence = ++last_sequence_,
                  .sent = now,
                  .unread = unread,
                  .ahead = static_cast<std::int64_t>(std::chrono::duration<double>(wait).count() *
                                                     reading_rate_)};
  AddUnread(engine, static_cast<std::uint64_t>(unread), now);
  request.position = engine.sent_tokens;
  request.memory = unread + prompt.max_output_tokens;
  engine.own_tokens += static_cast<std::uint64_t>(unread);
  engine.own_memory += request.memory;
  engine.running.push_back(request);
  std::uint64_t prefix = 0;
  for (const PromptPart& part : prompt.parts) {
    prefix = CombineHashes(prefix, part.id);
    UsePart(engine, prefix, now);
    sent_parts_.push_back({.at = now, .part = {.server = server, .part = prefix}});
  }
  while (!sent_parts_.empty() && now - sent_parts_.front().at > kPartReportTime) {
    sent_parts_.pop_front();
  }
  return request.sequence;
}

void EngineLoad::LearnRate(const Running& request, Time now) {
  const std::int64_t tokens = request.ahead + request.unread;
  const Duration reading = now - request.sent - kFirstEventOverhead;
  if (tokens < kMinRateSampleTokens || reading <= Duration{0}) {
    return;
  }
  const double seen = static_cast<double>(tokens) / std::chrono::duration<double>(reading).count();
  const double sample =
      std::clamp(seen, reading_rate_ / kMaxRateStep, reading_rate_ * kMaxRateStep);
  reading_rate_ += kRateSampleWeight * (sample - reading_rate_);
}

void EngineLoad::Began(ServerId server, Sequence request, Time now) {
  const auto found = engines_.find(server);
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  const auto at = std::ranges::find(engine.running, request, &Running::sequence);
  if (at == engine.running.end() || at->began) {
    return;
  }
  at->began = true;
  LearnRate(*at, now);
  const auto later = static_cast<std::int64_t>(engine.sent_tokens - at->position);
  engine.read_until = now + ReadingTime(later);
}

void EngineLoad::Ended(ServerId server, Sequence request, Time now) {
  const auto found = engines_.find(server);
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  const auto at = std::ranges::find(engine.running, request, &Running::sequence);
  if (at == engine.running.end()) {
    return;
  }
  if (!at->began) {
    engine.read_until = std::max(now, engine.read_until - ReadingTime(at->unread));
  }
  engine.own_memory -= at->memory;
  engine.running.erase(at);
}

std::vector<EngineReport> EngineLoad::Reports() const {
  std::vector<EngineReport> reports;
  reports.reserve(engines_.size());
  for (const auto& [server, engine] : engines_) {
    if (engine.own_tokens > 0 || !engine.running.empty()) {
      reports.push_back({.server = server,
                         .read_tokens = engine.own_tokens,
                         .running = static_cast<std::int64_t>(engine.running.size()),
                         .running_tokens = engine.own_memory});
    }
  }
  return reports;
}

std::vector<PartReport> EngineLoad::PartsSince(Time since) const {
  std::vector<PartReport> parts;
  for (const SentPart& sent : sent_parts_) {
    if (sent.at >= since) {
      parts.push_back(sent.part);
    }
  }
  return parts;
}

void EngineLoad::TakeReport(Engine& engine, PeerState& state, const EngineReport& report,
                            Time now) {
  engine.peers_running += report.running - state.last.running;
  engine.peers_memory += report.running_tokens - state.last.running_tokens;
  state.last = report;
  state.heard = now;
}

void EngineLoad::DropSilentPeers(Time now) {
  EraseIf(last_reports_, [&](Time heard) { return now - heard > kForgetPeer; });
  for (auto& [server, engine] : engines_) {
    for (auto& [peer, state] : engine.peers) {
      if (now - state.heard > init_.peer_timeout && state.last.running != 0) {
        EngineReport idle = state.last;
        idle.running = 0;
        idle.running_tokens = 0;
        TakeReport(engine, state, idle, state.heard);
      }
    }
  }
}

void EngineLoad::PeerReported(Incarnation peer, std::span<const EngineReport> engines,
                              std::span<const PartReport> parts, Time now) {
  const auto [last, added_peer] = last_reports_.try_emplace(peer, now);
  const Time sent_since = std::min(now, last->second + kUsualReportGap);
  last->second = now;
  for (const EngineReport& report : engines) {
    Engine& engine = engines_[report.server];
    const auto [slot, added] = engine.peers.try_emplace(peer);
    PeerState& state = slot->second;
    // The first report of a peer counts what engines have long read.
    if (!added && report.read_tokens > state.last.read_tokens) {
      AddUnread(engine, report.read_tokens - state.last.read_tokens, sent_since);
    }
    TakeReport(engine, state, report, now);
  }
  for (const PartReport& part : parts) {
    UsePart(engines_[part.server], part.part, now);
  }
}

}  // namespace lagoonwind::policy
