#pragma once

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Class of a log line: routine events, failures, and state changes of the process. Routine events
/// and failures have a rate limit each; state changes are only dropped if the buffer is full.
enum class Severity { kRoutine, kFailure, kState };

/// Structured log: one JSON object per line on standard output. Writing never blocks; lines beyond
/// the rate limits or the buffer are dropped and counted in a `log_dropped` line. Not thread safe.
class EventLog {
 public:
  /// \param process    Name of this process, part of every line.
  /// \param cpu_cores  CPU cores available to the process; scales the rate limits.
  explicit EventLog(std::string_view process, double cpu_cores = 1);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Writes one line.
  /// \param event   Event name.
  /// \param fields  Event fields, an object.
  void Write(Severity severity, std::string_view event, const nlohmann::ordered_json& fields);

  /// Writes as many buffered lines as standard output accepts without blocking.
  void Flush();
  /// Number of lines dropped since the start.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  class Sink;
  bool WithinRate(Severity severity);

  std::string process_;
  double cpu_cores_;
  std::shared_ptr<Sink> sink_;
  spdlog::logger logger_;
  Time window_start_{};
  int routine_lines_ = 0;
  int failure_lines_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace lagoonwind::gateway
