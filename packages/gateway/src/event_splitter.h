#pragma once

#include <string>
#include <string_view>

namespace lagoonwind::gateway {

/// Cuts a stream of server-sent events into whole events. Not thread safe.
class EventSplitter {
 public:
  /// Adds bytes of the stream.
  /// \return All events that are whole now, together with their separators.
  std::string Append(std::string_view bytes);
  /// What remains after the last whole event.
  [[nodiscard]] std::string_view remainder() const { return pending_; }
  /// Forgets what remains, as the stream goes on elsewhere.
  void DiscardRemainder() { pending_.clear(); }
  /// Id of the last whole event; empty if it had none.
  [[nodiscard]] const std::string& last_id() const { return last_id_; }

 private:
  void UpdateLastId(std::string_view events);

  std::string pending_;
  std::string last_id_;
};

}  // namespace lagoonwind::gateway
