#pragma once

#include <spdlog/logger.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Class of a log line: routine events, failures, and state changes of the process. Routine events
/// and failures have a rate limit each; state changes are only dropped if the buffer is full.
enum class Severity { kRoutine, kFailure, kState };

/// Value of a log field. Refers to texts, which must outlive it.
class LogValue {
 public:
  // Implicit, so that call sites list names and values.
  // NOLINTBEGIN(google-explicit-constructor)
  template <std::signed_integral T>
  LogValue(T value) : value_(std::int64_t{value}) {}
  template <std::unsigned_integral T>
  LogValue(T value) : value_(std::uint64_t{value}) {}
  LogValue(bool value) : value_(value) {}
  LogValue(double value) : value_(value) {}
  LogValue(const char* text) : value_(std::string_view{text}) {}
  LogValue(std::string_view text) : value_(text) {}
  LogValue(const std::string& text) : value_(std::string_view{text}) {}
  LogValue(std::span<const std::string> texts) : value_(texts) {}
  LogValue(const std::vector<std::string>& texts) : value_(std::span<const std::string>{texts}) {}
  // NOLINTEND(google-explicit-constructor)

  /// Appends the value as JSON. Invalid UTF-8 is replaced.
  void AppendTo(std::string& out) const;

 private:
  std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view,
               std::span<const std::string>>
      value_;
};

/// Named value of a log line.
struct LogField {
  std::string_view name;
  LogValue value;
};

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
  /// \param fields  Event fields. Formatted only if the line is not dropped.
  void Write(Severity severity, std::string_view event, std::initializer_list<LogField> fields);

  /// Writes as many buffered lines as standard output accepts without blocking.
  void Flush();
  /// Number of lines dropped since the start.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  class Sink;
  bool WithinRate(Severity severity);

  /// First field of each line after its time: the name of the process, as JSON.
  std::string process_field_;
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
