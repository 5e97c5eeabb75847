#include "event_log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Log lines per second and core. Writing a line takes about 30 us, so logging takes at most a
/// twentieth of the process's CPU time.
constexpr double kMaxRoutineLinesPerSecond = 600;
constexpr double kMaxFailureLinesPerSecond = 1000;
/// Largest number of bytes buffered for standard output.
constexpr std::size_t kMaxBufferedBytes = 512UL << 10U;
/// Number of bytes that a pipe reported as writable accepts without blocking.
constexpr std::size_t kPipeWriteBytes = 4096;

}  // namespace

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
    : process_(process),
      cpu_cores_(cpu_cores),
      sink_(std::make_shared<Sink>()),
      logger_("events", sink_) {
  logger_.set_level(spdlog::level::trace);
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
                     const nlohmann::ordered_json& fields) {
  if (!WithinRate(severity) || !sink_->HasRoom()) {
    ++dropped_;
    return;
  }
  const auto wall_time = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line{
      {"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wall_time).count()},
      {"process", process_},
      {"event", event}};
  line.update(fields);
  logger_.info(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EventLog::Flush() {
  if (dropped_ != reported_dropped_) {
    const std::uint64_t count = dropped_ - std::exchange(reported_dropped_, dropped_);
    Write(Severity::kState, "log_dropped", {{"lines", count}});
  }
  logger_.flush();
}

}  // namespace lagoonwind::gateway
