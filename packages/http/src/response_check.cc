#include "lagoonwind/response_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>

namespace lagoonwind::http {
namespace {

/// A status line up to its code; each `#` stands for a digit.
constexpr std::string_view kStatusLinePattern = "HTTP/1.# ###";

bool MatchesPattern(std::string_view text) {
  return std::ranges::equal(
      text, kStatusLinePattern.substr(0, text.size()), [](char c, char expected) {
        return expected == '#' ? absl::ascii_isdigit(static_cast<unsigned char>(c)) : c == expected;
      });
}

std::string_view ToStdView(boost::beast::string_view text) { return {text.data(), text.size()}; }

absl::Status SecondStatusLine(std::string_view place) {
  return absl::DataLossError(
      absl::StrCat("a second status line in the ", std::string(place), " of the response"));
}

}  // namespace

std::size_t FindStatusLine(std::string_view text) {
  const char first = kStatusLinePattern.front();
  for (std::size_t at = text.find(first); at != std::string_view::npos;
       at = text.find(first, at + 1)) {
    const std::string_view candidate = text.substr(at, kStatusLinePattern.size());
    if (candidate.size() == kStatusLinePattern.size() && MatchesPattern(candidate)) {
      return at;
    }
  }
  return std::string_view::npos;
}

absl::Status CheckSingleHead(const boost::beast::http::response_header<>& head) {
  if (FindStatusLine(ToStdView(head.reason())) != std::string_view::npos) {
    return SecondStatusLine("reason phrase");
  }
  const auto found = std::ranges::find_if(head, [](const auto& field) {
    return FindStatusLine(ToStdView(field.value())) != std::string_view::npos;
  });
  return found == head.end() ? absl::OkStatus()
                             : SecondStatusLine(absl::StrCat(
                                   "field ", std::string(ToStdView(found->name_string()))));
}

}  // namespace lagoonwind::http
