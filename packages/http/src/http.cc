#include "lagoonwind/http.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>

#include "lagoonwind/limits.h"
#include "lagoonwind/response_check.h"

namespace lagoonwind::http {
namespace {

namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;

constexpr unsigned kHttp11 = 11;

asio::redirect_error_t<asio::use_awaitable_t<>> Redirect(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

/// Enables TCP keep-alive probes, so that the loss of the peer is detected within about 3 s. Long
/// polls, which wait for new records, would otherwise only notice it at their time-out.
void EnableKeepAliveProbes(Tcp::socket& socket) {
  constexpr int kIdleSeconds = 1;
  constexpr int kProbeSeconds = 1;
  constexpr int kProbes = 2;
  ErrorCode ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int fd = socket.native_handle();
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds, sizeof(kIdleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds, sizeof(kProbeSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

beast::http::request<beast::http::string_body> ToBeast(const Request& request,
                                                       const std::string& host) {
  beast::http::request<beast::http::string_body> out;
  out.version(kHttp11);
  out.method_string(request.method);
  out.target(request.target);
  out.set(beast::http::field::host, host);
  out.keep_alive(false);
  if (!request.content_type.empty()) {
    out.set(beast::http::field::content_type, request.content_type);
  }
  for (const auto& field : request.fields) {
    out.set(field.name, field.value);
  }
  out.body() = request.body;
  out.prepare_payload();
  return out;
}

std::string ToString(beast::string_view view) { return {view.data(), view.size()}; }

template <class Message>
std::vector<Field> CopyFields(const Message& message) {
  std::vector<Field> fields;
  for (const auto& field : message) {
    fields.push_back(
        Field{.name = ToString(field.name_string()), .value = ToString(field.value())});
  }
  return fields;
}

absl::Status ToStatus(const ErrorCode& error, bool sent) {
  if (error == beast::error::timeout) {
    return absl::DeadlineExceededError("the request timed out");
  }
  return sent ? absl::AbortedError(error.message()) : absl::UnavailableError(error.message());
}

Request FromBeast(beast::http::request<beast::http::string_body>&& in) {
  Request request{.method = ToString(in.method_string()),
                  .target = ToString(in.target()),
                  .content_type = ToString(in[beast::http::field::content_type]),
                  .fields = CopyFields(in)};
  request.body = std::move(in.body());
  return request;
}

beast::http::response<beast::http::string_body> ToBeast(Response&& response, bool keep_alive) {
  beast::http::response<beast::http::string_body> out;
  out.version(kHttp11);
  out.result(response.status);
  if (!response.content_type.empty()) {
    out.set(beast::http::field::content_type, response.content_type);
  }
  for (const auto& field : response.fields) {
    out.set(field.name, field.value);
  }
  out.keep_alive(keep_alive);
  out.body() = std::move(response.body);
  if (!response.close_delimited) {
    out.prepare_payload();
  }
  return out;
}

/// Writes a streamed response.
/// \return False if the body was not sent completely.
asio::awaitable<bool> WriteStream(beast::tcp_stream& stream, const Response& response) {
  beast::http::response<beast::http::empty_body> head;
  head.version(kHttp11);
  head.result(response.status);
  head.set(beast::http::field::content_type, response.content_type);
  for (const auto& field : response.fields) {
    head.set(field.name, field.value);
  }
  head.chunked(!response.close_delimited);
  beast::http::response_serializer<beast::http::empty_body> serializer{head};
  ErrorCode error;
  co_await beast::http::async_write_header(stream, serializer, Redirect(error));
  while (!error) {
    const auto chunk = co_await response.next_chunk();
    if (!chunk.ok()) {
      co_return false;
    }
    if (chunk->empty() && response.close_delimited) {
      co_return true;
    }
    if (chunk->empty()) {
      co_await asio::async_write(stream, beast::http::make_chunk_last(), Redirect(error));
      co_return !error;
    }
    stream.expires_after(limits::kCallerWriteTimeout);
    if (response.close_delimited) {
      co_await asio::async_write(stream, asio::buffer(*chunk), Redirect(error));
    } else {
      co_await asio::async_write(stream, beast::http::make_chunk(asio::buffer(*chunk)),
                                 Redirect(error));
    }
  }
  co_return false;
}

/// Counts one open connection of a server until it goes out of scope.
class ConnectionSlot {
 public:
  explicit ConnectionSlot(std::shared_ptr<std::atomic<std::size_t>> open) : open_(std::move(open)) {
    ++*open_;
  }
  ConnectionSlot(ConnectionSlot&& other) noexcept = default;
  ConnectionSlot& operator=(ConnectionSlot&&) = delete;
  ConnectionSlot(const ConnectionSlot&) = delete;
  ConnectionSlot& operator=(const ConnectionSlot&) = delete;
  ~ConnectionSlot() {
    if (open_ != nullptr) {
      --*open_;
    }
  }

 private:
  std::shared_ptr<std::atomic<std::size_t>> open_;
};

asio::awaitable<void> ServeConnection(beast::tcp_stream stream, Handler handler,
                                      std::size_t max_body_bytes, ConnectionSlot /*slot*/) {
  beast::flat_buffer buffer;
  bool keep_alive = true;
  while (keep_alive) {
    ErrorCode error;
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(max_body_bytes);
    parser.header_limit(limits::kMaxHeaderBytes);
    stream.expires_after(limits::kCallerReadTimeout);
    co_await beast::http::async_read(stream, buffer, parser, Redirect(error));
    if (error == beast::http::error::body_limit) {
      auto refusal = ToBeast(Response{.status = 413, .body = "body too large\n"}, false);
      co_await beast::http::async_write(stream, refusal, Redirect(error));
      co_return;
    }
    if (error) {
      co_return;
    }
    keep_alive = parser.get().keep_alive();
    stream.expires_never();
    Response response = co_await handler(FromBeast(parser.release()));
    keep_alive = keep_alive && !response.close_delimited;
    if (response.next_chunk) {
      const bool complete = co_await WriteStream(stream, response);
      if (!complete || !keep_alive) {
        co_return;
      }
      continue;
    }
    auto message = ToBeast(std::move(response), keep_alive);
    stream.expires_after(limits::kCallerWriteTimeout);
    co_await beast::http::async_write(stream, message, Redirect(error));
    if (error) {
      co_return;
    }
  }
}

std::string PercentDecode(std::string_view text) {
  constexpr int kHexBase = 16;
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(
          std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, kHexBase)));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

}  // namespace

std::string_view FindField(std::span<const Field> fields, std::string_view name) {
  const auto found = std::ranges::find_if(fields, [&](const Field& field) {
    return beast::iequals(beast::string_view(field.name), {name.data(), name.size()});
  });
  return found == fields.end() ? std::string_view{} : found->value;
}

absl::StatusOr<Tcp::endpoint> ParseEndpoint(std::string_view address) {
  const auto colon = address.rfind(':');
  const auto invalid = [&] {
    return absl::InvalidArgumentError(
        absl::StrCat("'", std::string(address), "' is not an address; expected IP:PORT"));
  };
  if (colon == std::string_view::npos) {
    return invalid();
  }
  ErrorCode error;
  const auto host = asio::ip::make_address(std::string(address.substr(0, colon)), error);
  int port = 0;
  constexpr int kMaxPort = 65535;
  if (error || !absl::SimpleAtoi(std::string(address.substr(colon + 1)), &port) || port < 0 ||
      port > kMaxPort) {
    return invalid();
  }
  return Tcp::endpoint(host, static_cast<std::uint16_t>(port));
}

std::string FormatEndpoint(const Tcp::endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

absl::Status Listen(Tcp::acceptor& acceptor, const Tcp::endpoint& endpoint) {
  ErrorCode error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  return error ? absl::UnavailableError(absl::StrCat("cannot listen on ", FormatEndpoint(endpoint),
                                                     ": ", error.message()))
               : absl::OkStatus();
}

void SetResetOnClose(Tcp::socket& socket, bool reset) {
  // Asio clears a linger option that was set by socket.set_option() when it destroys the socket.
  const linger option{.l_onoff = reset ? 1 : 0, .l_linger = 0};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  const auto question = target.find('?');
  if (question == std::string_view::npos) {
    return {};
  }
  auto rest = target.substr(question + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return PercentDecode(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

asio::awaitable<absl::StatusOr<Response>> Fetch(std::string address, Request request,
                                                std::chrono::milliseconds timeout) {
  return FetchStream(std::move(address), std::move(request), timeout, BodySink{});
}

asio::awaitable<absl::StatusOr<Response>> FetchStream(std::string address, Request request,
                                                      std::chrono::milliseconds timeout,
                                                      BodySink sink) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  ErrorCode error;
  co_await stream.async_connect(*endpoint, Redirect(error));
  if (error) {
    co_return ToStatus(error, false);
  }
  EnableKeepAliveProbes(stream.socket());
  auto out = ToBeast(request, address);
  co_await beast::http::async_write(stream, out, Redirect(error));
  if (error) {
    co_return ToStatus(error, true);
  }
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(limits::kMaxFrameBytes);
  std::size_t delivered_bytes = 0;
  while (!parser.is_done()) {
    co_await beast::http::async_read_some(stream, buffer, parser, Redirect(error));
    if (error) {
      co_return ToStatus(error, true);
    }
    const std::string_view body = parser.get().body();
    if (sink != nullptr && body.size() > delivered_bytes) {
      sink(body.substr(delivered_bytes));
      delivered_bytes = body.size();
    }
  }
  const absl::Status single = CheckSingleHead(parser.get());
  if (!single.ok()) {
    co_return single;
  }
  BodyScanner scanner;
  scanner.Append(parser.get().body());
  const auto surplus = buffer.data();
  const bool has_length = !parser.chunked() && !parser.need_eof();
  if (has_length &&
      scanner.IsFilledUp({static_cast<const char*>(surplus.data()), surplus.size()})) {
    co_return absl::DataLossError("a second response begins in the body and goes on behind it");
  }
  auto in = parser.release();
  Response response{.status = in.result_int(),
                    .content_type = ToString(in[beast::http::field::content_type]),
                    .fields = CopyFields(in)};
  response.body = std::move(in.body());
  co_return response;
}

asio::awaitable<void> Serve(Tcp::acceptor& acceptor, Handler handler, std::size_t max_body_bytes) {
  auto executor = co_await asio::this_coro::executor;
  const auto open_connections = std::make_shared<std::atomic<std::size_t>>(0);
  while (acceptor.is_open()) {
    ErrorCode error;
    Tcp::socket socket = co_await acceptor.async_accept(Redirect(error));
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
      co_return;
    }
    if (error || *open_connections >= limits::kMaxServerConnections) {
      continue;
    }
    asio::co_spawn(executor,
                   ServeConnection(beast::tcp_stream(std::move(socket)), handler, max_body_bytes,
                                   ConnectionSlot(open_connections)),
                   asio::detached);
  }
}

}  // namespace lagoonwind::http
