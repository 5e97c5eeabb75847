#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoonwind::ctl {

/// One thing that happened to a request, or around it.
struct TimelineEvent {
  std::int64_t time_ms = 0;
  std::string process;
  std::string text;
  /// True for what the process believed at the time, not of the request itself.
  bool is_background = false;
};

/// What processes' logs tell of one request, in order of time.
struct RequestTimeline {
  std::vector<TimelineEvent> events;
  /// How it ended, in one sentence.
  std::string conclusion;
};

/// Collects a request's story from logs of any number of processes, mixed or not. Lines may have
/// text before their JSON, as log collectors add. Not thread safe.
class TimelineReader {
 public:
  explicit TimelineReader(std::string request) : request_(std::move(request)) {}

  /// \param name  Names the source in `unreadable`.
  void Read(std::istream& log, const std::string& name);

  /// \return Not found if no line names the request.
  [[nodiscard]] absl::StatusOr<RequestTimeline> Timeline() const;

  /// Where lines couldn't be read, as `NAME:LINE`.
  [[nodiscard]] const std::vector<std::string>& unreadable() const { return unreadable_; }

 private:
  using Json = nlohmann::json;

  [[nodiscard]] std::vector<Json> BackgroundLines() const;

  std::string request_;
  std::vector<Json> request_lines_;
  /// Lines on no request.
  std::vector<Json> process_lines_;
  std::vector<std::string> unreadable_;
};

}  // namespace lagoonwind::ctl
