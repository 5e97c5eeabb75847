#include "adaptive_limit.h"

namespace lagoonwind::policy {
namespace {

/// Minimum number of samples per round.
constexpr std::size_t kMinRoundSamples = 8;
/// Number of times to first token evaluated together.
constexpr std::size_t kFirstTokenSamples = 5;
/// Slowdown of the time to first token above which the limit stops growing, and above which it is
/// halved.
constexpr double kFirstTokenHold = 2.5;
constexpr double kFirstTokenHalve = 5;
/// The limit counts as saturated while at most 1/kSaturationSlackDivisor of it is unused.
constexpr std::uint32_t kSaturationSlackDivisor = 16;
/// Longest interval of underuse that still counts as saturated: replacing an ended request through
/// a grant takes this long.
constexpr Duration kMaxUnderuse = std::chrono::milliseconds(100);
/// Such an interval is also at most 1/kUnderuseDivisor of the best time per token.
constexpr int kUnderuseDivisor = 4;
/// Samples per slot in a round, so that one long prefill does not determine the result.
constexpr std::size_t kSamplesPerRequest = 2;
/// Percentile of the samples that determines the result of a round.
constexpr std::size_t kDecidingPercentile = 40;
/// Ratio to the earlier time per token below which a backend server is still warming up.
constexpr double kWarmingRatio = 0.93;

/// The sample at kDecidingPercentile. Reorders the samples.
Duration DecidingSample(std::vector<Duration>& samples) {
  constexpr std::size_t kHundred = 100;
  const auto rank = samples.begin() +
                    static_cast<std::ptrdiff_t>(samples.size() * kDecidingPercentile / kHundred);
  std::ranges::nth_element(samples, rank);
  return *rank;
}

/// The smaller of two durations; a `best` of zero means that none is known.
Duration MinKnown(Duration best, Duration seen) {
  return best.count() == 0 ? seen : std::min(best, seen);
}

double Ratio(Duration seen, Duration best) {
  return best.count() == 0 ? 1
                           : static_cast<double>(seen.count()) / static_cast<double>(best.count());
}

std::uint32_t GrowByThird(std::uint32_t size) { return size + std::max(size / 3, 1U); }

}  // namespace

bool AdaptiveLimit::IsSaturated(std::uint32_t running) const {
  return running + size_ / kSaturationSlackDivisor >= size_;
}

std::size_t AdaptiveLimit::RoundSamples() const {
  return std::max<std::size_t>(kMinRoundSamples, kSamplesPerRequest * size_);
}

Duration AdaptiveLimit::UnderuseTolerance() const {
  return std::min(kMaxUnderuse, best_interval_ / kUnderuseDivisor);
}

double AdaptiveLimit::Slowdown(Duration interval) const { return Ratio(interval, best_interval_); }

void AdaptiveLimit::Track(Time now, std::uint32_t running) {
  running_ = running;
  peak_running_ = std::max(peak_running_, running);
  if (held_ && running == 0) {
    Resize(now, 1);
  }
  if (!IsSaturated(running)) {
    underused_since_ = underused_since_.value_or(now);
    return;
  }
  if (underused_since_ && now - *underused_since_ > UnderuseTolerance()) {
    saturated_since_ = now;
  }
  underused_since_.reset();
}

void AdaptiveLimit::AddToken(Time now, Duration interval) {
  const Time start = now - interval;
  // Samples taken above the limit, or begun before its last change, do not apply to it.
  if (running_ > size_ || start < round_start_) {
    return;
  }
  samples_.push_back(interval);
  if (!underused_since_ && start >= saturated_since_) {
    saturated_samples_.push_back(interval);
  }
  if (samples_.size() >= RoundSamples()) {
    EndRound(now);
  }
}

void AdaptiveLimit::AddFirstToken(Time now, Duration time_to_first_token) {
  if (now - time_to_first_token < round_start_) {
    return;
  }
  first_tokens_.push_back(time_to_first_token);
  if (first_tokens_.size() < kFirstTokenSamples) {
    return;
  }
  const Duration typical = DecidingSample(first_tokens_);
  first_tokens_.clear();
  best_first_token_ = MinKnown(best_first_token_, typical);
  first_token_slowdown_ = Ratio(typical, best_first_token_);
  if (first_token_slowdown_ > kFirstTokenHalve) {
    Resize(now, size_ / 2);
  }
}

void AdaptiveLimit::EndRound(Time now) {
  const Duration typical = DecidingSample(samples_);
  samples_.clear();
  best_interval_ = MinKnown(best_interval_, typical);
  const double slowdown = Slowdown(typical);
  held_ = slowdown > thresholds_.halve_min;
  if (slowdown > thresholds_.reset_min) {
    Resize(now, 1);
  } else if (slowdown > thresholds_.halve_min) {
    Resize(now, size_ / 2);
  } else if (saturated_samples_.size() >= RoundSamples()) {
    const Duration saturated_typical = DecidingSample(saturated_samples_);
    saturated_samples_.clear();
    Grow(now, saturated_typical);
  }
}

bool AdaptiveLimit::IsWarming(Time now, Duration interval) {
  if (warmed_) {
    return false;
  }
  if (warming_check_interval_.count() == 0 ||
      Ratio(interval, warming_check_interval_) < kWarmingRatio) {
    warming_check_interval_ = interval;
    warming_check_start_ = now;
  }
  warmed_ = now - warming_check_start_ >= limits::kInitialObservationTime;
  return !warmed_;
}

void AdaptiveLimit::Grow(Time now, Duration interval) {
  const double slowdown = Slowdown(interval);
  if (IsWarming(now, interval) || slowdown > thresholds_.growth_max ||
      first_token_slowdown_ > kFirstTokenHold) {
    return;
  }
  std::uint32_t size = slowdown <= thresholds_.fast_growth_max ? GrowByThird(size_) : size_ + 1;
  if (ceiling_ && ceiling_->expires > now) {
    size = std::min(size, ceiling_->size);
  }
  if (size > size_) {
    Resize(now, size);
  }
}

void AdaptiveLimit::Resize(Time now, std::uint32_t size) {
  size_ = std::clamp(size, 1U, limits::kMaxConcurrencyLimit);
  round_start_ = now;
  samples_.clear();
  saturated_samples_.clear();
  first_tokens_.clear();
  first_token_slowdown_ = 1;
  held_ = false;
  Track(now, running_);
}

void AdaptiveLimit::OnRestart(Time now, std::uint32_t running_at_crash) {
  // A crash below the limit is not attributed to load.
  if (size_ > 1 && running_at_crash >= size_) {
    ceiling_ = Ceiling{.size = running_at_crash - 1, .expires = now + ceiling_time_};
    ceiling_time_ = std::min<Duration>(2 * ceiling_time_, limits::kMaxCrashBackoff);
  }
  Resize(now, 1);
}

void AdaptiveLimit::OnRefusal(Time now) {
  if (running_ < size_) {
    ceiling_ = Ceiling{.size = std::max(running_, 1U), .expires = now + limits::kRefusalBackoff};
    Resize(now, running_);
  }
}

void AdaptiveLimit::ExpireUnused(Time now) {
  if (now - period_start_ < limits::kUnusedLimitTimeout) {
    return;
  }
  const std::uint32_t supported = GrowByThird(peak_running_);
  period_start_ = now;
  peak_running_ = running_;
  if (supported < size_) {
    Resize(now, supported);
  }
}

}  // namespace lagoonwind::policy
