#include "warm_up_window.h"

namespace lagoonwind::policy {
namespace {

/// Fewest samples that end a round.
constexpr std::size_t kMinRoundSamples = 8;
/// First tokens that are judged together.
constexpr std::size_t kFirstTokenSamples = 5;
/// Slowdown of first tokens at which the window stops growing, and at which it is halved.
constexpr double kFirstTokenHold = 2.5;
constexpr double kFirstTokenHalve = 5;
/// Part of the window that may be unused while it still counts as used up: 1 in this many.
constexpr std::uint32_t kSlackPart = 16;
/// Unused window shorter than this is the time that a grant takes, not a lack of work.
constexpr Duration kMaxDip = std::chrono::milliseconds(100);
/// Such a time is at most this part of the time per token.
constexpr int kDipPart = 4;
/// Samples of a round from each running request, so that one long prefill can't decide it.
constexpr std::size_t kSamplesPerRequest = 2;
/// Rank of the sample that decides a round, in parts of a hundred.
constexpr std::size_t kRank = 40;
/// Part of the earlier time per token under which a backend server is still getting faster.
constexpr double kStillWarming = 0.93;

/// The sample just under the median.
Duration Typical(std::vector<Duration>& samples) {
  constexpr std::size_t kHundred = 100;
  const auto rank =
      samples.begin() + static_cast<std::ptrdiff_t>(samples.size() * kRank / kHundred);
  std::ranges::nth_element(samples, rank);
  return *rank;
}

/// The least of two times, of which zero means none.
Duration Best(Duration best, Duration seen) {
  return best.count() == 0 ? seen : std::min(best, seen);
}

double Ratio(Duration seen, Duration best) {
  return best.count() == 0 ? 1
                           : static_cast<double>(seen.count()) / static_cast<double>(best.count());
}

std::uint32_t ThirdMore(std::uint32_t size) { return size + std::max(size / 3, 1U); }

}  // namespace

bool WarmUpWindow::Full(std::uint32_t running) const {
  return running + size_ / kSlackPart >= size_;
}

std::size_t WarmUpWindow::RoundSamples() const {
  return std::max<std::size_t>(kMinRoundSamples, kSamplesPerRequest * size_);
}

Duration WarmUpWindow::DipTolerance() const { return std::min(kMaxDip, best_interval_ / kDipPart); }

double WarmUpWindow::Slowdown(Duration interval) const { return Ratio(interval, best_interval_); }

void WarmUpWindow::Track(Time now, std::uint32_t running) {
  running_ = running;
  peak_ = std::max(peak_, running);
  if (held_ && running == 0) {
    Resize(now, 1);
  }
  if (!Full(running)) {
    dip_since_ = dip_since_.value_or(now);
    return;
  }
  if (dip_since_ && now - *dip_since_ > DipTolerance()) {
    full_since_ = now;
  }
  dip_since_.reset();
}

void WarmUpWindow::AddToken(Time now, Duration interval) {
  const Time began = now - interval;
  // What runs above a lowered window says nothing about that window.
  if (running_ > size_ || began < round_start_) {
    return;
  }
  samples_.push_back(interval);
  if (!dip_since_ && began >= full_since_) {
    full_samples_.push_back(interval);
  }
  if (samples_.size() >= RoundSamples()) {
    EndRound(now);
  }
}

void WarmUpWindow::AddFirstToken(Time now, Duration took) {
  if (now - took < round_start_) {
    return;
  }
  first_tokens_.push_back(took);
  if (first_tokens_.size() < kFirstTokenSamples) {
    return;
  }
  const Duration typical = Typical(first_tokens_);
  first_tokens_.clear();
  best_first_token_ = Best(best_first_token_, typical);
  first_token_slowdown_ = Ratio(typical, best_first_token_);
  if (first_token_slowdown_ > kFirstTokenHalve) {
    Resize(now, size_ / 2);
  }
}

void WarmUpWindow::EndRound(Time now) {
  const Duration typical = Typical(samples_);
  samples_.clear();
  best_interval_ = Best(best_interval_, typical);
  const double slowdown = Slowdown(typical);
  held_ = slowdown > limits_.halve;
  if (slowdown > limits_.cold) {
    Resize(now, 1);
  } else if (slowdown > limits_.halve) {
    Resize(now, size_ / 2);
  } else if (full_samples_.size() >= RoundSamples()) {
    const Duration full = Typical(full_samples_);
    full_samples_.clear();
    Grow(now, full);
  }
}

bool WarmUpWindow::StillWarming(Time now, Duration interval) {
  if (known_) {
    return false;
  }
  if (look_interval_.count() == 0 || Ratio(interval, look_interval_) < kStillWarming) {
    look_interval_ = interval;
    look_start_ = now;
  }
  known_ = now - look_start_ >= limits::kInitialObservationTime;
  return !known_;
}

void WarmUpWindow::Grow(Time now, Duration interval) {
  const double slowdown = Slowdown(interval);
  if (StillWarming(now, interval) || slowdown > limits_.grow ||
      first_token_slowdown_ > kFirstTokenHold) {
    return;
  }
  std::uint32_t size = slowdown <= limits_.fast ? ThirdMore(size_) : size_ + 1;
  if (ceiling_ && ceiling_->expires > now) {
    size = std::min(size, ceiling_->size);
  }
  if (size > size_) {
    Resize(now, size);
  }
}

void WarmUpWindow::Resize(Time now, std::uint32_t size) {
  size_ = std::clamp(size, 1U, limits::kMaxConcurrencyLimit);
  round_start_ = now;
  samples_.clear();
  full_samples_.clear();
  first_tokens_.clear();
  first_token_slowdown_ = 1;
  held_ = false;
  Track(now, running_);
}

void WarmUpWindow::Restarted(Time now, std::uint32_t crashed_at) {
  // A crash below the window had another cause than load.
  if (size_ > 1 && crashed_at >= size_) {
    ceiling_ = Ceiling{.size = crashed_at - 1, .expires = now + ceiling_time_};
    ceiling_time_ = std::min<Duration>(2 * ceiling_time_, limits::kMaxCrashBackoff);
  }
  Resize(now, 1);
}

void WarmUpWindow::Refused(Time now) {
  if (running_ < size_) {
    ceiling_ = Ceiling{.size = std::max(running_, 1U), .expires = now + limits::kRefusalBackoff};
    Resize(now, running_);
  }
}

void WarmUpWindow::Expire(Time now) {
  if (now - period_start_ < limits::kUnusedLimitTimeout) {
    return;
  }
  const std::uint32_t shown = ThirdMore(peak_);
  period_start_ = now;
  peak_ = running_;
  if (shown < size_) {
    Resize(now, shown);
  }
}

}  // namespace lagoonwind::policy
