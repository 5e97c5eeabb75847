#include <absl/strings/str_format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "request_timeline.h"

namespace lagoonwind::ctl {
namespace {

void PrintJson(const std::string& request, const RequestTimeline& timeline,
               const TimelineReader& reader) {
  nlohmann::ordered_json events = nlohmann::ordered_json::array();
  for (const TimelineEvent& event : timeline.events) {
    events.push_back({{"time_ms", event.time_ms},
                      {"process", event.process},
                      {"text", event.text},
                      {"background", event.is_background}});
  }
  std::cout << nlohmann::ordered_json{{"request", request},
                                      {"conclusion", timeline.conclusion},
                                      {"lines", events},
                                      {"unreadable", reader.unreadable()}}
                   .dump()
            << "\n";
}

void PrintTable(const RequestTimeline& timeline) {
  const std::int64_t start = timeline.events.front().time_ms;
  for (const TimelineEvent& event : timeline.events) {
    std::cout << absl::StrFormat("%+8d ms  %-20s %s%s\n", event.time_ms - start, event.process,
                                 event.is_background ? "  (" : "",
                                 event.is_background ? event.text + ")" : event.text);
  }
  const bool conclusion_shown = std::ranges::any_of(
      timeline.events,
      [&](const TimelineEvent& event) { return event.text == timeline.conclusion; });
  if (!conclusion_shown) {
    std::cout << timeline.conclusion << "\n";
  }
}

}  // namespace

int ExplainFromLogs(const CommonOptions& common, const std::string& request,
                    const std::vector<std::string>& logs) {
  TimelineReader reader(request);
  for (const std::string& path : logs) {
    if (path == "-") {
      reader.Read(std::cin, "standard input");
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      std::cerr << "lagoonctl: cannot read " << path << "\n";
      return kExitUsage;
    }
    reader.Read(file, path);
  }
  if (!reader.unreadable().empty()) {
    std::cerr << "lagoonctl: " << reader.unreadable().size()
              << " lines could not be parsed, the first is " << reader.unreadable().front() << "\n";
  }
  const auto timeline = reader.Timeline();
  if (!timeline.ok()) {
    std::cerr << "lagoonctl: " << timeline.status().message() << "\n";
    return kExitUsage;
  }
  if (common.output == Output::kJson) {
    PrintJson(request, *timeline, reader);
  } else {
    PrintTable(*timeline);
  }
  return kExitDone;
}

}  // namespace lagoonwind::ctl
