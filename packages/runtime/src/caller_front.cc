#include "caller_front.h"

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
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kOutcomeField = "Lagoonwind-Outcome";
constexpr std::string_view kRequestIdField = "Lagoonwind-Request-Id";
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
/// Seconds that a refused caller is asked to wait.
constexpr std::string_view kRetryAfterSeconds = "1";

asio::redirect_error_t<asio::use_awaitable_t<>> Redirect(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

std::string_view View(beast::string_view text) { return {text.data(), text.size()}; }

/// An error reply.
struct Problem {
  bhttp::status status = bhttp::status::bad_request;
  std::string detail;
  Outcome outcome = Outcome::kNotRun;
};

/// The reply for a request that ended without an answer; docs/OUTCOMES.md lists them.
Problem ProblemFor(const AnswerEnd& end) {
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

struct TargetChoice {
  std::string name;
  std::string backend_path;
};

}  // namespace

/// One caller's connection. Runs on a strand of its own.
class CallerFront::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(CallerFront& front, http::Tcp::socket socket)
      : front_(front), stream_(std::move(socket)) {
    ++front_.connections_;
  }
  ~Connection() { --front_.connections_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  asio::awaitable<void> Run() {
    auto self = shared_from_this();
    bool open = true;
    while (open) {
      open = co_await ServeOne();
    }
    ErrorCode ignored;
    stream_.socket().shutdown(http::Tcp::socket::shutdown_both, ignored);
  }

 private:
  /// Reads one request and answers it. False if the connection is over.
  asio::awaitable<bool> ServeOne() {
    bhttp::request_parser<bhttp::string_body> parser;
    parser.header_limit(limits::kMaxHeaderBytes);
    parser.body_limit(limits::kMaxBodyBytes);
    stream_.expires_after(limits::kCallerReadTimeout);
    ErrorCode error;
    co_await bhttp::async_read(stream_, buffer_, parser, Redirect(error));
    stream_.expires_never();
    id_ = RequestId{.entry = front_.context_.incarnation, .number = ++front_.last_number_};
    if (error) {
      co_await RefuseUnreadable(error);
      co_return false;
    }
    CallerMessage message = parser.release();
    keep_alive_ = message.keep_alive();
    auto content = Check(std::move(message));
    if (!content) {
      co_return co_await WriteProblem(problem_);
    }
    co_return co_await Answer(*std::move(content));
  }

  asio::awaitable<void> RefuseUnreadable(ErrorCode error) {
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

  std::optional<CallerRequest::Content> Refuse(bhttp::status status, std::string detail) {
    problem_ = Problem{.status = status, .detail = std::move(detail)};
    return std::nullopt;
  }

  /// Turns a message into a request, or sets problem_.
  std::optional<CallerRequest::Content> Check(CallerMessage message) {
    const auto configuration = front_.context_.configuration.current();
    if (configuration->offset < 0) {
      return Refuse(bhttp::status::service_unavailable, "no configuration is in force yet");
    }
    const auto authorization = View(message[bhttp::field::authorization]);
    const CustomerRule* customer =
        authorization.starts_with(kBearer)
            ? configuration->CustomerByToken(Sha256Hex(authorization.substr(kBearer.size())))
            : nullptr;
    if (customer == nullptr) {
      return Refuse(bhttp::status::unauthorized, "the bearer token is missing or unknown");
    }
    const auto choice = ChooseTarget(message);
    if (!choice) {
      return std::nullopt;
    }
    const auto target = HandleOf<TargetId>(choice->name);
    const TargetRule* rule = configuration->Target(target);
    if (rule == nullptr) {
      return Refuse(bhttp::status::not_found,
                    absl::StrCat("there is no model or service '", choice->name, "'"));
    }
    return MakeContent(std::move(message), *customer, *rule, *choice);
  }

  std::optional<TargetChoice> ChooseTarget(const CallerMessage& message) {
    const auto path = View(message.target());
    if (path == kModelPath) {
      return ChooseModel(message);
    }
    if (path.starts_with(kServicePrefix)) {
      const auto rest = path.substr(kServicePrefix.size());
      const auto end = std::min(rest.find_first_of("/?"), rest.size());
      return TargetChoice{.name = std::string(rest.substr(0, end)),
                          .backend_path = std::string(path)};
    }
    Refuse(bhttp::status::not_found, "there is nothing at this path");
    return std::nullopt;
  }

  std::optional<TargetChoice> ChooseModel(const CallerMessage& message) {
    if (message.method() != bhttp::verb::post) {
      Refuse(bhttp::status::bad_request, "a model takes POST only");
      return std::nullopt;
    }
    const json body = json::parse(message.body(), nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string() ||
        !body.contains("messages") || !body["messages"].is_array()) {
      Refuse(bhttp::status::bad_request,
             "the body isn't a chat completion; it needs model and messages");
      return std::nullopt;
    }
    return TargetChoice{.name = body["model"], .backend_path = std::string(kModelPath)};
  }

  std::optional<CallerRequest::Content> MakeContent(CallerMessage message,
                                                    const CustomerRule& customer,
                                                    const TargetRule& rule,
                                                    const TargetChoice& choice) {
    const std::string key(View(message["Idempotency-Key"]));
    if (key.size() > kMaxIdempotencyKeyBytes) {
      return Refuse(bhttp::status::bad_request, "the idempotency key is too long");
    }
    CallerRequest::Content content{
        .id = id_,
        .customer_name = customer.name,
        .method = std::string(View(message.method_string())),
        .path = choice.backend_path,
        .content_type = std::string(View(message[bhttp::field::content_type])),
        .body = std::move(message.body()),
        .idempotency_key = key};
    const std::uint64_t place = StableHash(absl::StrCat(content.method, " ", content.path));
    content.traits = policy::RequestTraits{
        .customer = HandleOf<CustomerId>(customer.name),
        .target = HandleOf<TargetId>(rule.name),
        .digest = {StableHash(content.body, place)},
        .repeatable = rule.repeatability == Repeatability::kRepeatable,
        .idempotency_key =
            key.empty() ? Digest{} : Digest{StableHash(key, StableHash(customer.name))}};
    return content;
  }

  /// Hands a request over and writes what comes back. False if the connection is over.
  asio::awaitable<bool> Answer(CallerRequest::Content content) {
    auto executor = co_await asio::this_coro::executor;
    auto request = std::make_shared<CallerRequest>(std::move(content), executor);
    front_.table_.Insert(request);
    front_.context_.policy.Post(
        policy::RequestArrived{.id = id_, .traits = request->content().traits});
    WatchCaller();
    const bool open = co_await WriteAnswer(*request);
    answered_ = id_;
    front_.table_.Erase(id_);
    if (!open) {
      front_.context_.policy.Post(policy::CallerDisconnected{.id = id_});
    }
    co_return open;
  }

  asio::awaitable<bool> WriteAnswer(CallerRequest& request) {
    AnswerPart first = co_await request.NextPart();
    if (const auto* end = std::get_if<AnswerEnd>(&first)) {
      Observe(request, *end);
      if (end->reason == Reason::kCallerLeft) {
        co_return false;
      }
      co_return co_await WriteProblem(ProblemFor(*end));
    }
    const auto head = std::get<AnswerHead>(first);
    const std::chrono::duration<double> waited =
        std::chrono::steady_clock::now() - request.arrived();
    front_.context_.metrics.CallerResponseStarted(request.content().customer_name, waited.count());
    if (head.content_type.starts_with(kEventStream)) {
      co_return co_await WriteStream(request, head);
    }
    co_return co_await WriteWhole(request, head);
  }

  /// Holds an answer back until it is whole, so that its outcome fits into the header.
  asio::awaitable<bool> WriteWhole(CallerRequest& request, AnswerHead head) {
    std::string body;
    for (;;) {
      AnswerPart part = co_await request.NextPart();
      if (const auto* data = std::get_if<std::string>(&part)) {
        body += *data;
        continue;
      }
      const auto end = std::get<AnswerEnd>(part);
      Observe(request, end);
      if (end.outcome != Outcome::kComplete) {
        co_return end.reason != Reason::kCallerLeft&& co_await WriteProblem(ProblemFor(end));
      }
      bhttp::response<bhttp::string_body> reply{bhttp::int_to_status(head.status), kHttp11};
      SetCommonFields(reply, head.content_type);
      SetField(reply, kOutcomeField, policy::Name(Outcome::kComplete));
      reply.body() = std::move(body);
      reply.prepare_payload();
      co_return co_await Write(reply);
    }
  }

  asio::awaitable<bool> WriteStream(CallerRequest& request, AnswerHead head) {
    bhttp::response<bhttp::empty_body> reply{bhttp::int_to_status(head.status), kHttp11};
    SetCommonFields(reply, head.content_type);
    SetField(reply, "Trailer", kOutcomeField);
    reply.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer{reply};
    ErrorCode error;
    stream_.expires_after(limits::kCallerWriteTimeout);
    co_await bhttp::async_write_header(stream_, serializer, Redirect(error));
    while (!error) {
      AnswerPart part = co_await request.NextPart();
      if (const auto* end = std::get_if<AnswerEnd>(&part)) {
        Observe(request, *end);
        co_return end->outcome == Outcome::kComplete&& co_await WriteLastChunk();
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
    const std::string title(View(bhttp::obsolete_reason(problem.status)));
    const json body{{"title", title},
                    {"detail", problem.detail},
                    {"outcome", policy::Name(problem.outcome)},
                    {"request_id", FormatRequestId(id_)}};
    bhttp::response<bhttp::string_body> reply{problem.status, kHttp11};
    SetCommonFields(reply, "application/problem+json");
    SetField(reply, kOutcomeField, policy::Name(problem.outcome));
    if (problem.status == bhttp::status::too_many_requests ||
        problem.status == bhttp::status::service_unavailable) {
      SetField(reply, "Retry-After", kRetryAfterSeconds);
    }
    reply.body() = body.dump();
    reply.prepare_payload();
    co_return co_await Write(reply);
  }

  asio::awaitable<bool> Write(bhttp::response<bhttp::string_body>& reply) {
    ErrorCode error;
    stream_.expires_after(limits::kCallerWriteTimeout);
    co_await bhttp::async_write(stream_, reply, Redirect(error));
    stream_.expires_never();
    co_return !error && keep_alive_;
  }

  template <class Reply>
  static void SetField(Reply& reply, std::string_view name, std::string_view value) {
    reply.set(beast::string_view(name.data(), name.size()),
              beast::string_view(value.data(), value.size()));
  }

  template <class Reply>
  void SetCommonFields(Reply& reply, std::string_view content_type) {
    SetField(reply, "Content-Type", content_type);
    SetField(reply, kRequestIdField, FormatRequestId(id_));
    reply.keep_alive(keep_alive_);
  }

  void Observe(const CallerRequest& request, const AnswerEnd& end) {
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - request.arrived();
    front_.context_.metrics.RequestFinished(request.content().customer_name, end.outcome,
                                            took.count());
    LOG(INFO) << "event=request_finished request=" << FormatRequestId(id_)
              << " customer=" << request.content().customer_name
              << " outcome=" << policy::Name(end.outcome) << " reason=" << policy::Name(end.reason);
  }

  /// Notices a caller that closes its connection while its request waits or runs.
  void WatchCaller() {
    stream_.socket().async_wait(
        http::Tcp::socket::wait_read, [self = shared_from_this(), id = id_](ErrorCode error) {
          if (error || self->answered_ == id) {
            return;
          }
          char byte = 0;
          ErrorCode peeked;
          self->stream_.socket().non_blocking(true, peeked);
          const auto count = self->stream_.socket().receive(
              asio::buffer(&byte, 1), http::Tcp::socket::message_peek, peeked);
          if (peeked == asio::error::would_block || count > 0) {
            return;
          }
          self->front_.context_.policy.Post(policy::CallerDisconnected{.id = id});
          if (const auto request = self->front_.table_.Find(id)) {
            request->Finish({.outcome = Outcome::kUnknown, .reason = Reason::kCallerLeft});
          }
        });
  }

  CallerFront& front_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  RequestId id_;
  /// The last request whose answer was written.
  RequestId answered_;
  bool keep_alive_ = false;
  Problem problem_;
};

asio::awaitable<void> CallerFront::Accept(http::Tcp::acceptor& acceptor) {
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
