#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {

/// Slowdowns at which the limit changes, as multiples of the best time per token.
struct SlowdownThresholds {
  /// Up to this slowdown the limit grows by a third.
  double fast_growth_max = 1.05;
  /// Up to this slowdown the limit grows by one.
  double growth_max = 1.25;
  /// Above this slowdown the limit is halved.
  double halve_min = 1.6;
  /// Above this slowdown the backend server counts as cold and the limit is reset to one.
  double reset_min = 2.5;
};

/// Thresholds for inference engines, whose time per token hardly depends on the request.
inline constexpr SlowdownThresholds kEngineSlowdown{};
/// Thresholds for plain services, whose requests vary in duration.
inline constexpr SlowdownThresholds kServiceSlowdown{
    .fast_growth_max = 1.2, .growth_max = 2, .halve_min = 4, .reset_min = 10};

/// Adaptive concurrency limit of a backend server, derived from its speed.
///
/// The limit starts at one and grows while the time per token stays close to the best observed. A
/// round is a set of samples that lie completely after the last change of the limit; a percentile
/// close to the median determines its result. See docs/WARM_UP.md for the rationale. Not thread
/// safe; times passed in must not decrease.
class AdaptiveLimit {
 public:
  /// \param thresholds  Thresholds for the kind of backend server.
  explicit AdaptiveLimit(const SlowdownThresholds& thresholds = kEngineSlowdown)
      : thresholds_(thresholds) {}

  [[nodiscard]] std::uint32_t size() const { return size_; }
  /// Lowest typical time per token of any round; zero before the first.
  [[nodiscard]] Duration best_interval() const { return best_interval_; }

  void set_thresholds(const SlowdownThresholds& thresholds) { thresholds_ = thresholds; }

  /// Must be called at every change of the number of running requests.
  void Track(Time now, std::uint32_t running);
  /// Adds a token that arrived `interval` after the previous one.
  void AddToken(Time now, Duration interval);
  /// Adds the time to first token of a request.
  void AddFirstToken(Time now, Duration time_to_first_token);
  /// Resets the limit because the backend server restarted, or may have.
  /// \param running_at_crash  Number of requests running at its crash; 0 if it did not crash.
  void OnRestart(Time now, std::uint32_t running_at_crash);
  /// Lowers the limit because the backend server refused a request.
  void OnRefusal(Time now);
  /// Holds new requests, because tokens are overdue, until a round shows normal speed or no request
  /// runs.
  void HoldNewRequests() { held_ = running_ > 0; }
  [[nodiscard]] bool held() const { return held_; }
  /// Lowest typical time to first token; zero before the first.
  [[nodiscard]] Duration best_first_token() const { return best_first_token_; }
  /// Lowers a limit that was not used for limits::kUnusedLimitTimeout, because the measurements
  /// behind it are outdated.
  void ExpireUnused(Time now);

 private:
  struct Ceiling {
    std::uint32_t size = 0;
    Time expires;
  };

  [[nodiscard]] bool IsSaturated(std::uint32_t running) const;
  [[nodiscard]] Duration UnderuseTolerance() const;
  [[nodiscard]] std::size_t RoundSamples() const;
  [[nodiscard]] double Slowdown(Duration interval) const;
  [[nodiscard]] bool IsWarming(Time now, Duration interval);
  void EndRound(Time now);
  void Grow(Time now, Duration interval);
  void Resize(Time now, std::uint32_t size);

  SlowdownThresholds thresholds_;
  std::uint32_t size_ = 1;
  bool held_ = false;
  std::optional<Ceiling> ceiling_;
  /// Duration of the next ceiling; doubles with each crash under load.
  Duration ceiling_time_ = limits::kMinCrashBackoff;

  // Load.
  std::uint32_t running_ = 0;
  /// Maximum number of requests running since `period_start_`.
  std::uint32_t peak_running_ = 0;
  Time period_start_;
  Time saturated_since_;
  std::optional<Time> underused_since_;

  // Samples of the current round.
  Time round_start_;
  std::vector<Duration> samples_;
  /// Samples taken while the limit was saturated.
  std::vector<Duration> saturated_samples_;
  std::vector<Duration> first_tokens_;

  // Reference speed of the backend server; retained across its restarts.
  Duration best_interval_{0};
  Duration best_first_token_{0};
  double first_token_slowdown_ = 1;

  // Initial observation of a backend server without measurements.
  bool warmed_ = false;
  Time warming_check_start_;
  Duration warming_check_interval_{0};
};

}  // namespace lagoonwind::policy
