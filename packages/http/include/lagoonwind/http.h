#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Small HTTP/1.1 client and server over Boost.Beast.
namespace lagoonwind::http {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// One header field.
struct Field {
  std::string name;
  std::string value;
};

/// First value of a field, empty if absent. Names are compared without regard to case.
std::string_view FindField(std::span<const Field> fields, std::string_view name);

struct Request {
  std::string method = "GET";
  /// Path and query.
  std::string target = "/";
  std::string content_type;
  std::vector<Field> fields;
  std::string body;
};

struct Response {
  /// Gives the next part of a streamed body; an empty part ends it, an error breaks it off.
  using NextChunk = std::function<asio::awaitable<absl::StatusOr<std::string>>()>;

  unsigned status = 0;
  std::string content_type;
  std::vector<Field> fields;
  std::string body;
  /// For servers: streams the body in chunks instead of sending `body`.
  NextChunk next_chunk;
};

/// Parses `HOST:PORT` with a numeric host.
/// \return Invalid argument for anything else.
absl::StatusOr<Tcp::endpoint> ParseEndpoint(std::string_view address);

/// Text form of an endpoint, `HOST:PORT`.
std::string FormatEndpoint(const Tcp::endpoint& endpoint);

/// Opens, binds and listens. Unavailable if the address is taken.
absl::Status Listen(Tcp::acceptor& acceptor, const Tcp::endpoint& endpoint);

/// First value of a query parameter in `target`, empty if absent. Decodes percent escapes.
std::string QueryParameter(std::string_view target, std::string_view name);

/// Sends one request on a new connection and reads the whole answer.
/// \param address  `HOST:PORT`.
/// \param timeout  For the whole exchange.
/// \return Unavailable if the connection was refused, so that nothing was sent; Aborted or
///         DeadlineExceeded once something may have been received by the server.
asio::awaitable<absl::StatusOr<Response>> Fetch(std::string address, Request request,
                                                std::chrono::milliseconds timeout);

/// Takes in the next part of an answer's body as it arrives.
using BodySink = std::function<void(std::string_view)>;

/// Like Fetch, and hands each part of the body to `sink` at once.
/// \param sink  Called on the calling coroutine's executor before the answer is returned; may be
///             empty.
asio::awaitable<absl::StatusOr<Response>> FetchStream(std::string address, Request request,
                                                      std::chrono::milliseconds timeout,
                                                      BodySink sink);

/// Answers requests. Called on the server's executor, from several threads at a time.
using Handler = std::function<asio::awaitable<Response>(Request)>;

/// Serves whole requests on `acceptor` until it is closed. Meant for operators and stand-ins.
/// Connections beyond limits::kMaxServerConnections are closed at once.
/// \param max_body_bytes  Larger bodies are answered with 413.
asio::awaitable<void> Serve(Tcp::acceptor& acceptor, Handler handler, std::size_t max_body_bytes);

}  // namespace lagoonwind::http
