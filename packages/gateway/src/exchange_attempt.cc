// A single attempt: connection, request, response. Retries are decided in exchange.cc.
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <boost/asio/use_awaitable.hpp>
#include <string_view>

#include "clock.h"
#include "exchange.h"
#include "retry_rules.h"

namespace lagoonwind::gateway {
namespace {

/// Time without progress after which an attempt of a retryable request is abandoned if another is
/// possible: a multiple of the route's objective, but at least the minimum below.
constexpr int kStallObjectiveMultiple = 2;
constexpr Duration kMinStallTimeout = std::chrono::milliseconds(900);
/// Largest response that is buffered before it is forwarded.
constexpr std::size_t kMaxBufferedResponseBytes = 1UL << 20U;
constexpr std::size_t kReadBufferBytes = 16UL << 10U;
/// Reads with whole events that show that the backend server responds without crashing.
constexpr int kEventReadsOfResponse = 2;
/// Time after the end of a connection until which other connections to the backend server break if
/// it has crashed.
constexpr Duration kCrashSpread = std::chrono::milliseconds(5);
/// Largest event of a stream that is buffered until it is complete.
constexpr std::size_t kMaxEventBytes = 256UL << 10U;

using ErrorCode = boost::system::error_code;

std::string_view ToStdView(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// True unless the response states another media type.
bool IsEventStream(const ResponseHead& head) {
  constexpr absl::string_view kEventStream = "text/event-stream";
  const std::string type(ToStdView(head[boost::beast::http::field::content_type]));
  return type.empty() ||
         absl::EqualsIgnoreCase(type.substr(0, type.find_first_of("; \t")), kEventStream);
}

}  // namespace

std::string Exchange::SerializeHead(const BackendServer& server) const {
  const ForwardOptions options{
      .customer = accepted_.customer,
      .expected_server = server.name,
      .time_left = std::chrono::duration_cast<milliseconds>(TimeLeft(Now())),
      .last_event_id = events_.last_id()};
  const RequestHead head = context_.headers.EncodeForward(accepted_.head, options);
  std::string text = absl::StrCat(std::string(ToStdView(head.method_string())), " ",
                                  std::string(ToStdView(head.target())), " HTTP/1.1\r\n");
  for (const auto& field : head) {
    text.append(ToStdView(field.name_string()))
        .append(": ")
        .append(ToStdView(field.value()))
        .append("\r\n");
  }
  const bool has_body = !accepted_.body->empty() || ToStdView(head.method_string()) != "GET";
  if (has_body) {
    absl::StrAppend(&text, "Content-Length: ", accepted_.body->size(), "\r\n");
  }
  text.append("\r\n");
  return text;
}

asio::awaitable<Exchange::AttemptResult> Exchange::AttemptServer(ServerId server_id) {
  const KnownServer* known = context_.fleet.Find(server_id);
  tried_servers_.push_back(server_id);
  ++attempts_;
  if (known == nullptr) {
    co_return AttemptResult::kNotSent;
  }
  const BackendServer server = known->server;
  last_server_ = server.name;
  // Counted before connecting, so that requests that arrive meanwhile take it into account.
  ++context_.outstanding[server_id];
  const auto& prompt = accepted_.request.prompt;
  if (prompt) {
    const auto& services = context_.fleet.configuration()->services;
    const auto service = services.find(service_);
    if (service != services.end() && service->second.engine) {
      context_.load.SetKvCacheCapacity(server_id, service->second.engine->kv_cache_tokens);
    }
    load_request_number_ = context_.load.RecordSent(server_id, *prompt, Now());
  }
  context_.cold_start_limiter.RecordSent(server_id, Now());
  context_.pace.RecordSent(server_id);
  BackendPool::Connection connection = context_.pool.Acquire(server_id);
  AttemptResult result = AttemptResult::kNotSent;
  const Time last_sent = sent_at_;
  if (connection == nullptr) {
    auto opened = co_await context_.pool.Open(server.address);
    if (opened.ok()) {
      connection = *std::move(opened);
    } else {
      context_.RecordServerFailure(server, Now());
      if (absl::IsUnavailable(opened.status())) {
        context_.crash_detector.OnConnectionRefused(server_id, Now());
        context_.fleet.AssumeRestarted(server_id, Now());
      }
      context_.log.Write(Severity::kFailure, "connect_failed",
                         {{"request", accepted_.request.id},
                          {"server", server.name},
                          {"reason", opened.status().ToString()}});
    }
  }
  if (abort_reason_ == AbortReason::kCallerDisconnected) {
    result = AttemptResult::kCallerDisconnected;
  } else if (abort_reason_ == AbortReason::kStopping) {
    result = AttemptResult::kStopping;
  } else if (abort_reason_ == AbortReason::kQuarantined) {
    result = AttemptResult::kQuarantined;
  } else if (connection != nullptr) {
    result = TimeLeft(Now()) < kMinAttemptTime
                 ? AttemptResult::kTimeout
                 : co_await AttemptOnConnection(std::move(connection), server);
  }
  connection_ = nullptr;
  if (attempts_ == 1 && version_ == policy::RolloutVersion::kTarget && sent_at_ == last_sent) {
    context_.rollouts.CancelChoice(service_, Now());
  }
  --context_.outstanding[server_id];
  if (prompt) {
    context_.load.RecordEnd(server_id, load_request_number_, Now());
  }
  co_return result;
}

asio::awaitable<Exchange::AttemptResult> Exchange::AttemptOnConnection(
    BackendPool::Connection connection, BackendServer server) {
  connection_ = connection;
  ReleaseResponse();
  response_number_ = context_.response_memory.Add(server.id);
  context_.receiving[response_number_] = this;
  BackendCall call(context_.headers, std::move(connection), accepted_.request.id,
                   [this](std::size_t bytes) {
                     return abort_reason_ == AbortReason::kNone
                                ? HoldResponse(bytes + events_.remainder().size())
                                : true;
                   });
  sent_at_ = Now();
  context_.rollouts.RecordSent(service_, server.version, sent_at_);
  attempt_first_byte_.reset();
  response_begun_ = false;
  event_reads_ = 0;
  ended_in_order_ = false;
  last_framing_ = BodyFraming::Kind::kNone;
  ++unresolved_attempts_;
  call.StartWrite(SerializeHead(server), accepted_.body);
  if (attempts_ == 1 && accepted_.request.prompt) {
    context_.share.RecordAdmitted(HandleOf<CustomerId>(accepted_.customer),
                                  accepted_.request.prompt->input_tokens, sent_at_);
  }
  const AttemptResult result = co_await ReceiveResponse(call, server);
  RecordVersionOutcome(server, result);
  if (result == AttemptResult::kNotExecuted) {
    --unresolved_attempts_;
  }
  if (!buffered_response_) {
    ReleaseResponse();
  }
  if (call.reusable() && abort_reason_ == AbortReason::kNone) {
    context_.pool.Release(server.id, call.connection(), call.response_info().keep_alive,
                          context_.MaxIdleConnections(service_));
  } else {
    // Ends a write of the request that the backend server doesn't read, which would keep the body.
    ErrorCode ignored;
    call.connection()->socket.close(ignored);
  }
  co_return result;
}

asio::awaitable<Exchange::AttemptResult> Exchange::ReceiveResponse(BackendCall& call,
                                                                   const BackendServer& server) {
  StartWatchdog(std::max(kMinStallTimeout,
                         decision_.estimate.queueing_delay + decision_.estimate.prefill_time +
                             kStallObjectiveMultiple * Duration{accepted_.route->objective}));
  const absl::Status read = co_await call.ReadHead();
  if (!read.ok()) {
    co_return ResponseInterrupted(read, server);
  }
  RecordProgress();
  const ResponseInfo& info = call.response_info();
  const unsigned status = call.head().result_int();
  last_framing_ = call.framing().kind;
  if (info.not_run || info.wrong_server) {
    const auto body = co_await call.ReadBody(kMaxBufferedResponseBytes);
    context_.log.Write(Severity::kFailure, "backend_refused",
                       {{"request", accepted_.request.id},
                        {"server", server.name},
                        {"status", status},
                        {"wrong_server", info.wrong_server},
                        {"body_whole", body.ok()},
                        {"running", decision_.estimate.running}});
    if (info.wrong_server) {
      context_.RecordServerFailure(server, Now());
    }
    co_return AttemptResult::kNotExecuted;
  }
  const bool success = status / 100 == 2;
  if (success && !info.is_signed) {
    co_return ResponseInterrupted(absl::DataLossError("success response without a signature"),
                                  server);
  }
  if (streaming() && success && IsEventStream(call.head()) && MayFollowStream(status)) {
    co_return co_await RelayStream(call, server);
  }
  co_return co_await BufferResponse(call, server);
}

void Exchange::RecordBreak(const BackendServer& server) {
  context_.crash_detector.OnConnectionBroken(server.id,
                                             {.digest = digest_,
                                              .segments = shared_segments_,
                                              .sent_at = sent_at_,
                                              .responded = event_reads_ >= kEventReadsOfResponse,
                                              .ended_in_order = ended_in_order_},
                                             Now());
  context_.ProbeAfterBreak(server);
}

Exchange::AttemptResult Exchange::ResponseInterrupted(const absl::Status& status,
                                                      const BackendServer& server) {
  const Time now = Now();
  const bool connection_broke = abort_reason_ == AbortReason::kNone;
  ReleaseResponse();
  if (connection_broke && absl::IsDataLoss(status)) {
    context_.metrics.CountFaultyResponse();
  }
  if (connection_broke) {
    RecordBreak(server);
  }
  if (connection_broke || abort_reason_ == AbortReason::kStalled ||
      abort_reason_ == AbortReason::kMemory) {
    context_.RecordServerFailure(server, now);
  }
  if (abort_reason_ != AbortReason::kCallerDisconnected) {
    context_.log.Write(
        Severity::kFailure, "answer_interrupted",
        {{"request", accepted_.request.id},
         {"server", server.name},
         {"reason", connection_broke ? status.ToString() : std::string(Describe(abort_reason_))},
         {"framing", Name(last_framing_)},
         {"after_ms", Milliseconds(now - sent_at_)},
         {"reused_connection", connection_ != nullptr && connection_->reused},
         {"last_event", events_.last_id()}});
  }
  switch (abort_reason_) {
    case AbortReason::kCallerDisconnected:
      return AttemptResult::kCallerDisconnected;
    case AbortReason::kTimeout:
      return AttemptResult::kTimeout;
    case AbortReason::kStopping:
      return AttemptResult::kStopping;
    case AbortReason::kQuarantined:
      return AttemptResult::kQuarantined;
    case AbortReason::kNone:
    case AbortReason::kStalled:
    case AbortReason::kMemory:
      break;
  }
  return stream_begun_ ? AttemptResult::kInterrupted : AttemptResult::kUnknown;
}

asio::awaitable<bool> Exchange::EndsInCrash(const BackendServer& server) {
  asio::steady_timer timer(context_.io, kCrashSpread);
  co_await timer.async_wait(asio::use_awaitable);
  co_return context_.crash_detector.BrokeWithin(server.id, 2 * kCrashSpread, Now());
}

void Exchange::RecordUnframedEnd(const BackendServer& server, std::size_t bytes) {
  const Time now = Now();
  ended_in_order_ = true;
  context_.health.RecordUnframedEnd(server.id);
  context_.log.Write(Severity::kRoutine, "unframed_end",
                     {{"request", accepted_.request.id},
                      {"server", server.name},
                      {"bytes", bytes},
                      {"last_event", events_.last_id()},
                      {"resumed", IsResumed()},
                      {"after_ms", Milliseconds(now - sent_at_)}});
}

std::string_view Exchange::Describe(AbortReason reason) {
  constexpr std::array<std::string_view, 7> kDescriptions{"",
                                                          "timeout",
                                                          "no progress",
                                                          "responses hold too much memory",
                                                          "the process stops",
                                                          "quarantined",
                                                          "the caller disconnected"};
  return kDescriptions[static_cast<std::size_t>(reason)];
}

void Exchange::RecordCompleteResponse() {
  RecordSegmentResponse();
  if (context_.suspects.RecordResponse(digest_, Now())) {
    context_.log.Write(
        Severity::kState, "request_cleared",
        {{"request", accepted_.request.id}, {"digest", absl::StrFormat("%x", digest_.value)}});
  }
}

void Exchange::RecordSegmentResponse() {
  context_.segments.RecordResponse(shared_segments_, Now());
}

void Exchange::RecordFirstByte(const BackendServer& server, bool failed) {
  if (response_begun_) {
    return;
  }
  response_begun_ = true;
  const Time now = Now();
  attempt_first_byte_ = now - sent_at_;
  const Duration expected = decision_.estimate.queueing_delay + decision_.estimate.prefill_time;
  context_.RecordPace(server,
                      {.expected = expected, .first_byte = now - sent_at_, .failed = failed}, now);
  if (accepted_.request.prompt) {
    context_.load.RecordFirstByte(server.id, load_request_number_, now, context_.monitor.lag());
    context_.metrics.ObserveStartError(Milliseconds(expected) / 1000,
                                       Milliseconds(now - sent_at_) / 1000);
  }
  if (first_byte_at_ == Time{}) {
    first_byte_at_ = now;
    context_.metrics.ObserveFirstByte(Name(accepted_.route->kind),
                                      Milliseconds(now - accepted_.arrived) / 1000);
  }
}

asio::awaitable<bool> Exchange::WriteEvents(BackendCall& call, std::string_view bytes) {
  if (bytes.empty()) {
    co_return true;
  }
  if (!stream_begun_) {
    stream_begun_ = true;
    stream_status_ = call.head().result_int();
    BodyFraming framing = call.framing();
    if (framing.kind == BodyFraming::Kind::kLength && accepted_.route->resumable) {
      // The length may change if the stream resumes on another backend server.
      framing = {.kind = BodyFraming::Kind::kChunked};
    }
    writer_.BeginResponse(call.head(), framing);
  }
  co_return co_await writer_.WriteBodyChunk(bytes);
}

asio::awaitable<Exchange::AttemptResult> Exchange::RelayStream(BackendCall& call,
                                                               const BackendServer& server) {
  const bool ends_with_connection = call.framing().kind == BodyFraming::Kind::kUntilClose;
  std::size_t bytes = 0;
  auto chunk = std::make_unique<std::array<char, kReadBufferBytes>>();
  for (;;) {
    const auto count = co_await call.ReadBodyChunk(*chunk);
    if (!count.ok()) {
      const AttemptResult result = ResponseInterrupted(count.status(), server);
      events_.DiscardRemainder();
      co_return result;
    }
    const bool at_body_end = *count == 0;
    bytes += *count;
    std::string complete_events;
    if (at_body_end) {
      const bool has_no_end = ends_with_connection && event_reads_ == 0;
      if (events_.inside_event() || has_no_end) {
        const AttemptResult result = ResponseInterrupted(
            absl::DataLossError("the response ended within or before an event"), server);
        events_.DiscardRemainder();
        co_return result;
      }
      complete_events = std::string(events_.remainder());
    } else {
      const std::string_view received(chunk->data(), *count);
      if (events_.HoldsResponseHead(received, context_.headers.request_id_field())) {
        const AttemptResult result = ResponseInterrupted(
            absl::DataLossError("an event holds the head of another response"), server);
        events_.DiscardRemainder();
        co_return result;
      }
      RecordFirstByte(server, false);
      complete_events = events_.Append(received);
      if (events_.remainder().size() > kMaxEventBytes) {
        const AttemptResult result =
            ResponseInterrupted(absl::ResourceExhaustedError(
                                    absl::StrCat("an event exceeds ", kMaxEventBytes, " bytes")),
                                server);
        events_.DiscardRemainder();
        co_return result;
      }
    }
    const bool ends_unstarted =
        abort_reason_ == AbortReason::kStopping || abort_reason_ == AbortReason::kQuarantined;
    if (!stream_begun_ && ends_unstarted) {
      // The caller gets a failure instead, which must not follow a part of the stream.
      co_return ResponseInterrupted(absl::AbortedError("aborted"), server);
    }
    if (!complete_events.empty()) {
      // Bytes of an incomplete event are no progress: a stalled backend server may still send some.
      RecordProgress();
      // An engine may crash right after the first event.
      if (++event_reads_ == kEventReadsOfResponse) {
        RecordSegmentResponse();
      }
    }
    const bool written = co_await WriteEvents(call, complete_events);
    if (!written) {
      AbortAttempt(AbortReason::kCallerDisconnected);
      co_return AttemptResult::kCallerDisconnected;
    }
    if (at_body_end) {
      co_return co_await EndStream(call, server, bytes);
    }
    co_await context_.monitor.WaitForBatch();
  }
}

asio::awaitable<Exchange::AttemptResult> Exchange::EndStream(BackendCall& call,
                                                             const BackendServer& server,
                                                             std::size_t bytes) {
  if (call.framing().kind == BodyFraming::Kind::kUntilClose) {
    RecordUnframedEnd(server, bytes);
    if (co_await EndsInCrash(server)) {
      co_return ResponseInterrupted(
          absl::DataLossError("the connection ended while others to the backend server broke"),
          server);
    }
    if (event_reads_ < kEventReadsOfResponse) {
      // A crash of the backend server may end the connection in the same way.
      RecordBreak(server);
    }
    if (writer_.framed()) {
      // An attempt before this one had framing, so that ending the response would state that it is
      // whole.
      co_return AttemptResult::kInterrupted;
    }
  } else {
    context_.health.RecordSuccess(server.id, Now());
    RecordCompleteResponse();
    if (accepted_.request.prompt && attempts_ == 1 && accepted_.request.last_event_id.empty()) {
      context_.load.RecordComplete(server.id, load_request_number_, Now());
    }
  }
  if (!stream_begun_) {
    stream_begun_ = true;
    writer_.BeginResponse(call.head(), {.kind = BodyFraming::Kind::kLength});
  }
  const bool ended = co_await writer_.EndResponse();
  co_return ended ? AttemptResult::kCompleted : AttemptResult::kCallerDisconnected;
}

asio::awaitable<Exchange::AttemptResult> Exchange::BufferResponse(BackendCall& call,
                                                                  const BackendServer& server) {
  auto body = co_await call.ReadBody(kMaxBufferedResponseBytes);
  if (!body.ok() || abort_reason_ == AbortReason::kMemory) {
    co_return ResponseInterrupted(body.status(), server);
  }
  const unsigned status = call.head().result_int();
  const bool failed = status / 100 == 5 || StatusImpliesNotExecuted(status);
  RecordFirstByte(server, failed);
  context_.response_memory.Update(response_number_, body->capacity());
  context_.response_memory.Complete(response_number_);
  context_.receiving.erase(response_number_);
  const BodyFraming framing = call.framing();
  const bool unframed = framing.kind == BodyFraming::Kind::kUntilClose;
  if (unframed) {
    RecordUnframedEnd(server, body->size());
  } else {
    context_.health.RecordSuccess(server.id, Now());
    if (status / 100 == 2) {
      RecordCompleteResponse();
    }
  }
  // The head shows a failure; that a response without framing succeeded can't be told.
  if (failed || !unframed) {
    context_.RecordServerResponse(server, failed, Now());
  }
  if (stream_begun_) {
    context_.log.Write(Severity::kFailure, "not_resumed",
                       {{"request", accepted_.request.id},
                        {"server", server.name},
                        {"status", status},
                        {"last_event", events_.last_id()}});
    co_return AttemptResult::kInterrupted;
  }
  buffered_response_ =
      BufferedResponse{.head = call.head(), .framing = framing, .body = *std::move(body)};
  co_return failed ? AttemptResult::kServerFailed : AttemptResult::kCompleted;
}

}  // namespace lagoonwind::gateway
