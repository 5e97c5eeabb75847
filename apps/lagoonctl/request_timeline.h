#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoonwind::ctl {

/// One log event of a request, or of a process that handled it.
struct TimelineEvent {
  std::int64_t time_ms = 0;
  std::string process;
  std::string text;
  /// True for an event that concerns the process's view of the fleet, not the request itself.
  bool is_background = false;
};

/// Events from the logs of processes that explain one request, in chronological order.
struct RequestTimeline {
  std::vector<TimelineEvent> events;
  /// How the request ended, in one sentence.
  std::string conclusion;
};

/// Builds the timeline of one request from the logs of any number of processes, interleaved or
/// separate. Lines may have text before their JSON, as log collectors add. Not thread safe.
class TimelineReader {
 public:
  explicit TimelineReader(std::string request) : request_(std::move(request)) {}

  /// Reads a log to its end.
  /// \param name  Name of the log in `unreadable`.
  void Read(std::istream& log, const std::string& name);

  /// \return NotFound if no line refers to the request.
  [[nodiscard]] absl::StatusOr<RequestTimeline> Timeline() const;

  /// Lines that could not be parsed, as `NAME:LINE`.
  [[nodiscard]] const std::vector<std::string>& unreadable() const { return unreadable_; }

 private:
  using Json = nlohmann::json;

  [[nodiscard]] std::vector<Json> BackgroundLines() const;

  std::string request_;
  std::vector<Json> request_lines_;
  /// Lines that refer to no request.
  std::vector<Json> process_lines_;
  std::vector<std::string> unreadable_;
};

}  // namespace lagoonwind::ctl
