#include "request_timeline.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <istream>
#include <set>

namespace lagoonwind::ctl {
namespace {

using Json = nlohmann::json;

/// How long before a request's first line background events of its processes are included.
constexpr std::int64_t kBackgroundMs = 6000;
/// Maximum number of background events in a timeline; the latest are kept.
constexpr std::size_t kMaxBackground = 20;
/// Delay of the first byte beyond its estimate above which the engine's load was underestimated; a
/// few steps of an engine are within tolerance.
constexpr double kLateFirstByteMs = 150;

std::string Field(const Json& line, const char* key) {
  const auto found = line.find(key);
  if (found == line.end()) {
    return "?";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

double Number(const Json& line, const char* key) {
  const auto found = line.find(key);
  return found != line.end() && found->is_number() ? found->get<double>() : -1;
}

std::int64_t TimeOf(const Json& line) { return static_cast<std::int64_t>(Number(line, "time_ms")); }

std::string RefusalReason(const Json& line) {
  if (Field(line, "outcome") == "draining") {
    return absl::StrFormat(
        "the gateway was to stop %.0f ms after the request had arrived, which could last longer",
        Number(line, "stop_in_ms"));
  }
  if (Field(line, "outcome").starts_with("quarantined")) {
    return absl::StrCat(Field(line, "outcome"),
                        "; crashes of at least two requests point to the whole request or to one "
                        "of its prompt segments (lines server_crashed, segment_quarantined)");
  }
  const std::string verdict = Field(line, "verdict");
  const std::string server = Field(line, "server");
  const std::string wait = absl::StrFormat("%.0f ms", Number(line, "wait_ms"));
  const std::string usage = absl::StrFormat("%.2f", Number(line, "usage"));
  if (verdict == "over_share") {
    return absl::StrCat("customer ", Field(line, "customer"), " had ", usage,
                        " times its fair share, and the queueing delay at the best engine was ",
                        wait, ", above the limit for a customer over its share");
  }
  if (verdict == "overloaded") {
    return absl::StrCat("the queueing delay even at the best engine was ", wait,
                        ", so that the response would have started too late");
  }
  if (verdict == "full") {
    return absl::StrCat("the slots or memory available to customer ", Field(line, "customer"),
                        " (usage of its share ", usage,
                        ") were in use; the best engine was running ", Field(line, "running"),
                        " requests");
  }
  if (verdict == "hopeless") {
    return absl::StrCat("it could not have completed before its deadline, with ", wait,
                        " of queueing delay and ",
                        absl::StrFormat("%.0f ms", Number(line, "read_ms")), " of prefill");
  }
  if (verdict == "cold") {
    return "all backend servers were in cold start and had reached their request rate";
  }
  return verdict == "no_server" ? "no backend server was known" : Field(line, "outcome");
}

std::string DescribeResponse(const Json& line) {
  const double first = Number(line, "first_byte_ms");
  const double expected = Number(line, "wait_ms") + Number(line, "read_ms");
  std::string text = absl::StrFormat(
      "answered with %s by %s: first byte after %.0f ms, ended after %.0f ms",
      Field(line, "status"), Field(line, "server"), first, Number(line, "total_ms"));
  if (first - expected > kLateFirstByteMs) {
    absl::StrAppend(&text,
                    absl::StrFormat("; %.0f ms were expected, so the engine was busier "
                                    "than estimated (event loop late by %.1f ms, %s peers)",
                                    expected, Number(line, "loop_late_ms"), Field(line, "peers")));
  }
  return text;
}

std::string Conclusion(const Json& line) {
  const std::string outcome = Field(line, "outcome");
  const double attempts = Number(line, "sends");
  if (attempts == 0 && Number(line, "status") >= 400) {
    return absl::StrCat("refused with ", Field(line, "status"),
                        " and never sent: ", RefusalReason(line));
  }
  if (outcome == "answered") {
    return DescribeResponse(line);
  }
  if (outcome == "answered_unframed") {
    return absl::StrCat(DescribeResponse(line),
                        "; only the end of a connection showed where the response ends, so that "
                        "it may have been broken off");
  }
  if (outcome == "broken_off") {
    return absl::StrCat("the response of ", Field(line, "server"),
                        " ended midway; it ran, and whether it completed there is unknown");
  }
  if (outcome == "cut_by_stop") {
    const double before_stop = Number(line, "stop_in_ms");
    return absl::StrCat(
        absl::StrFormat("the gateway stopped %.0f ms after the request had arrived, before the "
                        "response of %s was complete; ",
                        Number(line, "total_ms"), Field(line, "server")),
        before_stop < 0 ? std::string("it had arrived before the stop signal")
                        : absl::StrFormat("it had arrived %.0f ms before the stop", before_stop));
  }
  if (outcome == "caller_left") {
    return absl::StrFormat("the caller disconnected after %.0f ms", Number(line, "total_ms"));
  }
  if (outcome == "backend_failure") {
    return absl::StrCat(Field(line, "server"), " itself responded with ", Field(line, "status"));
  }
  return absl::StrCat(outcome, ", status ", Field(line, "status"), " after ", Field(line, "sends"),
                      " attempts, the last to ", Field(line, "server"));
}

/// Formats the fields of a line as KEY=VALUE, but for those that are shown separately.
std::string FormatFields(const Json& line) {
  constexpr std::array<std::string_view, 5> kShownFields{"time_ms", "process", "event", "request",
                                                         "role"};
  std::vector<std::string> fields;
  for (const auto& [key, value] : line.items()) {
    if (std::ranges::find(kShownFields, key) == kShownFields.end()) {
      fields.push_back(absl::StrCat(key, "=", Field(line, key.c_str())));
    }
  }
  return absl::StrJoin(fields, " ");
}

TimelineEvent ToTimelineEvent(const Json& line, bool is_background) {
  const std::string event = Field(line, "event");
  return {.time_ms = TimeOf(line),
          .process = Field(line, "process"),
          .text = event == "request_done" ? Conclusion(line)
                                          : absl::StrCat(event, " ", FormatFields(line)),
          .is_background = is_background};
}

}  // namespace

void TimelineReader::Read(std::istream& log, const std::string& name) {
  std::size_t number = 0;
  for (std::string text; std::getline(log, text);) {
    ++number;
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    Json line =
        Json::parse(text.begin() + static_cast<std::ptrdiff_t>(start), text.end(), nullptr, false);
    if (!line.is_object() || !line.contains("event")) {
      unreadable_.push_back(absl::StrCat(name, ":", number));
    } else if (!line.contains("request")) {
      process_lines_.push_back(std::move(line));
    } else if (Field(line, "request") == request_) {
      request_lines_.push_back(std::move(line));
    }
  }
}

std::vector<Json> TimelineReader::BackgroundLines() const {
  std::set<std::string> processes;
  std::set<std::string> servers;
  std::int64_t first = TimeOf(request_lines_.front());
  std::int64_t last = first;
  for (const Json& line : request_lines_) {
    processes.insert(Field(line, "process"));
    servers.insert(Field(line, "server"));
    first = std::min(first, TimeOf(line));
    last = std::max(last, TimeOf(line));
  }
  std::vector<Json> background;
  std::ranges::copy_if(process_lines_, std::back_inserter(background), [&](const Json& line) {
    const bool in_time_range = TimeOf(line) >= first - kBackgroundMs && TimeOf(line) <= last;
    const bool concerns_other_server =
        line.contains("server") && !servers.contains(Field(line, "server"));
    return in_time_range && processes.contains(Field(line, "process")) && !concerns_other_server;
  });
  std::ranges::stable_sort(background, {}, TimeOf);
  if (background.size() > kMaxBackground) {
    background.erase(background.begin(), background.end() - kMaxBackground);
  }
  return background;
}

absl::StatusOr<RequestTimeline> TimelineReader::Timeline() const {
  if (request_lines_.empty()) {
    return absl::NotFoundError(absl::StrCat("no log line refers to request ", request_));
  }
  RequestTimeline timeline{.conclusion = "the logs don't show how it ended"};
  for (const Json& line : request_lines_) {
    timeline.events.push_back(ToTimelineEvent(line, false));
    if (Field(line, "event") == "request_done") {
      timeline.conclusion = Conclusion(line);
    }
  }
  for (const Json& line : BackgroundLines()) {
    timeline.events.push_back(ToTimelineEvent(line, true));
  }
  std::ranges::stable_sort(timeline.events, {}, &TimelineEvent::time_ms);
  return timeline;
}

}  // namespace lagoonwind::ctl
