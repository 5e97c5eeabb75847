#include "lagoonwind/crash_suspects.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace lagoonwind::policy {
namespace {

/// Maximum number of suspects.
constexpr std::size_t kMaxSuspects = 10000;
/// Time for which events at this gateway stay available to reports. Longer than two intervals
/// between reports.
constexpr Duration kReportPeriod = std::chrono::seconds(10);

}  // namespace

Duration CrashSuspects::TrialDelay(int trials) const {
  Duration delay = options_.first_trial_delay;
  for (int i = 0; i < trials && delay < options_.quarantine_lifetime; ++i) {
    delay *= options_.trial_delay_growth;
  }
  return std::min(delay, options_.quarantine_lifetime);
}

bool CrashSuspects::HasExpired(const Suspect& suspect, Time now) const {
  const Duration lifetime =
      suspect.quarantined ? options_.quarantine_lifetime : options_.evidence_lifetime;
  return now - std::max(suspect.last_crash, suspect.responded_at) >= lifetime;
}

CrashSuspects::Suspect* CrashSuspects::FindOrAdd(Digest digest, Time now) {
  if (suspects_.size() >= kMaxSuspects && !suspects_.contains(digest)) {
    absl::erase_if(suspects_, [&](const auto& item) { return HasExpired(item.second, now); });
    if (suspects_.size() >= kMaxSuspects) {
      return nullptr;
    }
  }
  Suspect& suspect = suspects_[digest];
  if (HasExpired(suspect, now)) {
    suspect = {};
  }
  return &suspect;
}

bool CrashSuspects::Conclude(Suspect& suspect, bool stated) {
  suspect.next_trial =
      std::max(suspect.next_trial, suspect.last_crash + TrialDelay(suspect.trials));
  const bool was_quarantined = suspect.quarantined;
  suspect.quarantined = was_quarantined || stated || suspect.crashes.size() >= options_.crashes;
  return suspect.quarantined && !was_quarantined;
}

void CrashSuspects::AddServer(Suspect& suspect, const ServerCrash& crash) {
  const auto known = std::ranges::find(suspect.crashes, crash.server, &ServerCrash::server);
  if (crash.at > suspect.responded_at && known == suspect.crashes.end()) {
    suspect.crashes.push_back(crash);
    suspect.last_crash = std::max(suspect.last_crash, crash.at);
  }
}

bool CrashSuspects::AddCrash(const Crash& crash, Time now) {
  Suspect* suspect = FindOrAdd(crash.digest, now);
  if (suspect == nullptr) {
    return false;
  }
  AddServer(*suspect, {.server = crash.server, .at = crash.at});
  const bool concluded = Conclude(*suspect, false);
  last_change_ = concluded ? now : last_change_;
  return concluded;
}

bool CrashSuspects::RecordCrash(Digest digest, ServerId server, Time now) {
  const Crash crash{.digest = digest, .server = server, .at = now};
  std::erase_if(local_crashes_, [&](const Crash& local) { return now - local.at > kReportPeriod; });
  local_crashes_.push_back(crash);
  return AddCrash(crash, now);
}

bool CrashSuspects::RecordResponse(Digest digest, Time now) {
  const auto found = suspects_.find(digest);
  if (found == suspects_.end() || (found->second.crashes.empty() && !found->second.quarantined)) {
    return false;
  }
  const bool was_quarantined = found->second.quarantined;
  const Response response{.digest = digest, .at = now};
  MergePeerResponse(response);
  std::erase_if(local_responses_,
                [&](const Response& local) { return now - local.at > kReportPeriod; });
  local_responses_.push_back(response);
  return was_quarantined;
}

void CrashSuspects::MergePeerResponse(const Response& response) {
  const auto found = suspects_.find(response.digest);
  if (found == suspects_.end()) {
    return;
  }
  Suspect& suspect = found->second;
  suspect.responded_at = std::max(suspect.responded_at, response.at);
  const bool had_evidence = suspect.crashes.size() >= options_.crashes;
  std::erase_if(suspect.crashes,
                [&](const ServerCrash& crash) { return crash.at <= suspect.responded_at; });
  const bool lacks_evidence = had_evidence && suspect.crashes.size() < options_.crashes;
  if (suspect.last_crash <= suspect.responded_at || lacks_evidence) {
    suspect.quarantined = false;
    suspect.trials = 0;
    suspect.next_trial = {};
  }
}

bool CrashSuspects::Merge(const SuspectRequest& suspect, Time now) {
  const Duration lifetime =
      suspect.quarantined ? options_.quarantine_lifetime : options_.evidence_lifetime;
  if (now - suspect.last_crash >= lifetime) {
    return false;
  }
  Suspect* known = FindOrAdd(suspect.digest, now);
  if (known == nullptr || suspect.last_crash <= known->responded_at) {
    return false;
  }
  std::ranges::for_each(suspect.crashes,
                        [&](const ServerCrash& crash) { AddServer(*known, crash); });
  known->last_crash = std::max(known->last_crash, suspect.last_crash);
  if (suspect.trials > known->trials) {
    known->trials = suspect.trials;
    // A trial of a peer has begun about now.
    known->next_trial = std::max(known->next_trial, now + TrialDelay(known->trials));
  }
  return Conclude(*known, suspect.quarantined);
}

bool CrashSuspects::IsQuarantined(Digest digest, Time now) const {
  const auto found = suspects_.find(digest);
  return found != suspects_.end() && found->second.quarantined && !HasExpired(found->second, now);
}

Duration CrashSuspects::TimeUntilTrial(Digest digest, Time now) const {
  const auto found = suspects_.find(digest);
  return found == suspects_.end() ? Duration{0}
                                  : std::max(found->second.next_trial - now, Duration{0});
}

void CrashSuspects::BeginTrial(Digest digest, Time now) {
  const auto found = suspects_.find(digest);
  if (found == suspects_.end()) {
    return;
  }
  Suspect& suspect = found->second;
  ++suspect.trials;
  suspect.next_trial = now + TrialDelay(suspect.trials);
  last_change_ = now;
}

void CrashSuspects::AbandonTrial(Digest digest, Time now) {
  const auto found = suspects_.find(digest);
  if (found != suspects_.end() && found->second.trials > 0) {
    --found->second.trials;
    found->second.next_trial = now;
  }
}

bool CrashSuspects::RespondedAfter(Digest digest, Time time) const {
  const auto found = suspects_.find(digest);
  return found != suspects_.end() && found->second.responded_at > time;
}

std::vector<CrashSuspects::Crash> CrashSuspects::CrashesSince(Time since) const {
  std::vector<Crash> crashes;
  std::ranges::copy_if(local_crashes_, std::back_inserter(crashes),
                       [&](const Crash& crash) { return crash.at >= since; });
  return crashes;
}

std::vector<CrashSuspects::Response> CrashSuspects::ResponsesSince(Time since) const {
  std::vector<Response> responses;
  std::ranges::copy_if(local_responses_, std::back_inserter(responses),
                       [&](const Response& response) { return response.at >= since; });
  return responses;
}

bool CrashSuspects::IsSuspect(const Suspect& suspect, Time now) const {
  return (suspect.quarantined || !suspect.crashes.empty()) && !HasExpired(suspect, now);
}

SuspectRequest CrashSuspects::Describe(Digest digest, const Suspect& suspect) {
  return {.digest = digest,
          .crashes = suspect.crashes,
          .last_crash = suspect.last_crash,
          .trials = suspect.trials,
          .quarantined = suspect.quarantined};
}

std::optional<SuspectRequest> CrashSuspects::Find(Digest digest, Time now) const {
  const auto found = suspects_.find(digest);
  return found != suspects_.end() && IsSuspect(found->second, now)
             ? std::optional(Describe(digest, found->second))
             : std::nullopt;
}

std::vector<SuspectRequest> CrashSuspects::Select(bool only_quarantined, std::size_t most,
                                                  Time now) const {
  std::vector<SuspectRequest> selected;
  for (const auto& [digest, suspect] : suspects_) {
    if (IsSuspect(suspect, now) && (suspect.quarantined || !only_quarantined)) {
      selected.push_back(Describe(digest, suspect));
    }
  }
  std::ranges::sort(selected, std::greater<>(), [](const SuspectRequest& suspect) {
    return std::pair(suspect.quarantined, suspect.last_crash);
  });
  selected.resize(std::min(selected.size(), most));
  return selected;
}

std::vector<SuspectRequest> CrashSuspects::Suspects(std::size_t most, Time now) const {
  return Select(false, most, now);
}

std::vector<SuspectRequest> CrashSuspects::Quarantined(std::size_t most, Time now) const {
  return Select(true, most, now);
}

}  // namespace lagoonwind::policy
