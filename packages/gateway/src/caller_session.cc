#include "caller_session.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/// Longest time for receiving a request body.
constexpr Duration kBodyTimeout = std::chrono::seconds(15);
/// Longest time for which input is drained after a response, before the socket is closed.
constexpr Duration kLingeringCloseTimeout = std::chrono::milliseconds(1000);
/// Largest number of bytes that are drained meanwhile.
constexpr std::size_t kLingeringCloseBytes = 4UL << 20U;
/// Bytes that are buffered beyond the limit on a request's header. Bounds chunk extensions and
/// trailers that never end.
constexpr std::size_t kBufferMargin = 64UL << 10U;
/// Interval at which a caller with pipelined input is checked for a disconnect.
constexpr milliseconds kDisconnectPollInterval{50};
/// Retry-After for refusals by this gateway alone, which do not depend on the load of backend
/// servers: another gateway may accept the request at once.
constexpr Duration kRetryAfter = std::chrono::milliseconds(300);

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kUnavailable = 503;

}  // namespace

CallerSession::CallerSession(GatewayContext& context, asio::ip::tcp::socket socket)
    : context_(context),
      sessions_(context.sessions),
      socket_(std::move(socket)),
      timer_(context.io),
      disconnect_timer_(context.io),
      writer_(socket_) {
  ErrorCode ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  sessions_->insert(this);
}

CallerSession::~CallerSession() {
  // The context may be gone: some sessions are only destroyed with the I/O context.
  sessions_->erase(this);
}

void CallerSession::SetReadTimeout(Duration timeout) {
  timed_out_ = false;
  timer_.expires_after(timeout);
  timer_.async_wait([weak = weak_from_this()](const ErrorCode& error) {
    if (const auto self = weak.lock(); self != nullptr && !error) {
      self->timed_out_ = true;
      ErrorCode ignored;
      self->socket_.cancel(ignored);
    }
  });
}

bool CallerSession::CloseIfIdle() {
  ErrorCode ignored;
  if (!idle_since_ || socket_.available(ignored) > 0) {
    return false;
  }
  idle_since_.reset();
  socket_.cancel(ignored);
  return true;
}

void CallerSession::StopReading() {
  if (state_ == State::kReading) {
    // Has no effect on a read that has ended, whose completion is still queued.
    ErrorCode ignored;
    socket_.cancel(ignored);
  }
}

void CallerSession::RefuseUpload() {
  refused_upload_ = true;
  ErrorCode ignored;
  socket_.cancel(ignored);
}

void CallerSession::CloseStalled() {
  // The read ends with an error, after which the connection is no longer used.
  ErrorCode ignored;
  socket_.close(ignored);
}

std::optional<Time> CallerSession::last_progress() const {
  return state_ == State::kReading && socket_.is_open() ? std::optional(last_progress_)
                                                        : std::nullopt;
}

bool CallerSession::owes_answer() const {
  const auto exchange = exchange_.lock();
  return state_ == State::kReading ||
         (state_ == State::kAnswering && (exchange == nullptr || !exchange->stream_begun()));
}

void CallerSession::LogCutByStop() {
  if (const auto exchange = exchange_.lock(); exchange != nullptr) {
    exchange->LogCutByStop();
  } else if (owes_answer()) {
    context_.log.Write(Severity::kState, "request_cut",
                       {{"outcome", "cut_by_stop"}, {"whole", state_ == State::kAnswering}});
  }
}

asio::awaitable<bool> CallerSession::WaitForRequest() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  const Time since = Now();
  const auto time_left = [&] {
    const auto configuration = context_.fleet.configuration();
    const CallerLimits limits = configuration == nullptr ? CallerLimits{} : configuration->limits;
    return since + limits.idle_timeout - Now();
  };
  ErrorCode error;
  do {
    SetReadTimeout(std::max(time_left(), Duration{0}));
    idle_since_ = since;
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                asio::redirect_error(asio::use_awaitable, error));
    // A newer configuration may have raised the limit meanwhile.
  } while (error && timed_out_ && time_left() > Duration{0});
  idle_since_.reset();
  timer_.cancel();
  co_return !error;
}

asio::awaitable<CallerSession::ReadResult> CallerSession::RejectUnreadable(ErrorCode error) {
  if (refused_upload_) {
    co_await Reject(kUnavailable, "too many bodies are held", "");
  } else if (timed_out_) {
    co_await Reject(kRequestTimeout, "the request took too long to arrive", "");
  } else if (error == http::error::header_limit) {
    co_await Reject(kHeadTooLarge, "the head is too large", "");
  } else if (error == http::error::body_limit) {
    co_await Reject(kTooLarge, "the body is too large", "");
  } else if (error.category() == http::make_error_code(http::error::bad_method).category() &&
             error != http::error::end_of_stream && error != http::error::partial_message) {
    const std::string reason = absl::StrCat("malformed request: ", error.message());
    co_await Reject(kBadRequest, reason, "");
  } else {
    co_return ReadResult::kClosed;
  }
  co_return ReadResult::kRejected;
}

void CallerSession::HoldRequest(const Parser& parser) {
  policy::RequestMemory& memory = context_.request_memory;
  last_progress_ = Now();
  memory.Update(*upload_, parser.get().body().capacity() + buffer_.capacity(), last_progress_);
  while (const auto excess = memory.Excess(last_progress_)) {
    CallerSession* const session = context_.uploads.at(*excess);
    context_.log.Write(Severity::kFailure, "request_over_memory",
                       {{"held", memory.bytes()},
                        {"limit", memory.limit_bytes()},
                        {"idle_ms", Milliseconds(last_progress_ - session->last_progress_)},
                        {"requests", context_.uploads.size()}});
    ++context_.refused_uploads;
    session->ReleaseRequest();
    session->RefuseUpload();
  }
}

void CallerSession::ReleaseRequest() {
  if (upload_) {
    context_.uploads.erase(*upload_);
    context_.request_memory.Remove(*upload_);
    upload_.reset();
  }
}

asio::awaitable<ErrorCode> CallerSession::ReadBody(Parser& parser) {
  upload_ = context_.request_memory.Add(Now());
  context_.uploads[*upload_] = this;
  parser.eager(true);
  HoldRequest(parser);
  ErrorCode error;
  while (!error && !refused_upload_ && !parser.is_done()) {
    co_await http::async_read_some(socket_, buffer_, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (!error && !refused_upload_) {
      HoldRequest(parser);
    }
  }
  if (refused_upload_) {
    error = asio::error::operation_aborted;
  }
  if (error) {
    ReleaseRequest();
    // The connection may be open for a while until the caller has received the refusal.
    std::string().swap(parser.get().body());
  } else {
    context_.request_memory.Complete(*upload_);
  }
  co_return error;
}

asio::awaitable<CallerSession::ReadResult> CallerSession::ReadRequest(Parser& parser) {
  const auto configuration = context_.fleet.configuration();
  const CallerLimits limits = configuration == nullptr ? CallerLimits{} : configuration->limits;
  parser.header_limit(limits.max_header_bytes);
  buffer_.max_size(limits.max_header_bytes + kBufferMargin);
  parser.body_limit(limits.max_body_bytes);
  SetReadTimeout(limits.header_timeout);
  last_progress_ = Now();
  refused_upload_ = false;
  ErrorCode error;
  co_await http::async_read_header(socket_, buffer_, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    SetReadTimeout(kBodyTimeout);
    error = co_await ReadBody(parser);
  }
  timer_.cancel();
  if (!socket_.is_open()) {
    co_return ReadResult::kClosed;
  }
  if (error == asio::error::operation_aborted && !timed_out_ && !refused_upload_) {
    LogCutByStop();
    co_return ReadResult::kClosed;
  }
  state_ = State::kAnswering;
  if (error) {
    co_return co_await RejectUnreadable(error);
  }
  co_return ReadResult::kRequest;
}

asio::awaitable<bool> CallerSession::Reject(unsigned status, std::string_view reason,
                                            std::string_view request_id) {
  context_.log.Write(Severity::kFailure, "request_refused",
                     {{"request", request_id}, {"status", status}, {"reason", reason}});
  const bool unparsed = request_id.empty();
  if (unparsed) {
    writer_.CloseAfterResponse();
  }
  LocalResponse response{.status = status, .reason = reason, .request_id = request_id};
  if (status == kUnavailable) {
    response.retry_after = kRetryAfter;
  }
  co_return co_await writer_.WriteLocalResponse(response);
}

void CallerSession::WatchForDisconnect(const std::weak_ptr<Exchange>& exchange) {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this(), exchange](ErrorCode error) {
                       const auto active = exchange.lock();
                       if (error || active == nullptr) {
                         return;
                       }
                       if (IsClosedByPeer(self->socket_)) {
                         active->CallerDisconnected();
                         return;
                       }
                       // A pipelined request keeps the socket readable; poll for the disconnect
                       // instead.
                       self->disconnect_timer_.expires_after(kDisconnectPollInterval);
                       self->disconnect_timer_.async_wait([self, exchange](ErrorCode cancelled) {
                         if (!cancelled && exchange.lock() != nullptr) {
                           self->WatchForDisconnect(exchange);
                         }
                       });
                     });
}

asio::awaitable<bool> CallerSession::ServeRequest(Parser& parser) {
  const Time arrived = Now();
  auto message = parser.release();
  auto request = context_.headers.DecodeRequest(message.base());
  if (!request.ok()) {
    writer_.CloseAfterResponse();
    const std::string reason(request.status().message());
    co_return co_await Reject(kBadRequest, reason, "unknown");
  }
  const std::string id = request->id;
  if (context_.monitor.saturated()) {
    writer_.CloseAfterResponse();
    co_return co_await Reject(kUnavailable, "the gateway is overloaded", id);
  }
  const auto configuration = context_.fleet.configuration();
  if (configuration == nullptr) {
    co_return co_await Reject(kUnavailable, "no configuration is known yet", id);
  }
  auto route = configuration->FindRoute(request->host, request->path);
  if (route == nullptr) {
    co_return co_await Reject(kNotFound, "no route", id);
  }
  std::string customer;
  if (configuration->has_customers && !route->is_public) {
    const auto found = configuration->customers.find(request->api_key);
    if (found == configuration->customers.end()) {
      co_return co_await Reject(kUnauthorized, "unknown key", id);
    }
    customer = found->second;
  }
  AcceptedRequest accepted{.head = message.base(),
                           .body = std::make_shared<const std::string>(std::move(message.body())),
                           .request = *std::move(request),
                           .route = std::move(route),
                           .customer = std::move(customer),
                           .configuration_version = configuration->version,
                           .arrived = arrived};
  const auto exchange = std::make_shared<Exchange>(context_, writer_, std::move(accepted));
  exchange_ = exchange;
  WatchForDisconnect(exchange);
  const bool complete = co_await exchange->Run();
  ErrorCode ignored;
  socket_.cancel(ignored);
  disconnect_timer_.cancel();
  co_return complete;
}

asio::awaitable<void> CallerSession::LingeringClose() {
  // Closing a socket with unread input sends a reset, which could discard the response in transit.
  state_ = State::kClosing;
  ErrorCode error;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  SetReadTimeout(kLingeringCloseTimeout);
  std::array<char, 4096> discarded{};
  std::size_t drained = 0;
  while (!error && drained < kLingeringCloseBytes) {
    drained += co_await socket_.async_read_some(asio::buffer(discarded),
                                                asio::redirect_error(asio::use_awaitable, error));
  }
  timer_.cancel();
}

asio::awaitable<void> CallerSession::Run(std::shared_ptr<CallerSession> session) {
  try {
    co_await session->ServeRequests();
  } catch (...) {
    session->ReleaseRequest();
    throw;
  }
}

asio::awaitable<void> CallerSession::ServeRequests() {
  bool open = true;
  while (open) {
    if (!co_await WaitForRequest()) {
      break;
    }
    if (!context_.drain.MayRead(Now())) {
      break;
    }
    state_ = State::kReading;
    Parser parser;
    const ReadResult result = co_await ReadRequest(parser);
    if (result == ReadResult::kClosed) {
      break;
    }
    if (result == ReadResult::kRejected) {
      co_await LingeringClose();
      break;
    }
    const bool keep_alive = parser.get().keep_alive();
    if (!keep_alive || context_.drain.draining() || context_.monitor.overloaded()) {
      writer_.CloseAfterResponse();
    }
    writer_.ResetForNextResponse();
    const bool complete = co_await ServeRequest(parser);
    ReleaseRequest();
    if (complete && writer_.close_after_response()) {
      co_await LingeringClose();
    }
    open = complete && !writer_.close_after_response();
    state_ = State::kWaiting;
  }
  ReleaseRequest();
  state_ = State::kClosing;
  ErrorCode ignored;
  socket_.close(ignored);
}

}  // namespace lagoonwind::gateway
