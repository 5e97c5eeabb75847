#pragma once

#include <absl/status/status.h>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <string_view>

/// \file
/// Checks that the bytes read as one response come from one response. If a server breaks off a
/// response and sends another on the same connection, a parser reads the second one as the rest of
/// the first. All functions can be called from any thread.
namespace lagoonwind::http {

/// Returns the position of the first HTTP/1 status line in `text`, such as `HTTP/1.1 200`, or npos.
std::size_t FindStatusLine(std::string_view text);

/// Checks that no status line stands in the reason phrase or in the value of a field.
/// \return DataLoss with the name of the field otherwise.
absl::Status CheckSingleHead(const boost::beast::http::response_header<>& head);

}  // namespace lagoonwind::http
