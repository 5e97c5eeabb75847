#include "event_log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Log lines per second and core. They bound the share of the process's CPU time that logging
/// takes.
constexpr double kMaxRoutineLinesPerSecond = 600;
constexpr double kMaxFailureLinesPerSecond = 1000;
/// Largest number of bytes buffered for standard output.
constexpr std::size_t kMaxBufferedBytes = 512UL << 10U;
/// Number of bytes that a pipe reported as writable accepts without blocking.
constexpr std::size_t kPipeWriteBytes = 4096;
/// Typical length of a line, in bytes.
constexpr std::size_t kLineBytes = 512;
/// Longest part of a text that a line contains, in bytes: longer than the texts of sound requests
/// and records.
constexpr std::size_t kMaxTextBytes = 2048;
/// Longest text of a number.
constexpr std::size_t kNumberBytes = 32;

template <class Number>
void AppendNumber(Number number, std::string& out) {
  std::array<char, kNumberBytes> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
  out.append(text.data(), end);
}

/// True for characters that JSON strings contain unchanged and that are complete UTF-8 sequences.
bool IsPlainCharacter(char character) {
  return character >= ' ' && character <= '~' && character != '"' && character != '\\';
}

void AppendText(std::string_view text, std::string& out) {
  text = text.substr(0, kMaxTextBytes);
  if (std::ranges::all_of(text, IsPlainCharacter)) {
    out.append(1, '"').append(text).append(1, '"');
  } else {
    out.append(nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
}

/// Appends a value of each type that a log field can have.
struct ValueWriter {
  std::string& out;

  void operator()(bool value) const { out.append(value ? "true" : "false"); }
  void operator()(std::int64_t value) const { AppendNumber(value, out); }
  void operator()(std::uint64_t value) const { AppendNumber(value, out); }
  void operator()(double value) const {
    if (std::isfinite(value)) {
      AppendNumber(value, out);
    } else {
      out.append("null");
    }
  }
  void operator()(std::string_view value) const { AppendText(value, out); }
  void operator()(std::span<const std::string> values) const {
    out.push_back('[');
    for (const std::string& value : values) {
      out.append(&value == values.data() ? "" : ",");
      AppendText(value, out);
    }
    out.push_back(']');
  }
};

void AppendField(std::string_view name, const LogValue& value, std::string& out) {
  out.append(out.empty() ? "{" : ",");
  AppendText(name, out);
  out.push_back(':');
  value.AppendTo(out);
}

}  // namespace

void LogValue::AppendTo(std::string& out) const { std::visit(ValueWriter{out}, value_); }

/// Buffers lines and writes them in blocks that do not block on standard output.
class EventLog::Sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  [[nodiscard]] bool HasRoom() const { return buffer_.size() < kMaxBufferedBytes; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    buffer_.append(message.payload.data(), message.payload.size());
    buffer_.push_back('\n');
  }

  void flush_() override {
    std::size_t written = 0;
    while (written < buffer_.size()) {
      pollfd ready{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
      if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        break;
      }
      const ssize_t count = write(STDOUT_FILENO, buffer_.data() + written,
                                  std::min(kPipeWriteBytes, buffer_.size() - written));
      if (count <= 0) {
        break;
      }
      written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
  }

 private:
  std::string buffer_;
};

EventLog::EventLog(std::string_view process, double cpu_cores)
    : cpu_cores_(cpu_cores), sink_(std::make_shared<Sink>()), logger_("events", sink_) {
  logger_.set_level(spdlog::level::trace);
  process_field_ = ",\"process\":";
  AppendText(process, process_field_);
}

EventLog::~EventLog() { Flush(); }

bool EventLog::WithinRate(Severity severity) {
  const Time now = Now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    routine_lines_ = 0;
    failure_lines_ = 0;
  }
  switch (severity) {
    case Severity::kRoutine:
      return ++routine_lines_ <= kMaxRoutineLinesPerSecond * cpu_cores_;
    case Severity::kFailure:
      return ++failure_lines_ <= kMaxFailureLinesPerSecond * cpu_cores_;
    case Severity::kState:
      return true;
  }
  return true;
}

void EventLog::Write(Severity severity, std::string_view event,
                     std::initializer_list<LogField> fields) {
  if (!WithinRate(severity) || !sink_->HasRoom()) {
    ++dropped_;
    return;
  }
  const auto wall_time = std::chrono::system_clock::now().time_since_epoch();
  std::string line;
  line.reserve(kLineBytes);
  AppendField("time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wall_time).count(),
              line);
  line.append(process_field_);
  AppendField("event", event, line);
  for (const LogField& field : fields) {
    AppendField(field.name, field.value, line);
  }
  line.push_back('}');
  logger_.info(line);
}

void EventLog::Flush() {
  if (dropped_ != reported_dropped_) {
    const std::uint64_t count = dropped_ - std::exchange(reported_dropped_, dropped_);
    Write(Severity::kState, "log_dropped", {{"lines", count}});
  }
  logger_.flush();
}

}  // namespace lagoonwind::gateway
