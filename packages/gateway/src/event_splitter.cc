#include "event_splitter.h"

#include <utility>

namespace lagoonwind::gateway {
namespace {

constexpr std::string_view kLfSeparator = "\n\n";
constexpr std::string_view kCrlfSeparator = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

/// Position after the last event separator in `text`; 0 if there is none.
std::size_t LastEventEnd(std::string_view text) {
  const std::size_t lf = text.rfind(kLfSeparator);
  const std::size_t crlf = text.rfind(kCrlfSeparator);
  const std::size_t after_lf = lf == std::string_view::npos ? 0 : lf + kLfSeparator.size();
  const std::size_t after_crlf = crlf == std::string_view::npos ? 0 : crlf + kCrlfSeparator.size();
  return std::max(after_lf, after_crlf);
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

std::string EventSplitter::Append(std::string_view bytes) {
  pending_.append(bytes);
  const std::size_t end = LastEventEnd(pending_);
  if (end == 0) {
    return {};
  }
  std::string events = pending_.substr(0, end);
  pending_.erase(0, end);
  UpdateLastId(events);
  return events;
}

void EventSplitter::UpdateLastId(std::string_view events) {
  // The last `id` field determines the last event id.
  std::size_t position = events.rfind(kIdField);
  while (position != std::string_view::npos && position > 0 && events[position - 1] != '\n') {
    position = events.rfind(kIdField, position - 1);
  }
  if (position == std::string_view::npos) {
    return;
  }
  const std::string_view line = events.substr(position, events.find('\n', position) - position);
  last_id_ = std::string(Trim(line.substr(kIdField.size())));
}

}  // namespace lagoonwind::gateway
