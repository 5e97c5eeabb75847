#include "caller.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
namespace beast = boost::beast;

}  // namespace

Caller::Caller(const std::string& address) : socket_(io_) {
  socket_.connect(*http::ParseEndpoint(address));
}

Caller::Response Caller::Send(const std::string& method, const std::string& target,
                              const std::string& id, const std::vector<http::Field>& fields,
                              const std::string& body) {
  return SendRaw(RequestOf(method, target, id, fields, body));
}

Caller::Response Caller::SendRaw(const std::string& bytes) {
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(bytes), error);
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::string_body> parser;
  beast::http::read(socket_, buffer, parser, error);
  const auto& message = parser.get();
  Response response{.status = parser.is_header_done() ? message.result_int() : 0,
                    .body = message.body(),
                    .complete = !error && parser.is_done(),
                    .framed = parser.is_header_done() && !parser.need_eof()};
  for (const auto& field : message) {
    response.fields.push_back(
        {.name = field.name_string().to_string(), .value = field.value().to_string()});
  }
  buffer_ = beast::buffers_to_string(buffer.data());
  return response;
}

bool Caller::HasUnreadBytes() {
  boost::system::error_code ignored;
  return !buffer_.empty() || socket_.available(ignored) > 0;
}

std::size_t Caller::SendUntilClosed(const std::string& start, std::size_t max_bytes) {
  const std::string filler(64UL << 10U, 'x');
  boost::system::error_code error;
  std::size_t sent = asio::write(socket_, asio::buffer(start), error);
  while (!error && sent < max_bytes) {
    sent += asio::write(socket_, asio::buffer(filler), error);
  }
  return sent;
}

bool Caller::IsClosed() {
  boost::system::error_code error;
  char byte = 0;
  socket_.non_blocking(true);
  socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  socket_.non_blocking(false);
  return error && error != asio::error::would_block;
}

std::string RequestOf(const std::string& method, const std::string& target, const std::string& id,
                      const std::vector<http::Field>& fields, const std::string& body) {
  std::string text = absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: shop\r\n",
                                  "X-Attempt-Id: ", id, "\r\nX-Deadline-Ms: 4000\r\n");
  for (const auto& field : fields) {
    absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
  }
  if (method != "GET") {
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n");
  }
  return absl::StrCat(text, "\r\n", body);
}

std::string ReceiveAll(const std::string& address, const std::string& bytes) {
  asio::io_context io;
  http::Tcp::socket socket(io);
  socket.connect(*http::ParseEndpoint(address));
  boost::system::error_code error;
  asio::write(socket, asio::buffer(bytes), error);
  std::string received;
  asio::read(socket, asio::dynamic_buffer(received), error);
  return received;
}

}  // namespace lagoonwind::testing
