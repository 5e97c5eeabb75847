#include "caller_server.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "digest.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using ErrorCode = boost::system::error_code;
using nlohmann::json;
using policy::Outcome;
using policy::Reason;
using CallerMessage = bhttp::request<bhttp::string_body>;

constexpr std::string_view kModelPath = "/v1/chat/completions";
constexpr std::string_view kServicePathPrefix = "/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kOutcomeField = "Lagoonwind-Outcome";
constexpr std::string_view kRequestIdField = "Lagoonwind-Request-Id";
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
/// Value of the Retry-After field for rejected requests, in seconds.
constexpr std::string_view kRetryAfterSeconds = "1";

asio::redirect_error_t<asio::use_awaitable_t<>> Redirect(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

std::string_view ToStringView(beast::string_view text) { return {text.data(), text.size()}; }

/// An error response, sent as application/problem+json.
struct Problem {
  bhttp::status status = bhttp::status::bad_request;
  std::string detail;
  Outcome outcome = Outcome::kNotRun;
};

/// Returns the error response for a request that ended without a complete response from a backend
/// server; docs/OUTCOMES.md lists them.
Problem ProblemFor(const ResponseEnd& end) {
  const std::string detail(policy::Name(end.reason));
  switch (end.reason) {
    case Reason::kQueueFull:
      return {bhttp::status::too_many_requests, "the customer's queue is full", end.outcome};
    case Reason::kQuarantined:
      return {bhttp::status::unprocessable_entity, "this request crashed backend servers",
              end.outcome};
    case Reason::kKeyConflict:
    case Reason::kKeyRunning:
    case Reason::kKeyExpired:
      return {bhttp::status::conflict, detail, end.outcome};
    case Reason::kTimeout:
      return {bhttp::status::gateway_timeout, "the backend server took too long", end.outcome};
    default:
      return {end.outcome == Outcome::kNotRun ? bhttp::status::service_unavailable
                                              : bhttp::status::bad_gateway,
              detail, end.outcome};
  }
}

/// Target that a request names, and the path to send to the backend server.
struct ResolvedTarget {
  std::string name;
  std::string backend_path;
};

}  // namespace

/// Connection of one caller. Runs on its own strand.
class CallerServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(CallerServer& server, http::Tcp::socket socket)
      : server_(server), stream_(std::move(socket)) {
    ++server_.connections_;
  }
  ~Connection() { --server_.connections_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  asio::awaitable<void> Run() {
    auto self = shared_from_this();
    bool open = true;
    while (open) {
      open = co_await ServeRequest();
    }
    ErrorCode ignored;
    stream_.socket().shutdown(http::Tcp::socket::shutdown_both, ignored);
  }

 private:
  /// Reads one request and responds to it. Returns false if the connection is to be closed.
  asio::awaitable<bool> ServeRequest() {
    bhttp::request_parser<bhttp::string_body> parser;
    parser.header_limit(limits::kMaxHeaderBytes);
    parser.body_limit(limits::kMaxBodyBytes);
    stream_.expires_after(limits::kCallerReadTimeout);
    ErrorCode error;
    co_await bhttp::async_read(stream_, buffer_, parser, Redirect(error));
    stream_.expires_never();
    id_ =
        RequestId{.entry = server_.context_.incarnation, .number = ++server_.last_request_number_};
    if (error) {
      co_await RejectUnreadable(error);
      co_return false;
    }
    CallerMessage message = parser.release();
    keep_alive_ = message.keep_alive();
    auto content = ParseRequest(std::move(message));
    if (!content) {
      co_return co_await WriteProblem(problem_);
    }
    co_return co_await HandleRequest(*std::move(content));
  }

  asio::awaitable<void> RejectUnreadable(ErrorCode error) {
    keep_alive_ = false;
    Problem problem{.detail = "the request isn't HTTP"};
    if (error == bhttp::error::body_limit) {
      problem = {bhttp::status::payload_too_large, "the body is too large"};
    } else if (error == bhttp::error::header_limit) {
      problem = {bhttp::status::request_header_fields_too_large, "the header is too large"};
    } else if (error.category() != make_error_code(bhttp::error::end_of_stream).category() ||
               error == bhttp::error::end_of_stream) {
      co_return;
    }
    co_await WriteProblem(std::move(problem));
  }

  std::optional<CallerRequest::Content> Reject(bhttp::status status, std::string detail) {
    problem_ = Problem{.status = status, .detail = std::move(detail)};
    return std::nullopt;
  }

  /// Validates a message and converts it to a request; sets problem_ on failure.
  std::optional<CallerRequest::Content> ParseRequest(CallerMessage message) {
    const auto configuration = server_.context_.configuration.current();
    if (configuration->offset < 0) {
      return Reject(bhttp::status::service_unavailable, "no configuration is in force yet");
    }
    const auto authorization = ToStringView(message[bhttp::field::authorization]);
    const CustomerRule* customer =
        authorization.starts_with(kBearerPrefix)
            ? configuration->CustomerByToken(Sha256Hex(authorization.substr(kBearerPrefix.size())))
            : nullptr;
    if (customer == nullptr) {
      return Reject(bhttp::status::unauthorized, "the bearer token is missing or unknown");
    }
    const auto resolved = ResolveTarget(message);
    if (!resolved) {
      return std::nullopt;
    }
    const auto target = HandleOf<TargetId>(resolved->name);
    const TargetRule* rule = configuration->Target(target);
    if (rule == nullptr) {
      return Reject(bhttp::status::not_found,
                    absl::StrCat("there is no model or service '", resolved->name, "'"));
    }
    return MakeContent(std::move(message), *customer, *rule, *resolved);
  }

  std::optional<ResolvedTarget> ResolveTarget(const CallerMessage& message) {
    const auto path = ToStringView(message.target());
    if (path == kModelPath) {
      return ResolveModelTarget(message);
    }
    if (path.starts_with(kServicePathPrefix)) {
      const auto rest = path.substr(kServicePathPrefix.size());
      const auto end = std::min(rest.find_first_of("/?"), rest.size());
      return ResolvedTarget{.name = std::string(rest.substr(0, end)),
                            .backend_path = std::string(path)};
    }
    Reject(bhttp::status::not_found, "there is nothing at this path");
    return std::nullopt;
  }

  std::optional<ResolvedTarget> ResolveModelTarget(const CallerMessage& message) {
    if (message.method() != bhttp::verb::post) {
      Reject(bhttp::status::bad_request, "a model takes POST only");
      return std::nullopt;
    }
    const json body = json::parse(message.body(), nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string() ||
        !body.contains("messages") || !body["messages"].is_array()) {
      Reject(bhttp::status::bad_request,
             "the body isn't a chat completion; it needs model and messages");
      return std::nullopt;
    }
    return ResolvedTarget{.name = body["model"], .backend_path = std::string(kModelPath)};
  }

  std::optional<CallerRequest::Content> MakeContent(CallerMessage message,
                                                    const CustomerRule& customer,
                                                    const TargetRule& rule,
                                                    const ResolvedTarget& resolved) {
    const std::string key(ToStringView(message["Idempotency-Key"]));
    if (key.size() > kMaxIdempotencyKeyBytes) {
      return Reject(bhttp::status::bad_request, "the idempotency key is too long");
    }
    CallerRequest::Content content{
        .id = id_,
        .customer_name = customer.name,
        .method = std::string(ToStringView(message.method_string())),
        .path = resolved.backend_path,
        .content_type = std::string(ToStringView(message[bhttp::field::content_type])),
        .body = std::move(message.body()),
        .idempotency_key = key};
    const std::uint64_t route_hash = StableHash(absl::StrCat(content.method, " ", content.path));
    content.traits = policy::RequestTraits{
        .customer = HandleOf<CustomerId>(customer.name),
        .target = HandleOf<TargetId>(rule.name),
        .digest = {StableHash(content.body, route_hash)},
        .repeatable = rule.execution_semantics == ExecutionSemantics::kIdempotent,
        .idempotency_key =
            key.empty() ? Digest{} : Digest{StableHash(key, StableHash(customer.name))}};
    return content;
  }

  /// Passes a request to the policy and writes its response. Returns false if the connection is to
  /// be closed.
  asio::awaitable<bool> HandleRequest(CallerRequest::Content content) {
    auto executor = co_await asio::this_coro::executor;
    auto request = std::make_shared<CallerRequest>(std::move(content), executor);
    server_.requests_.Insert(request);
    server_.context_.policy.Post(
        policy::RequestArrived{.id = id_, .traits = request->content().traits});
    WatchCaller();
    const bool open = co_await WriteResponse(*request);
    last_responded_ = id_;
    server_.requests_.Erase(id_);
    if (!open) {
      server_.context_.policy.Post(policy::CallerDisconnected{.id = id_});
    }
    co_return open;
  }

  asio::awaitable<bool> WriteResponse(CallerRequest& request) {
    ResponsePart first = co_await request.NextPart();
    if (const auto* end = std::get_if<ResponseEnd>(&first)) {
      RecordOutcome(request, *end);
      if (end->reason == Reason::kCallerLeft) {
        co_return false;
      }
      co_return co_await WriteProblem(ProblemFor(*end));
    }
    const auto head = std::get<ResponseHead>(first);
    const std::chrono::duration<double> time_to_head =
        std::chrono::steady_clock::now() - request.arrived_at();
    server_.context_.metrics.ResponseStarted(request.content().customer_name, time_to_head.count());
    if (head.content_type.starts_with(kEventStream)) {
      co_return co_await WriteStreamedResponse(request, head);
    }
    co_return co_await WriteBufferedResponse(request, head);
  }

  /// Buffers a response until it is complete, so that its outcome can be sent in a header field.
  asio::awaitable<bool> WriteBufferedResponse(CallerRequest& request, ResponseHead head) {
    std::string body;
    for (;;) {
      ResponsePart part = co_await request.NextPart();
      if (const auto* data = std::get_if<std::string>(&part)) {
        body += *data;
        continue;
      }
      const auto end = std::get<ResponseEnd>(part);
      RecordOutcome(request, end);
      const bool unframed = end.reason == Reason::kUnframedEnd;
      if (end.outcome != Outcome::kComplete && !unframed) {
        if (end.reason == Reason::kCallerLeft) {
          co_return false;
        }
        co_return co_await WriteProblem(ProblemFor(end));
      }
      // Without a length, as the backend server sent it: the caller must not know more.
      keep_alive_ = keep_alive_ && !unframed;
      bhttp::response<bhttp::string_body> response{bhttp::int_to_status(head.status), kHttp11};
      SetCommonFields(response, head.content_type);
      SetField(response, kOutcomeField, policy::Name(end.outcome));
      response.body() = std::move(body);
      if (!unframed) {
        response.prepare_payload();
      }
      http::SetResetOnClose(stream_.socket(), unframed);
      const bool open = co_await Write(response);
      http::SetResetOnClose(stream_.socket(), false);
      co_return open;
    }
  }

  /// Forwards a response as it arrives and sends its outcome in a trailer field.
  asio::awaitable<bool> WriteStreamedResponse(CallerRequest& request, ResponseHead head) {
    bhttp::response<bhttp::empty_body> response{bhttp::int_to_status(head.status), kHttp11};
    SetCommonFields(response, head.content_type);
    SetField(response, "Trailer", kOutcomeField);
    response.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer{response};
    ErrorCode error;
    stream_.expires_after(limits::kCallerWriteTimeout);
    co_await bhttp::async_write_header(stream_, serializer, Redirect(error));
    while (!error) {
      ResponsePart part = co_await request.NextPart();
      if (const auto* end = std::get_if<ResponseEnd>(&part)) {
        RecordOutcome(request, *end);
        if (end->outcome != Outcome::kComplete) {
          co_return false;
        }
        co_return co_await WriteLastChunk();
      }
      const auto& data = std::get<std::string>(part);
      stream_.expires_after(limits::kCallerWriteTimeout);
      co_await asio::async_write(stream_, bhttp::make_chunk(asio::buffer(data)), Redirect(error));
    }
    co_return false;
  }

  asio::awaitable<bool> WriteLastChunk() {
    bhttp::fields trailer;
    trailer.set(beast::string_view(kOutcomeField.data(), kOutcomeField.size()), "complete");
    ErrorCode error;
    co_await asio::async_write(stream_, bhttp::make_chunk_last(trailer), Redirect(error));
    stream_.expires_never();
    co_return !error && keep_alive_;
  }

  asio::awaitable<bool> WriteProblem(Problem problem) {
    const std::string title(ToStringView(bhttp::obsolete_reason(problem.status)));
    const json body{{"title", title},
                    {"detail", problem.detail},
                    {"outcome", policy::Name(problem.outcome)},
                    {"request_id", FormatRequestId(id_)}};
    bhttp::response<bhttp::string_body> response{problem.status, kHttp11};
    SetCommonFields(response, "application/problem+json");
    SetField(response, kOutcomeField, policy::Name(problem.outcome));
    if (problem.status == bhttp::status::too_many_requests ||
        problem.status == bhttp::status::service_unavailable) {
      SetField(response, "Retry-After", kRetryAfterSeconds);
    }
    response.body() = body.dump();
    response.prepare_payload();
    co_return co_await Write(response);
  }

  asio::awaitable<bool> Write(bhttp::response<bhttp::string_body>& response) {
    ErrorCode error;
    stream_.expires_after(limits::kCallerWriteTimeout);
    co_await bhttp::async_write(stream_, response, Redirect(error));
    stream_.expires_never();
    co_return !error && keep_alive_;
  }

  template <class Message>
  static void SetField(Message& response, std::string_view name, std::string_view value) {
    response.set(beast::string_view(name.data(), name.size()),
                 beast::string_view(value.data(), value.size()));
  }

  template <class Message>
  void SetCommonFields(Message& response, std::string_view content_type) {
    SetField(response, "Content-Type", content_type);
    SetField(response, kRequestIdField, FormatRequestId(id_));
    response.keep_alive(keep_alive_);
  }

  void RecordOutcome(const CallerRequest& request, const ResponseEnd& end) {
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - request.arrived_at();
    server_.context_.metrics.RequestFinished(request.content().customer_name, end.outcome,
                                             elapsed.count());
    LOG(INFO) << "event=request_finished request=" << FormatRequestId(id_)
              << " customer=" << request.content().customer_name
              << " outcome=" << policy::Name(end.outcome) << " reason=" << policy::Name(end.reason);
  }

  /// Detects that the caller closes its connection while its request waits or runs.
  void WatchCaller() {
    stream_.socket().async_wait(
        http::Tcp::socket::wait_read, [self = shared_from_this(), id = id_](ErrorCode error) {
          if (error || self->last_responded_ == id) {
            return;
          }
          char byte = 0;
          ErrorCode peek_error;
          self->stream_.socket().non_blocking(true, peek_error);
          const auto count = self->stream_.socket().receive(
              asio::buffer(&byte, 1), http::Tcp::socket::message_peek, peek_error);
          if (peek_error == asio::error::would_block || count > 0) {
            return;
          }
          self->server_.context_.policy.Post(policy::CallerDisconnected{.id = id});
          if (const auto request = self->server_.requests_.Find(id)) {
            request->Finish({.outcome = Outcome::kUnknown, .reason = Reason::kCallerLeft});
          }
        });
  }

  CallerServer& server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  RequestId id_;
  /// The last request whose response was written.
  RequestId last_responded_;
  bool keep_alive_ = false;
  Problem problem_;
};

asio::awaitable<void> CallerServer::Accept(http::Tcp::acceptor& acceptor) {
  while (acceptor.is_open()) {
    auto strand = asio::make_strand(context_.io);
    ErrorCode error;
    http::Tcp::socket socket = co_await acceptor.async_accept(strand, Redirect(error));
    if (error || connections_ >= limits::kMaxCallerConnections) {
      continue;
    }
    auto connection = std::make_shared<Connection>(*this, std::move(socket));
    asio::co_spawn(
        strand, [connection] { return connection->Run(); }, asio::detached);
  }
}

}  // namespace lagoonwind::runtime
