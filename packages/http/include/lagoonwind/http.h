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
/// Minimal HTTP/1.1 client and server on Boost.Beast, as Asio coroutines. The functions can be
/// called from any thread; each exchange runs on the executor of the calling coroutine.
namespace lagoonwind::http {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// One header field.
struct Field {
  std::string name;
  std::string value;
};

/// Returns the first value of a header field, or an empty string if the field is absent. Names are
/// compared case-insensitively. The result refers to `fields`.
std::string_view FindField(std::span<const Field> fields, std::string_view name);

struct Request {
  std::string method = "GET";
  /// Path and query, percent-encoded.
  std::string target = "/";
  std::string content_type;
  std::vector<Field> fields;
  std::string body;
};

struct Response {
  /// Returns the next chunk of a streamed body. An empty chunk ends the body; an error aborts the
  /// connection.
  using NextChunk = std::function<asio::awaitable<absl::StatusOr<std::string>>()>;

  unsigned status = 0;
  std::string content_type;
  std::vector<Field> fields;
  std::string body;
  /// Servers only: if set, the body is streamed with chunked transfer encoding instead of sending
  /// `body`.
  NextChunk next_chunk;
  /// Servers only: if true, the body has neither a length nor chunks and ends with the connection,
  /// also if `next_chunk` returns an error.
  bool close_delimited = false;
};

/// Parses `IP:PORT`.
/// \return InvalidArgument for anything else, host names included.
absl::StatusOr<Tcp::endpoint> ParseEndpoint(std::string_view address);

/// Formats an endpoint as `IP:PORT`.
std::string FormatEndpoint(const Tcp::endpoint& endpoint);

/// Opens `acceptor`, binds it to `endpoint` and listens.
/// \return Unavailable if the endpoint cannot be bound.
absl::Status Listen(Tcp::acceptor& acceptor, const Tcp::endpoint& endpoint);

/// Sets whether the connection is reset when the socket is closed, also by the end of the process.
/// A reset breaks off a response that would otherwise end with its connection.
void SetResetOnClose(Tcp::socket& socket, bool reset);

/// Returns the first value of a query parameter of `target`, percent-decoded, or an empty string if
/// the parameter is absent.
std::string QueryParameter(std::string_view target, std::string_view name);

/// Sends one request on a new connection and reads the complete response.
/// \param address  `IP:PORT`.
/// \param timeout  For the whole exchange, including the connect.
/// \return Unavailable if the connect failed, so that nothing was sent. DeadlineExceeded on a
///         time-out, also of the connect. Aborted if the exchange failed after the connect; the
///         server may then have received the request. DataLoss if the bytes received seem to come
///         from two responses. InvalidArgument if `address` is malformed.
asio::awaitable<absl::StatusOr<Response>> Fetch(std::string address, Request request,
                                                std::chrono::milliseconds timeout);

/// Receives the body of a response piece by piece, as it arrives.
using BodySink = std::function<void(std::string_view)>;

/// Like Fetch, but also passes the body to `sink` while it is being received.
/// \param sink  Called on the executor of the calling coroutine, before this function returns. May
///              be empty.
asio::awaitable<absl::StatusOr<Response>> FetchStream(std::string address, Request request,
                                                      std::chrono::milliseconds timeout,
                                                      BodySink sink);

/// Handles one request. Called on the executor of the server, from several threads concurrently if
/// that executor has several.
using Handler = std::function<asio::awaitable<Response>(Request)>;

/// Serves requests on `acceptor` until it is closed. Each request is read completely before
/// `handler` is called. Meant for operator interfaces and test servers, not for callers' traffic.
/// Connections beyond limits::kMaxServerConnections are closed immediately.
/// \param acceptor        Must outlive the coroutine.
/// \param max_body_bytes  Requests with a larger body get status 413.
asio::awaitable<void> Serve(Tcp::acceptor& acceptor, Handler handler, std::size_t max_body_bytes);

}  // namespace lagoonwind::http
