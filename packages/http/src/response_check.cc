#include "lagoonwind/response_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <string>

namespace lagoonwind::http {
namespace {

/// A status line up to its code; each `#` stands for a digit.
constexpr std::string_view kStatusLinePattern = "HTTP/1.# ###";
constexpr std::string_view kProtocol = "HTTP/";
/// Length of the longest text that is only the beginning of a status line.
constexpr std::size_t kMaxPartialLine = kStatusLinePattern.size() - 1;

bool MatchesPattern(std::string_view text) {
  return std::ranges::equal(
      text, kStatusLinePattern.substr(0, text.size()), [](char c, char expected) {
        return expected == '#' ? absl::ascii_isdigit(static_cast<unsigned char>(c)) : c == expected;
      });
}

/// Returns the position of the first status line, or npos.
/// \param may_be_cut  Also finds the beginning of a status line at the end of the text.
std::size_t Find(std::string_view text, bool may_be_cut) {
  const char first = kStatusLinePattern.front();
  for (std::size_t at = text.find(first); at != std::string_view::npos;
       at = text.find(first, at + 1)) {
    const std::string_view candidate = text.substr(at, kStatusLinePattern.size());
    const bool is_whole = candidate.size() == kStatusLinePattern.size();
    if ((is_whole || may_be_cut) && MatchesPattern(candidate)) {
      return at;
    }
  }
  return std::string_view::npos;
}

std::string_view ToStdView(boost::beast::string_view text) { return {text.data(), text.size()}; }

absl::Status SecondStatusLine(std::string_view place) {
  return absl::DataLossError(
      absl::StrCat("a second status line in the ", std::string(place), " of the response"));
}

/// Removes the first line from `text` and returns it without its end.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase({left.data(), left.size()}, {right.data(), right.size()});
}

std::string_view TrimSpaces(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/// Removes the lines up to the first empty one, or up to the field `name`, from `lines`.
/// \return Value of the field; absent if it isn't among them.
std::optional<std::string_view> TakeField(std::string_view& lines, std::string_view name) {
  while (!lines.empty()) {
    const std::string_view line = TakeLine(lines);
    if (line.empty()) {
      break;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos && EqualsIgnoreCase(line.substr(0, colon), name)) {
      return TrimSpaces(line.substr(colon + 1));
    }
  }
  return std::nullopt;
}

}  // namespace

std::size_t FindStatusLine(std::string_view text) { return Find(text, false); }

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

bool MayHoldStatusLine(std::string_view text) { return Find(text, true) != std::string_view::npos; }

void BodyScanner::Append(std::string_view bytes) {
  const std::size_t kept = std::min(bytes.size(), kMaxPartialLine);
  tail_.append(bytes.substr(0, kept));
  has_status_line_ = has_status_line_ || FindStatusLine(tail_) != std::string_view::npos ||
                     FindStatusLine(bytes) != std::string_view::npos;
  if (bytes.size() > kept) {
    tail_ = bytes.substr(bytes.size() - kept);
  }
  tail_.erase(0, tail_.size() - std::min(tail_.size(), kMaxPartialLine));
}

bool BodyScanner::MayHoldStatusLine() const {
  return has_status_line_ || http::MayHoldStatusLine(tail_);
}

bool BodyScanner::SeemsToHoldStatusLine() const {
  return has_status_line_ || (MayHoldStatusLine() && tail_.find(kProtocol) != std::string::npos);
}

bool BodyScanner::IsFilledUp(std::string_view surplus) const {
  if (surplus.empty()) {
    return false;
  }
  if (has_status_line_) {
    return true;
  }
  const std::string across = absl::StrCat(tail_, std::string(surplus.substr(0, kMaxPartialLine)));
  return FindStatusLine(across) < tail_.size();
}

std::vector<std::string_view> FindFieldInHeads(std::string_view text, std::string_view name) {
  std::vector<std::string_view> values;
  for (std::size_t at = FindStatusLine(text); at != std::string_view::npos;
       at = FindStatusLine(text)) {
    text.remove_prefix(at);
    (void)TakeLine(text);
    if (const auto value = TakeField(text, name)) {
      values.push_back(*value);
    }
  }
  return values;
}

}  // namespace lagoonwind::http
