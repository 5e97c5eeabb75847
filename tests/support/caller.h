#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "lagoonwind/http.h"

namespace lagoonwind::testing {

/// Field by which a caller identifies itself, and all fields of a request with a prompt.
inline const http::Field kApiKeyField{.name = "Authorization", .value = "Bearer key1"};
inline const std::vector<http::Field> kPromptFields{
    kApiKeyField,
    {.name = "X-Token-Usage", .value = "300,20"},
    {.name = "X-Prompt-Prefix", .value = "aa:200,bb:100"}};

/// A caller's connection that sends one request at a time. Not thread safe.
class Caller {
 public:
  explicit Caller(const std::string& address);

  struct Response {
    unsigned status = 0;
    std::vector<http::Field> fields;
    std::string body;
    /// False if the connection ended before the whole response was received.
    bool complete = false;
    /// True if a length or a last chunk shows where the body ends, not only the connection's end.
    bool framed = false;
  };

  /// Sends a request with the attempt id `id` and reads its response.
  Response Send(const std::string& method, const std::string& target, const std::string& id,
                const std::vector<http::Field>& fields = {}, const std::string& body = "");
  /// Sends unmodified bytes and reads one response.
  Response SendRaw(const std::string& bytes);
  /// Sends `start` and then filler bytes until the gateway closes the connection.
  /// \return Number of bytes sent, at most `max_bytes`.
  std::size_t SendUntilClosed(const std::string& start, std::size_t max_bytes);
  /// True if bytes beyond the last response have been received.
  bool HasUnreadBytes();
  /// True if the gateway has closed the connection and all its bytes were read.
  bool IsClosed();

 private:
  http::asio::io_context io_;
  http::Tcp::socket socket_;
  std::string buffer_;
};

/// Returns the bytes of a request with the attempt id `id`.
std::string RequestOf(const std::string& method, const std::string& target, const std::string& id,
                      const std::vector<http::Field>& fields = {}, const std::string& body = "");

/// Sends `bytes` on a new connection. \return All bytes received until the connection ended.
std::string ReceiveAll(const std::string& address, const std::string& bytes);

}  // namespace lagoonwind::testing
