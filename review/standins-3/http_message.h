#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

/// Start line, header fields with names in lower case, and body of a message.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;

  /// Value of a field; empty if it is absent. \param name  In lower case.
  [[nodiscard]] std::string Field(const std::string& name) const;
  /// Method of a request.
  [[nodiscard]] std::string Method() const;
  /// Target of a request: path and query.
  [[nodiscard]] std::string Target() const;
  /// Status of a response; 0 if there is none.
  [[nodiscard]] int Status() const;
};

/// Value of a query parameter of a target; empty if it is absent.
std::string QueryParameter(const std::string& target, const std::string& name);

/// Opens a listening TCP socket on a free port. \return The descriptor, or -1.
int OpenListener(const std::string& ip, std::uint16_t& port);
/// Connects to `ip`:`port`. \return The descriptor, or -1.
int Connect(const std::string& ip, std::uint16_t port);
/// Sets the longest time that a read waits.
void SetReadTimeout(int socket, int milliseconds);
/// \return False if the connection broke.
bool WriteAll(int socket, std::string_view bytes);
/// Reads a message whose body has a length or chunks. `buffer` keeps what follows it.
/// \return Absent if the connection ended before the message was complete.
std::optional<Message> ReadMessage(int socket, std::string& buffer);

}  // namespace review
