#include "lagoonwind/segment_quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lagoonwind::policy {
namespace {

/// Longest time between the observations of one crash at different gateways.
constexpr Duration kSameCrashTime = std::chrono::seconds(10);
/// Advance from which a reported last crash is a further one. Each hop of a report shifts its time.
constexpr Duration kMinAdvance = std::chrono::seconds(2);
/// Largest number of crashes, and of victims of each, that are kept as evidence.
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxVictims = 128;
/// Largest number of quarantined segments. Bounds the effect of malformed reports.
constexpr std::size_t kMaxQuarantined = 256;
/// Number of segments with a known response above which those older than the lifetime are removed,
/// and interval at which this is done.
constexpr std::size_t kMaxResponses = 20000;
constexpr Duration kResponseLifetime = std::chrono::seconds(60);
constexpr Duration kResponseCleanupInterval = std::chrono::seconds(10);
/// Resolution of the times of responses.
constexpr Duration kResponseTimeInterval = std::chrono::milliseconds(10);
/// Largest number of trials that is counted. Bounds the effect of malformed reports.
constexpr int kMaxTrials = 64;
/// Number of crashes from which peers are told of responses before them.
constexpr int kCrashesToAnnounce = 2;
/// Time for which reports repeat a response that clears a segment.
constexpr Duration kAnnouncementTime = std::chrono::milliseconds(500);
/// Time for which items stay available to reports. Longer than two intervals between reports.
constexpr Duration kReportPeriod = std::chrono::seconds(10);

template <class Items>
void RemoveReported(Items& items, Time now) {
  std::erase_if(items, [&](const auto& item) { return now - item.recorded_at > kReportPeriod; });
}

template <class Item, class Items>
std::vector<Item> ItemsSince(const Items& items, Time since) {
  std::vector<Item> found;
  for (const auto& item : items) {
    if (item.recorded_at >= since) {
      found.push_back(item.item);
    }
  }
  return found;
}

}  // namespace

std::vector<SegmentId> SharedSegments(const Prompt& prompt) {
  std::vector<SegmentId> shared;
  if (!prompt.segments.empty()) {
    std::transform(prompt.segments.begin(), std::prev(prompt.segments.end()),
                   std::back_inserter(shared),
                   [](const PromptSegment& segment) { return SegmentId{segment.id}; });
  }
  return shared;
}

void SegmentQuarantine::RecordCrash(const CrashVictim& victim, Time now) {
  RemoveReported(local_victims_, now);
  local_victims_.push_back({.item = victim, .recorded_at = now});
  AddVictim(victim, now);
}

void SegmentQuarantine::AddVictim(const CrashVictim& victim, Time now) {
  RemoveExpired(now);
  auto crash = std::ranges::find_if(crashes_, [&](const Crash& known) {
    return known.server == victim.server &&
           std::max(known.at, victim.crashed_at) - std::min(known.at, victim.crashed_at) <
               kSameCrashTime;
  });
  if (crash == crashes_.end()) {
    if (crashes_.size() >= kMaxCrashes) {
      crashes_.erase(crashes_.begin());
    }
    const auto position = std::ranges::upper_bound(crashes_, victim.crashed_at, {}, &Crash::at);
    crash = crashes_.insert(position, {.server = victim.server, .at = victim.crashed_at});
  }
  const bool known = std::ranges::find(crash->victims, victim.request, &CrashVictim::request) !=
                     crash->victims.end();
  if (known || crash->victims.size() >= kMaxVictims) {
    return;
  }
  crash->victims.insert(
      std::ranges::upper_bound(crash->victims, victim.sent_at, {}, &CrashVictim::sent_at), victim);
  const Time crashed_at = crash->at;
  for (const SegmentId segment : victim.segments) {
    AddSuspicion(segment, crashed_at, now);
    const auto entry = quarantined_.find(segment);
    if (entry != quarantined_.end()) {
      ExtendQuarantine(entry->second, crashed_at);
    }
  }
}

void SegmentQuarantine::AddSuspicion(SegmentId segment, Time crashed_at, Time now) {
  Time& last_crash = suspects_[segment];
  if (crashed_at <= last_crash) {
    return;
  }
  last_crash = crashed_at;
  const auto response = responses_.find(segment);
  if (response != responses_.end() && response->second.local && response->second.at > crashed_at) {
    // The response was recorded before the crash was known, so that peers were not told.
    AnnounceResponse({.segment = segment, .at = response->second.at}, now);
  }
}

Duration SegmentQuarantine::TrialInterval(int trials) const {
  if (trials == 0) {
    return options_.first_trial_delay;
  }
  Duration interval = options_.trial_interval;
  for (int i = 1; i < trials && interval < options_.max_trial_interval; ++i) {
    interval *= options_.trial_interval_growth;
  }
  return std::min(interval, options_.max_trial_interval);
}

void SegmentQuarantine::ExtendQuarantine(Entry& entry, Time crashed_at) const {
  if (crashed_at > entry.last_crash) {
    entry.last_crash = crashed_at;
    entry.next_trial = std::max(entry.next_trial, crashed_at + TrialInterval(entry.trials));
  }
}

bool SegmentQuarantine::RespondedAfter(SegmentId segment, Time time) const {
  const auto response = responses_.find(segment);
  return response != responses_.end() && response->second.at > time;
}

std::span<const CrashVictim> SegmentQuarantine::UnexplainedVictims(const Crash& crash) const {
  const auto explained = std::ranges::find_if(crash.victims, [this](const CrashVictim& victim) {
    return !QuarantinedAmong(victim.segments).empty();
  });
  return {crash.victims.begin(), explained};
}

void SegmentQuarantine::AnnounceResponse(const SegmentTime& response, Time now) {
  RemoveReported(local_responses_, now);
  const bool announced = std::ranges::any_of(local_responses_, [&](const auto& known) {
    return known.item.segment == response.segment && known.item.at >= response.at &&
           now - known.recorded_at < kAnnouncementTime;
  });
  if (!announced) {
    local_responses_.push_back({.item = response, .recorded_at = now});
  }
}

bool SegmentQuarantine::AnyResponseBetween(Time from, Time to) const {
  const auto next = std::ranges::upper_bound(response_times_, from);
  return next != response_times_.end() && *next < to;
}

bool SegmentQuarantine::IsFurtherCrash(const Tally& tally, const Crash& crash) const {
  if (tally.moments == 0) {
    return true;
  }
  // While no engine responds to anything, the silence of a segment proves nothing.
  return crash.at - tally.last_counted >= options_.simultaneous &&
         (!tally.responded_before || AnyResponseBetween(tally.last_counted, crash.at));
}

std::vector<SegmentQuarantine::Tally> SegmentQuarantine::TallyCrashes(Time until) const {
  absl::flat_hash_map<SegmentId, Tally> tallies;
  for (const Crash& crash : crashes_) {
    if (crash.at > until) {
      continue;
    }
    const std::span<const CrashVictim> victims = UnexplainedVictims(crash);
    for (std::size_t i = 0; i < victims.size(); ++i) {
      const CrashVictim& victim = victims[i];
      for (const SegmentId segment : victim.segments) {
        if (RespondedAfter(segment, crash.at)) {
          continue;
        }
        Tally& tally = tallies[segment];
        tally.segment = segment;
        tally.requests.insert(victim.request);
        if (tally.last_crash != &crash) {
          tally.last_crash = &crash;
          ++tally.crashes;
          tally.weight += 1.0 / static_cast<double>(i + 1);
        }
        tally.responded_before = responses_.contains(segment);
        if (IsFurtherCrash(tally, crash)) {
          ++tally.moments;
          tally.last_counted = crash.at;
        }
      }
    }
  }
  std::vector<Tally> result;
  for (auto& [segment, tally] : tallies) {
    result.push_back(std::move(tally));
  }
  return result;
}

bool SegmentQuarantine::IsSufficient(const Tally& tally, bool is_unique) const {
  if (tally.requests.size() < static_cast<std::size_t>(options_.requests)) {
    return false;
  }
  const bool doubtful = tally.responded_before || !is_unique;
  const int all_crashes =
      tally.responded_before ? options_.all_crashes_if_responded : options_.all_crashes;
  // A segment in a large part of the requests takes many engines in little time.
  return tally.moments >= (doubtful ? options_.crashes_if_doubtful : options_.crashes) ||
         (tally.moments > 1 && tally.crashes >= all_crashes);
}

std::vector<SegmentId> SegmentQuarantine::Causes(Time until) const {
  const auto strength = [](const Tally& tally) {
    return std::tuple(!tally.responded_before, tally.weight, tally.requests.size());
  };
  std::vector<Tally> strongest;
  for (Tally& tally : TallyCrashes(until)) {
    if (!IsSufficient(tally, true)) {
      continue;
    }
    if (!strongest.empty() && strength(tally) > strength(strongest.front())) {
      strongest.clear();
    }
    if (strongest.empty() || strength(tally) == strength(strongest.front())) {
      strongest.push_back(std::move(tally));
    }
  }
  if (strongest.size() > 1 && !IsSufficient(strongest.front(), false)) {
    return {};
  }
  std::vector<SegmentId> causes(strongest.size());
  std::ranges::transform(strongest, causes.begin(), &Tally::segment);
  return causes;
}

void SegmentQuarantine::AnnounceEarlierResponses(Time now) {
  for (const Tally& tally : TallyCrashes(now)) {
    const auto response = responses_.find(tally.segment);
    if (tally.crashes >= kCrashesToAnnounce && response != responses_.end() &&
        response->second.local) {
      AnnounceResponse({.segment = tally.segment, .at = response->second.at}, now);
    }
  }
}

std::vector<SegmentId> SegmentQuarantine::Update(Time now) {
  RemoveExpired(now);
  std::vector<SegmentId> found;
  if (crashes_.empty()) {
    return found;
  }
  AnnounceEarlierResponses(now);
  const Time until = now - options_.settling_time;
  for (auto causes = Causes(until); !causes.empty(); causes = Causes(until)) {
    for (const SegmentId segment : causes) {
      if (!AddQuarantine({.segment = segment, .last_crash = suspects_[segment]})) {
        return found;
      }
      found.push_back(segment);
    }
  }
  return found;
}

bool SegmentQuarantine::AddQuarantine(const QuarantinedSegment& quarantine) {
  if (quarantined_.size() >= kMaxQuarantined) {
    return false;
  }
  const int trials = std::clamp(quarantine.trials, 0, kMaxTrials);
  quarantined_.try_emplace(quarantine.segment,
                           Entry{.last_crash = quarantine.last_crash,
                                 .next_trial = quarantine.last_crash + TrialInterval(trials),
                                 .trials = trials});
  return true;
}

void SegmentQuarantine::RecordResponse(std::span<const SegmentId> segments, Time now) {
  if (response_times_.empty() || now - response_times_.back() >= kResponseTimeInterval) {
    response_times_.push_back(now);
  }
  for (const SegmentId segment : segments) {
    Response& response = responses_[segment];
    const auto suspect = suspects_.find(segment);
    const bool clears = suspect != suspects_.end() && response.at <= suspect->second;
    response = {.at = now, .local = true};
    quarantined_.erase(segment);
    if (clears) {
      AnnounceResponse({.segment = segment, .at = now}, now);
    }
  }
}

void SegmentQuarantine::MergePeerResponse(const SegmentTime& response) {
  Response& known = responses_[response.segment];
  if (response.at <= known.at) {
    return;
  }
  known = {.at = response.at, .local = false};
  const auto entry = quarantined_.find(response.segment);
  if (entry != quarantined_.end() && response.at > entry->second.last_crash) {
    quarantined_.erase(entry);
  }
}

bool SegmentQuarantine::MergeQuarantine(const QuarantinedSegment& quarantine, Time now) {
  AddSuspicion(quarantine.segment, quarantine.last_crash, now);
  const auto response = responses_.find(quarantine.segment);
  if (response != responses_.end() && response->second.at > quarantine.last_crash) {
    if (response->second.local) {
      AnnounceResponse({.segment = quarantine.segment, .at = response->second.at}, now);
    }
    return false;
  }
  const auto known = quarantined_.find(quarantine.segment);
  if (known == quarantined_.end()) {
    return AddQuarantine(quarantine);
  }
  Entry& entry = known->second;
  if (quarantine.last_crash - entry.last_crash >= kMinAdvance) {
    ExtendQuarantine(entry, quarantine.last_crash);
  }
  if (quarantine.trials > entry.trials) {
    entry.trials = std::min(quarantine.trials, kMaxTrials);
    entry.next_trial = std::max(entry.next_trial, entry.last_crash + TrialInterval(entry.trials));
  }
  return false;
}

std::vector<SegmentId> SegmentQuarantine::QuarantinedAmong(
    std::span<const SegmentId> segments) const {
  std::vector<SegmentId> found;
  if (!quarantined_.empty()) {
    std::ranges::copy_if(segments, std::back_inserter(found),
                         [this](SegmentId segment) { return IsQuarantined(segment); });
  }
  return found;
}

Duration SegmentQuarantine::TimeUntilTrial(std::span<const SegmentId> segments, Time now) const {
  Time due = now;
  const Duration wait = IsDecisive(segments) ? Duration{0} : options_.decisive_trial_wait;
  for (const SegmentId segment : segments) {
    const auto entry = quarantined_.find(segment);
    if (entry != quarantined_.end()) {
      due = std::max(due, entry->second.next_trial + wait);
    }
  }
  return due - now;
}

bool SegmentQuarantine::IsDecisive(std::span<const SegmentId> segments) const {
  const auto is_harmless = [this](SegmentId segment) {
    return !IsQuarantined(segment) && responses_.contains(segment);
  };
  return std::ranges::count_if(segments, is_harmless) + 1 >= std::ssize(segments);
}

void SegmentQuarantine::BeginTrial(std::span<const SegmentId> segments, Time now) {
  for (const SegmentId segment : segments) {
    const auto found = quarantined_.find(segment);
    if (found != quarantined_.end()) {
      Entry& entry = found->second;
      entry.trials = std::min(entry.trials + 1, kMaxTrials);
      entry.next_trial = now + TrialInterval(entry.trials);
    }
  }
}

void SegmentQuarantine::AbandonTrial(std::span<const SegmentId> segments) {
  for (const SegmentId segment : segments) {
    const auto found = quarantined_.find(segment);
    if (found != quarantined_.end()) {
      Entry& entry = found->second;
      entry.trials = std::max(entry.trials - 1, 0);
      entry.next_trial = entry.last_crash + TrialInterval(entry.trials);
    }
  }
}

std::optional<QuarantinedSegment> SegmentQuarantine::Find(SegmentId segment) const {
  const auto found = quarantined_.find(segment);
  if (found == quarantined_.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  return QuarantinedSegment{
      .segment = segment, .last_crash = entry.last_crash, .trials = entry.trials};
}

std::vector<CrashVictim> SegmentQuarantine::LocalVictimsSince(Time since) const {
  return ItemsSince<CrashVictim>(local_victims_, since);
}

std::vector<SegmentTime> SegmentQuarantine::LocalResponsesSince(Time since) const {
  return ItemsSince<SegmentTime>(local_responses_, since);
}

std::vector<QuarantinedSegment> SegmentQuarantine::Quarantined() const {
  std::vector<QuarantinedSegment> segments;
  segments.reserve(quarantined_.size());
  for (const auto& [segment, entry] : quarantined_) {
    segments.push_back(
        {.segment = segment, .last_crash = entry.last_crash, .trials = entry.trials});
  }
  return segments;
}

void SegmentQuarantine::RemoveExpired(Time now) {
  std::erase_if(crashes_,
                [&](const Crash& crash) { return now - crash.at > options_.evidence_lifetime; });
  absl::erase_if(suspects_, [&](const auto& item) {
    return now - item.second > options_.evidence_lifetime && !IsQuarantined(item.first);
  });
  while (!response_times_.empty() && now - response_times_.front() > options_.evidence_lifetime) {
    response_times_.pop_front();
  }
  if (responses_.size() > kMaxResponses && now >= next_response_cleanup_) {
    next_response_cleanup_ = now + kResponseCleanupInterval;
    absl::erase_if(responses_, [&](const auto& item) {
      return now - item.second.at > kResponseLifetime && !suspects_.contains(item.first);
    });
  }
}

}  // namespace lagoonwind::policy
