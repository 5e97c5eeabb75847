#pragma once

#include <algorithm>
#include <array>

#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Decides from when on events belong in the next report to peers. Each event is in at least two
/// reports, whatever the interval between them, so that a single lost datagram loses none.
class ReportWindow {
 public:
  /// Start of the events that have been in fewer than two reports. The first two reports include
  /// all events.
  [[nodiscard]] Time start() const { return report_times_[0]; }
  /// The same for events that are repeated for at least `min_time`.
  [[nodiscard]] Time StartFor(Duration min_time, Time now) const {
    return std::min(start(), now - min_time);
  }
  /// Records that a report with all events until `now` is sent.
  void RecordReport(Time now) { report_times_ = {report_times_[1], now}; }

 private:
  /// Times of the last but one report and of the last one.
  std::array<Time, 2> report_times_{};
};

}  // namespace lagoonwind::gateway
