#include "lagoonwind/drain_admission.h"

#include <algorithm>

namespace lagoonwind::policy {

void DrainAdmission::Start(Time now, Time stop) {
  if (!draining()) {
    started_ = now;
    stop_ = stop;
  }
}

void DrainAdmission::BeginAnswering(Time now) {
  if (!answering_since_) {
    answering_since_ = now;
  }
}

bool DrainAdmission::MayEnd(const DrainWork& work, Time now) const {
  if (!draining()) {
    return false;
  }
  if (now < *stop_) {
    return BalancerHasNoticed(now) && !work.has_connections && !work.owes_answer;
  }
  const Time answering_since = answering_since_.value_or(now);
  return !work.owes_answer || now >= std::max(*stop_ + options_.late_answer_time,
                                              answering_since + options_.min_answer_time);
}

bool DrainAdmission::BalancerHasNoticed(Time now) const {
  return draining() && now - started_ >= options_.balancer_notice_time;
}

bool DrainAdmission::EndsBeforeStop(Time deadline) const {
  return !draining() || deadline <= answer_deadline();
}

bool DrainAdmission::MayAccept(Time deadline, Time now) const {
  return EndsBeforeStop(deadline) || (!BalancerHasNoticed(now) && now < answer_deadline());
}

Duration DrainAdmission::MaxExpectedTime(Time deadline, Time now) const {
  if (EndsBeforeStop(deadline)) {
    return Duration::max();
  }
  const Duration until_stop = std::max(*stop_ - now, Duration{0});
  return std::chrono::duration_cast<Duration>(until_stop * options_.expected_time_fraction);
}

}  // namespace lagoonwind::policy
