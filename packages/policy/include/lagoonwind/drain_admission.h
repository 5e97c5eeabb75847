#pragma once

#include <optional>

#include "lagoonwind/base.h"

namespace lagoonwind::policy {

/// Options of DrainAdmission.
struct DrainAdmissionOptions {
  /// Time after the stop signal within which the load balancer notices the failing readiness check
  /// and stops opening connections.
  Duration balancer_notice_time = std::chrono::milliseconds(2500);
  /// Fraction of the time until the stop that a request may be expected to take; the rest is a
  /// margin for requests that take longer than expected.
  double expected_time_fraction = 0.5;
  /// Time before the stop at which requests that have no response yet are answered with a failure.
  Duration answer_margin = std::chrono::milliseconds(400);
  /// Longest time beyond the stop that is taken for answers that are due.
  Duration late_answer_time = std::chrono::milliseconds(350);
  /// Time for these answers if the process was held up until after that.
  Duration min_answer_time = std::chrono::milliseconds(30);
};

/// What a draining process still has to do.
struct DrainWork {
  /// True if connections are open or wait to be accepted.
  bool has_connections = false;
  /// True if a request was read, or is being read, and its answer is neither written nor a stream
  /// that has begun.
  bool owes_answer = false;
};

/// Decides which requests a process that was told to stop still accepts. While callers cannot avoid
/// the process, it accepts what is expected to end in time. Later it accepts only requests whose
/// own deadline passes before the stop, which does not depend on any expectation; all others can
/// still be served elsewhere. Not thread safe.
class DrainAdmission {
 public:
  explicit DrainAdmission(const DrainAdmissionOptions& options = {}) : options_(options) {}

  /// Starts the drain. Later calls have no effect.
  /// \param now   Time of the stop signal.
  /// \param stop  Time at which the process stops, whether or not requests are running.
  void Start(Time now, Time stop);
  [[nodiscard]] bool draining() const { return stop_.has_value(); }
  /// Time at which the process stops. Precondition: draining().
  [[nodiscard]] Time stop() const { return *stop_; }
  /// Time at which requests without a response must be answered with a failure, so that callers
  /// receive it before the stop. Precondition: draining().
  [[nodiscard]] Time answer_deadline() const { return *stop_ - options_.answer_margin; }
  /// Must be called when the process begins to answer, at answer_deadline() or later. Later calls
  /// have no effect.
  void BeginAnswering(Time now);
  /// True if the process still begins to read requests, if only to refuse them.
  [[nodiscard]] bool MayRead(Time now) const { return !draining() || now < *stop_; }
  /// True if the process may end. A request that was read is not given up before the last moment.
  [[nodiscard]] bool MayEnd(const DrainWork& work, Time now) const;
  /// True once the load balancer is expected to have noticed the drain.
  [[nodiscard]] bool BalancerHasNoticed(Time now) const;

  /// True if a new request may be accepted.
  /// \param deadline  Deadline of the caller or the route, whichever comes first.
  [[nodiscard]] bool MayAccept(Time deadline, Time now) const;
  /// True if an interrupted response that the caller has received in part may be continued at
  /// another backend server: otherwise it is cut at once.
  [[nodiscard]] bool MayContinue(Time now) const { return !draining() || now < answer_deadline(); }
  /// Longest time that an attempt at a request may be expected to take.
  [[nodiscard]] Duration MaxExpectedTime(Time deadline, Time now) const;

 private:
  [[nodiscard]] bool EndsBeforeStop(Time deadline) const;

  DrainAdmissionOptions options_;
  Time started_{};
  std::optional<Time> stop_;
  std::optional<Time> answering_since_;
};

}  // namespace lagoonwind::policy
