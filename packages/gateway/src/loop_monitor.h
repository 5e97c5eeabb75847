#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "event_log.h"

namespace lagoonwind::gateway {

/// Measures how late the event loop is, which tells a processor that can't keep up, and lightens
/// its work: events of streams are passed on in batches, and new callers are sent elsewhere. Load
/// pattern: a gateway on a small machine gets as many callers as its larger neighbours. Not thread
/// safe.
class LoopMonitor {
 public:
  /// \param log  Must outlive it.
  LoopMonitor(boost::asio::io_context& io, EventLog& log);

  /// Measures until the process ends.
  boost::asio::awaitable<void> Run();
  /// Waits until the next batch of stream events is due; at once while the loop keeps up.
  boost::asio::awaitable<void> WaitForBatch();
  /// True if the loop is so late that new connections had better go elsewhere.
  [[nodiscard]] bool overloaded() const { return overloaded_; }
  /// True if the loop is so late that new requests would miss their objectives.
  [[nodiscard]] bool saturated() const;
  /// Smoothed lateness of the loop.
  [[nodiscard]] Duration lag() const { return lag_; }

 private:
  void AddSample(Duration sample, Time now);

  EventLog& log_;
  boost::asio::steady_timer timer_;
  /// Expires with each measurement; wakes the streams that wait for their batch.
  boost::asio::steady_timer batch_timer_;
  Duration lag_{0};
  Time above_overload_since_{};
  Time below_recovery_since_{};
  bool overloaded_ = false;
};

}  // namespace lagoonwind::gateway
