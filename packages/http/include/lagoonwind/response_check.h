#pragma once

#include <absl/status/status.h>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Checks that the bytes read as one response come from one response. If a server breaks off a
/// response and sends another on the same connection, a parser reads the second one as the rest of
/// the first. The functions can be called from any thread.
namespace lagoonwind::http {

/// Returns the position of the first HTTP/1 status line in `text`, such as `HTTP/1.1 200`, or npos.
std::size_t FindStatusLine(std::string_view text);

/// Checks that no status line stands in the reason phrase or in the value of a field.
/// \return DataLoss with the name of the field otherwise.
absl::Status CheckSingleHead(const boost::beast::http::response_header<>& head);

/// True if `text` has a status line, or could have one once it goes on.
bool MayHoldStatusLine(std::string_view text);

/// Detects that a body whose length is stated was broken off and that the next response has filled
/// it up. Not thread safe.
class BodyScanner {
 public:
  /// Appends bytes of the body.
  void Append(std::string_view bytes);
  /// True if a status line stands in the body or may begin at its end.
  [[nodiscard]] bool MayHoldStatusLine() const;
  /// As MayHoldStatusLine(), but false if less than the name of the protocol shows it.
  [[nodiscard]] bool SeemsToHoldStatusLine() const;
  /// True if a status line begins in the body and further bytes follow the body. A sound server
  /// sends nothing behind a body, so that it can quote status lines.
  /// \param surplus  Bytes that follow the body on the connection.
  [[nodiscard]] bool IsFilledUp(std::string_view surplus) const;

 private:
  bool has_status_line_ = false;
  /// Last bytes, which a status line may begin with.
  std::string tail_;
};

/// Finds the response heads in a text: status lines, and the field `name` in the lines that follow.
/// \return Value of the field in each head that has it. Refers to `text`.
std::vector<std::string_view> FindFieldInHeads(std::string_view text, std::string_view name);

}  // namespace lagoonwind::http
