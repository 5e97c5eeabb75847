#pragma once

#include <string>
#include <string_view>

namespace lagoonwind::gateway {

/// Splits a stream of server-sent events into complete events. Not thread safe.
class EventSplitter {
 public:
  /// Appends bytes of the stream.
  /// \return Events completed by these bytes, including their separators; empty if none.
  std::string Append(std::string_view bytes);
  /// True if the stream, continued by `bytes`, has a response head inside an event: a status line
  /// and the field `id_field`. Text of an event can quote a head, but then each of its lines
  /// follows the name of a field.
  [[nodiscard]] bool HoldsResponseHead(std::string_view bytes, std::string_view id_field) const;
  /// Bytes after the last complete event.
  [[nodiscard]] std::string_view remainder() const { return pending_; }
  /// True if the stream has been broken off, if it ends here: its last event is not complete.
  [[nodiscard]] bool inside_event() const;
  /// Discards the incomplete event, because the stream will resume on another connection.
  void DiscardRemainder() { pending_.clear(); }
  /// Id of the last complete event that had one; empty if none did.
  [[nodiscard]] const std::string& last_id() const { return last_id_; }

 private:
  void UpdateLastId(std::string_view events);

  std::string pending_;
  std::string last_id_;
};

}  // namespace lagoonwind::gateway
