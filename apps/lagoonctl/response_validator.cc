#include "response_validator.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <regex>
#include <utility>

namespace lagoonwind::ctl {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDoneEvent = "data: [DONE]";
/// Service of one second of a plain service's time, in units of service; a generated token is one.
constexpr double kServicePerSecond = 100;
/// Service of one byte of a prompt, in units of service.
constexpr double kServicePerPromptByte = 0.025;

const std::regex kStandInToken(R"(t\d+\.\d+ )");

double Seconds(ResponseValidator::Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Text of the token in an event; empty if there is none.
std::string TokenText(std::string_view event) {
  if (!event.starts_with(kDataPrefix)) {
    return {};
  }
  const json body = json::parse(event.substr(kDataPrefix.size()), nullptr, false);
  const json::json_pointer path("/choices/0/delta/content");
  return body.is_object() && body.contains(path) && body.at(path).is_string()
             ? body.at(path).get<std::string>()
             : std::string();
}

}  // namespace

std::string StandInTokenPrefix(std::string_view messages) {
  constexpr std::size_t kHashRange = 100'000;
  return absl::StrCat("t", std::hash<std::string_view>{}(messages) % kHashRange);
}

void ResponseValidator::OnBodyPart(std::string_view part, Clock::time_point now) {
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

void ResponseValidator::OnEvent(std::string_view event, Clock::time_point now) {
  if (event == kDoneEvent) {
    tokens_valid_ = tokens_valid_ && !done_;
    done_ = true;
    return;
  }
  const std::string token = TokenText(event);
  if (token.empty()) {
    return;
  }
  if (tokens_ == 0) {
    tally_.service += kServicePerPromptByte * stream_.prompt_bytes;
  }
  Histogram& histogram = tokens_ == 0 ? tally_.first_token : tally_.between_tokens;
  histogram.Add(Seconds(now - std::exchange(last_, now)));
  MarkResponded();
  // Engines of the local fleet generate tokens of the form PREFIX.INDEX; others are only counted.
  if (std::regex_match(token, kStandInToken)) {
    tokens_valid_ = tokens_valid_ && token == absl::StrCat(key_, ".", tokens_, " ");
  }
  tokens_valid_ = tokens_valid_ && !done_;
  ++tokens_;
  ++tally_.tokens;
  tally_.service += 1;
}

void ResponseValidator::MarkResponded() {
  if (!std::exchange(responded_, true)) {
    --tally_.awaiting_response;
  }
}

void ResponseValidator::OnEnd(unsigned status, std::string_view outcome, std::string_view body,
                              Clock::time_point now) {
  MarkResponded();
  const double elapsed = Seconds(now - sent_);
  tally_.response_time.Add(elapsed);
  if (!stream_.is_model()) {
    tally_.service += kServicePerSecond * elapsed;
  }
  if (status == kOk && outcome == "complete") {
    ++(IsValid(body) ? tally_.complete : tally_.invalid);
    return;
  }
  ++tally_.failures[status];
  ++(outcome == "not-run" ? tally_.not_run : tally_.unknown);
}

bool ResponseValidator::IsValid(std::string_view body) const {
  if (stream_.is_model()) {
    return done_ && tokens_valid_ && partial_.empty() && tokens_ == stream_.max_tokens;
  }
  const json response = json::parse(body, nullptr, false);
  return response.is_object() && response.value("key", "") == key_;
}

}  // namespace lagoonwind::ctl
