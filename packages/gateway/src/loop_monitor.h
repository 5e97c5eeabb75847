#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "event_log.h"

namespace lagoonwind::gateway {

/// Measures the lag of the event loop, which shows whether the CPU keeps up, and reduces the work
/// under lag: stream events are forwarded in batches and new connections are diverted to other
/// gateways. This covers gateways on small machines, which receive as many callers as those on
/// larger ones. Not thread safe.
class LoopMonitor {
 public:
  /// \param log  Must outlive this object.
  LoopMonitor(boost::asio::io_context& io, EventLog& log);

  /// Samples the lag until the process ends.
  boost::asio::awaitable<void> Run();
  /// Waits until the next batch of stream events is due; returns at once if the lag is low.
  boost::asio::awaitable<void> WaitForBatch();
  /// True if new connections should be diverted to other gateways.
  [[nodiscard]] bool overloaded() const { return overloaded_; }
  /// True if the lag is so high that new requests would miss their objectives.
  [[nodiscard]] bool saturated() const;
  /// Moving average of the event loop's lag.
  [[nodiscard]] Duration lag() const { return lag_; }
  /// Earliest time at which an event that is handled at `now` may have arrived: `now` unless the
  /// loop is very late, or the process was suspended.
  [[nodiscard]] Time EarliestArrival(Time now) const;

 private:
  void AddSample(Duration sample, Time now);

  EventLog& log_;
  boost::asio::steady_timer timer_;
  /// Expires with each sample and wakes the streams that wait for their batch.
  boost::asio::steady_timer batch_timer_;
  Duration lag_{0};
  Time sample_began_;
  Time previous_sample_began_;
  Time above_overload_since_{};
  Time below_recovery_since_{};
  bool overloaded_ = false;
};

}  // namespace lagoonwind::gateway
