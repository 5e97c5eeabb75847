#include "event_splitter.h"

#include <algorithm>
#include <initializer_list>
#include <utility>

#include "lagoonwind/response_check.h"

namespace lagoonwind::gateway {
namespace {

constexpr std::string_view kLfSeparator = "\n\n";
constexpr std::string_view kCrlfSeparator = "\r\n\r\n";
constexpr std::string_view kCrSeparator = "\r\r";
constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kIdField = "id:";

/// Position after the last event separator in `text`; 0 if there is none.
std::size_t LastEventEnd(std::string_view text) {
  std::size_t end = 0;
  for (const std::string_view separator : {kLfSeparator, kCrlfSeparator, kCrSeparator}) {
    const std::size_t at = text.rfind(separator);
    if (at != std::string_view::npos) {
      end = std::max(end, at + separator.size());
    }
  }
  return end;
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

bool EventSplitter::HoldsResponseHead(std::string_view bytes, std::string_view id_field) const {
  if (!http::MayHoldStatusLine(bytes) && !http::MayHoldStatusLine(pending_)) {
    return false;
  }
  const std::string text = std::string(pending_).append(bytes);
  return !http::FindFieldInHeads(text, id_field).empty();
}

bool EventSplitter::inside_event() const {
  return pending_.find_first_not_of(kLineEnds) != std::string::npos;
}

void EventSplitter::UpdateLastId(std::string_view events) {
  // The last `id` field determines the last event id.
  std::size_t position = events.rfind(kIdField);
  while (position != std::string_view::npos && position > 0 &&
         kLineEnds.find(events[position - 1]) == std::string_view::npos) {
    position = events.rfind(kIdField, position - 1);
  }
  if (position == std::string_view::npos) {
    return;
  }
  const std::string_view line =
      events.substr(position, events.find_first_of(kLineEnds, position) - position);
  last_id_ = std::string(Trim(line.substr(kIdField.size())));
}

}  // namespace lagoonwind::gateway
