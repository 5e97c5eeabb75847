#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {

/// Slowdowns, as multiples of the best time seen, at which the window changes.
struct SlowdownThresholds {
  /// Up to here the window grows by a third of itself.
  double fast_growth_max = 1.05;
  /// Up to here the window grows by one.
  double growth_max = 1.25;
  /// Above this the window is halved.
  double halve_min = 1.6;
  /// Above this the backend server counts as cold and the window starts again at one.
  double reset_min = 2.5;
};

/// Limits for model engines, whose time per token hardly depends on the request.
inline constexpr SlowdownThresholds kEngineSlowdown{};
/// Limits for plain services, whose calls differ in length.
inline constexpr SlowdownThresholds kServiceSlowdown{
    .fast_growth_max = 1.2, .growth_max = 2, .halve_min = 4, .reset_min = 10};

/// Number of requests that a backend server may run at a time, found out from its speed alone.
///
/// Starts at one and grows while the time per token holds against the best seen. A round is a
/// number of samples whose whole interval lies after the last change of the window; its median
/// decides. docs/WARM_UP.md gives the reasons. Not thread safe; time never goes back.
class AdaptiveLimit {
 public:
  /// \param limits  For the kind of backend server.
  explicit AdaptiveLimit(const SlowdownThresholds& limits = kEngineSlowdown) : limits_(limits) {}

  [[nodiscard]] std::uint32_t size() const { return size_; }
  /// Best median time per token; zero before the first round.
  [[nodiscard]] Duration best_interval() const { return best_interval_; }

  void set_limits(const SlowdownThresholds& limits) { limits_ = limits; }

  /// Must be told of every change in the number of running requests.
  void Track(Time now, std::uint32_t running);
  /// A token arrived `interval` after the one before it.
  void AddToken(Time now, Duration interval);
  /// The first token of a request arrived `took` after the request started.
  void AddFirstToken(Time now, Duration took);
  /// The backend server has restarted, or may have.
  /// \param crashed_at  Requests that were running when it crashed; 0 if it didn't crash.
  void Restarted(Time now, std::uint32_t crashed_at);
  /// The backend server refused a request as too much.
  void Refused(Time now);
  /// Tokens are overdue: nothing may start until a round shows that the speed is back.
  void HoldNewRequests() { held_ = running_ > 0; }
  [[nodiscard]] bool held() const { return held_; }
  /// Best median time to the first token; zero before the first.
  [[nodiscard]] Duration best_first_token() const { return best_first_token_; }
  /// Lowers a window that nothing has used lately, because the evidence for it is old.
  void Expire(Time now);

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

  SlowdownThresholds limits_;
  std::uint32_t size_ = 1;
  bool held_ = false;
  std::optional<Ceiling> ceiling_;
  /// How long the next ceiling holds; doubles with each crash under load.
  Duration ceiling_time_ = limits::kMinCrashBackoff;

  // Load.
  std::uint32_t running_ = 0;
  /// Most requests that ran since `period_start_`.
  std::uint32_t peak_ = 0;
  Time period_start_;
  Time saturated_since_;
  std::optional<Time> underused_since_;

  // Evidence of the current round.
  Time round_start_;
  std::vector<Duration> samples_;
  /// Samples taken while the window was used up.
  std::vector<Duration> saturated_samples_;
  std::vector<Duration> first_tokens_;

  // Memory of the backend server; outlives its restarts.
  Duration best_interval_{0};
  Duration best_first_token_{0};
  double first_token_slowdown_ = 1;

  // First look at a backend server of which nothing is known.
  bool warmed_ = false;
  Time warming_check_start_;
  Duration warming_check_interval_{0};
};

}  // namespace lagoonwind::policy
