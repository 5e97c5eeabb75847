#include <absl/strings/str_format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "log_story.h"

namespace lagoonwind::ctl {
namespace {

void PrintJson(const std::string& request, const Story& story, const LogStory& log) {
  nlohmann::ordered_json lines = nlohmann::ordered_json::array();
  for (const StoryLine& line : story.lines) {
    lines.push_back({{"time_ms", line.time_ms},
                     {"process", line.process},
                     {"text", line.text},
                     {"background", line.is_background}});
  }
  std::cout << nlohmann::ordered_json{{"request", request},
                                      {"conclusion", story.conclusion},
                                      {"lines", lines},
                                      {"unreadable", log.unreadable()}}
                   .dump()
            << "\n";
}

void PrintTable(const Story& story) {
  const std::int64_t start = story.lines.front().time_ms;
  for (const StoryLine& line : story.lines) {
    std::cout << absl::StrFormat("%+8d ms  %-20s %s%s\n", line.time_ms - start, line.process,
                                 line.is_background ? "  (" : "",
                                 line.is_background ? line.text + ")" : line.text);
  }
  const bool shows_end = std::ranges::any_of(
      story.lines, [&](const StoryLine& line) { return line.text == story.conclusion; });
  if (!shows_end) {
    std::cout << story.conclusion << "\n";
  }
}

}  // namespace

int ExplainFromLogs(const CommonOptions& common, const std::string& request,
                    const std::vector<std::string>& logs) {
  LogStory log(request);
  for (const std::string& path : logs) {
    if (path == "-") {
      log.Read(std::cin, "standard input");
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      std::cerr << "lagoonctl: can't read " << path << "\n";
      return kExitUsage;
    }
    log.Read(file, path);
  }
  if (!log.unreadable().empty()) {
    std::cerr << "lagoonctl: " << log.unreadable().size() << " lines can't be read, the first is "
              << log.unreadable().front() << "\n";
  }
  const auto story = log.Tell();
  if (!story.ok()) {
    std::cerr << "lagoonctl: " << story.status().message() << "\n";
    return kExitUsage;
  }
  if (common.output == Output::kJson) {
    PrintJson(request, *story, log);
  } else {
    PrintTable(*story);
  }
  return kExitDone;
}

}  // namespace lagoonwind::ctl
