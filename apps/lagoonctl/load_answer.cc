#include "load_answer.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <regex>
#include <utility>

namespace lagoonwind::ctl {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kData = "data: ";
constexpr std::string_view kLastEvent = "data: [DONE]";
/// Service of one second on a plain service, in units of service; a generated token is one unit.
constexpr double kSecondService = 100;
/// Service of one byte of a prompt, in units of service.
constexpr double kPromptByteService = 0.025;

const std::regex kMarkedToken(R"(t\d+\.\d+ )");

double Seconds(LoadAnswer::Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Text of the token that an event carries; empty if it carries none.
std::string TokenOf(std::string_view event) {
  if (!event.starts_with(kData)) {
    return {};
  }
  const json body = json::parse(event.substr(kData.size()), nullptr, false);
  const json::json_pointer path("/choices/0/delta/content");
  return body.is_object() && body.contains(path) && body.at(path).is_string()
             ? body.at(path).get<std::string>()
             : std::string();
}

}  // namespace

std::string StandInMark(std::string_view messages) {
  constexpr std::size_t kMarks = 100'000;
  return absl::StrCat("t", std::hash<std::string_view>{}(messages) % kMarks);
}

void LoadAnswer::OnPart(std::string_view part, Clock::time_point now) {
  if (!stream_.is_model()) {
    return;
  }
  partial_ += part;
  for (auto end = partial_.find(kEventEnd); end != std::string::npos;
       end = partial_.find(kEventEnd)) {
    const std::string_view pending = partial_;
    OnEvent(pending.substr(0, end), now);
    partial_.erase(0, end + kEventEnd.size());
  }
}

void LoadAnswer::OnEvent(std::string_view event, Clock::time_point now) {
  if (event == kLastEvent) {
    in_order_ = in_order_ && !done_;
    done_ = true;
    return;
  }
  const std::string token = TokenOf(event);
  if (token.empty()) {
    return;
  }
  if (tokens_ == 0) {
    tally_.service += kPromptByteService * stream_.prompt_bytes;
  }
  Histogram& histogram = tokens_ == 0 ? tally_.first_token : tally_.between_tokens;
  histogram.Add(Seconds(now - std::exchange(last_, now)));
  Answered();
  // The local fleet's engines write tokens as MARK.INDEX; others are only counted.
  if (std::regex_match(token, kMarkedToken)) {
    in_order_ = in_order_ && token == absl::StrCat(key_, ".", tokens_, " ");
  }
  in_order_ = in_order_ && !done_;
  ++tokens_;
  ++tally_.tokens;
  tally_.service += 1;
}

void LoadAnswer::Answered() {
  if (!std::exchange(answered_, true)) {
    --tally_.unanswered;
  }
}

void LoadAnswer::OnEnd(unsigned status, std::string_view outcome, std::string_view body,
                       Clock::time_point now) {
  Answered();
  const double took = Seconds(now - sent_);
  tally_.whole.Add(took);
  if (!stream_.is_model()) {
    tally_.service += kSecondService * took;
  }
  if (status == kOk && outcome == "complete") {
    ++(Whole(body) ? tally_.complete : tally_.broken);
    return;
  }
  ++tally_.failures[status];
  ++(outcome == "not-run" ? tally_.not_run : tally_.unknown);
}

bool LoadAnswer::Whole(std::string_view body) const {
  if (stream_.is_model()) {
    return done_ && in_order_ && partial_.empty() && tokens_ == stream_.max_tokens;
  }
  const json answer = json::parse(body, nullptr, false);
  return answer.is_object() && answer.value("key", "") == key_;
}

}  // namespace lagoonwind::ctl
