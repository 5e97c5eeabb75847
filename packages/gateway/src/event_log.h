#pragma once

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Importance of a line. Less important lines are dropped first under load.
enum class Severity { kRoutine, kFailure, kState };

/// Structured log: a JSON object a line on standard output. Writing never blocks; lines beyond the
/// rates or the buffer are dropped and counted in a later line `log_dropped`. Not thread safe.
class EventLog {
 public:
  /// \param process          Name of this process, part of every line.
  /// \param cpu_cores  Part of a core that the process gets; bounds the lines a second.
  explicit EventLog(std::string_view process, double cpu_cores = 1);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Writes one line.
  /// \param event   What happened.
  /// \param fields  What is known of it.
  void Write(Severity severity, std::string_view event, const nlohmann::ordered_json& fields);

  /// Hands buffered lines to standard output as far as that takes them at once.
  void Flush();
  /// Lines that were dropped since the start.
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
