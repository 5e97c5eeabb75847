#include "log_story.h"

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

/// Time before a request's end within which what its process came to believe is told, too.
constexpr std::int64_t kBackgroundMs = 6000;
/// Most lines of that kind; the last ones count.
constexpr std::size_t kMostBackground = 20;
/// Lateness of the first byte beyond what was expected from which on the belief was wrong: a few
/// steps of an engine.
constexpr double kWrongByMs = 150;

std::string Word(const Json& line, const char* key) {
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

std::string Refusal(const Json& line) {
  const std::string verdict = Word(line, "verdict");
  const std::string where = Word(line, "server");
  const std::string wait = absl::StrFormat("%.0f ms", Number(line, "wait_ms"));
  const std::string usage = absl::StrFormat("%.2f", Number(line, "usage"));
  if (verdict == "over_share") {
    return absl::StrCat("customer ", Word(line, "customer"), " had ", usage,
                        " times its fair share, and the best engine had ", wait,
                        " to read first, more than such a customer may cause");
  }
  if (verdict == "overloaded") {
    return absl::StrCat("even the best engine had ", wait,
                        " to read first, so that the answer would have begun too late");
  }
  if (verdict == "full") {
    return absl::StrCat("the slots or memory open to customer ", Word(line, "customer"),
                        " (use of its share ", usage, ") were taken; the best engine ran ",
                        Word(line, "running"), " requests");
  }
  if (verdict == "hopeless") {
    return absl::StrCat("it couldn't have ended in the time that was left, with ", wait,
                        " of waiting and ", absl::StrFormat("%.0f ms", Number(line, "read_ms")),
                        " of reading");
  }
  if (verdict == "cold") {
    return "all backend servers were cold and had their share of requests";
  }
  return verdict == "no_server" ? "no backend server was known" : Word(line, "outcome");
}

std::string Answered(const Json& line) {
  const double first = Number(line, "first_byte_ms");
  const double expected = Number(line, "wait_ms") + Number(line, "read_ms");
  std::string text =
      absl::StrFormat("answered with %s by %s: first byte after %.0f ms, whole after %.0f ms",
                      Word(line, "status"), Word(line, "server"), first, Number(line, "total_ms"));
  if (first - expected > kWrongByMs) {
    absl::StrAppend(&text,
                    absl::StrFormat("; %.0f ms were expected, so that the engine was busier "
                                    "than believed (loop late by %.1f ms, %s peers)",
                                    expected, Number(line, "loop_late_ms"), Word(line, "peers")));
  }
  return text;
}

std::string Conclusion(const Json& line) {
  const std::string outcome = Word(line, "outcome");
  const double sends = Number(line, "sends");
  if (sends == 0 && Number(line, "status") >= 400) {
    return absl::StrCat("refused with ", Word(line, "status"), " and never sent: ", Refusal(line));
  }
  if (outcome == "answered") {
    return Answered(line);
  }
  if (outcome == "broken_off") {
    return absl::StrCat("the answer of ", Word(line, "server"),
                        " ended midway; it ran, and whether it ended there isn't known");
  }
  if (outcome == "caller_left") {
    return absl::StrFormat("the caller left after %.0f ms", Number(line, "total_ms"));
  }
  if (outcome == "backend_failure") {
    return absl::StrCat(Word(line, "server"), " itself answered with ", Word(line, "status"));
  }
  return absl::StrCat(outcome, ", status ", Word(line, "status"), " after ", Word(line, "sends"),
                      " sends, the last to ", Word(line, "server"));
}

/// The fields of a line that its head doesn't show.
std::string Fields(const Json& line) {
  constexpr std::array<std::string_view, 5> kHead{"time_ms", "process", "event", "request", "role"};
  std::vector<std::string> fields;
  for (const auto& [key, value] : line.items()) {
    if (std::ranges::find(kHead, key) == kHead.end()) {
      fields.push_back(absl::StrCat(key, "=", Word(line, key.c_str())));
    }
  }
  return absl::StrJoin(fields, " ");
}

StoryLine LineOf(const Json& line, bool is_background) {
  const std::string event = Word(line, "event");
  return {
      .time_ms = TimeOf(line),
      .process = Word(line, "process"),
      .text = event == "request_done" ? Conclusion(line) : absl::StrCat(event, " ", Fields(line)),
      .is_background = is_background};
}

}  // namespace

void LogStory::Read(std::istream& log, const std::string& name) {
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
      states_.push_back(std::move(line));
    } else if (Word(line, "request") == request_) {
      own_.push_back(std::move(line));
    }
  }
}

std::vector<Json> LogStory::Background() const {
  std::set<std::string> processes;
  std::set<std::string> servers;
  std::int64_t first = TimeOf(own_.front());
  std::int64_t last = first;
  for (const Json& line : own_) {
    processes.insert(Word(line, "process"));
    servers.insert(Word(line, "server"));
    first = std::min(first, TimeOf(line));
    last = std::max(last, TimeOf(line));
  }
  std::vector<Json> background;
  std::ranges::copy_if(states_, std::back_inserter(background), [&](const Json& line) {
    const bool near = TimeOf(line) >= first - kBackgroundMs && TimeOf(line) <= last;
    const bool of_other_server = line.contains("server") && !servers.contains(Word(line, "server"));
    return near && processes.contains(Word(line, "process")) && !of_other_server;
  });
  std::ranges::stable_sort(background, {}, TimeOf);
  if (background.size() > kMostBackground) {
    background.erase(background.begin(), background.end() - kMostBackground);
  }
  return background;
}

absl::StatusOr<Story> LogStory::Tell() const {
  if (own_.empty()) {
    return absl::NotFoundError(absl::StrCat("no line names request ", request_));
  }
  Story story{.conclusion = "the logs don't show how it ended"};
  for (const Json& line : own_) {
    story.lines.push_back(LineOf(line, false));
    if (Word(line, "event") == "request_done") {
      story.conclusion = Conclusion(line);
    }
  }
  for (const Json& line : Background()) {
    story.lines.push_back(LineOf(line, true));
  }
  std::ranges::stable_sort(story.lines, {}, &StoryLine::time_ms);
  return story;
}

}  // namespace lagoonwind::ctl
