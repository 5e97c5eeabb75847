#include "attempt_execution.h"

#include <glog/logging.h>

#include <utility>

#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

using backend::CallResult;

/// Estimated number of bytes per prompt token, for inference engines that do not report prompt
/// tokens.
constexpr double kBytesPerToken = 4;
/// Service charged per prompt token, in units of service; a generated token costs one unit.
constexpr double kServicePerInputToken = 0.1;
/// Service charged per second of execution on a plain service, in units of service.
constexpr double kServicePerSecond = 100;
constexpr std::string_view kEventStream = "text/event-stream";

Duration ToMicroseconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration_cast<Duration>(duration);
}

policy::AttemptResult ResultOf(CallResult result) {
  switch (result) {
    case CallResult::kComplete:
      return policy::AttemptResult::kComplete;
    case CallResult::kNotRun:
    case CallResult::kConnectFailed:
      return policy::AttemptResult::kNotRun;
    case CallResult::kUnframed:
    case CallResult::kUnknown:
    case CallResult::kTimedOut:
    case CallResult::kCancelled:
      return policy::AttemptResult::kUnknown;
  }
  return policy::AttemptResult::kUnknown;
}

policy::Reason ReasonOf(CallResult result) {
  switch (result) {
    case CallResult::kComplete:
      return policy::Reason::kNone;
    case CallResult::kNotRun:
      return policy::Reason::kBackendRefused;
    case CallResult::kUnframed:
      return policy::Reason::kUnframedEnd;
    case CallResult::kConnectFailed:
    case CallResult::kUnknown:
      return policy::Reason::kBackendFailed;
    case CallResult::kTimedOut:
      return policy::Reason::kTimeout;
    case CallResult::kCancelled:
      return policy::Reason::kCallerLeft;
  }
  return policy::Reason::kNone;
}

/// Returns true if a backend server that interrupted an execution is unreachable or has a new
/// incarnation.
http::asio::awaitable<bool> HasCrashed(backend::Backend& backend,
                                       std::uint64_t backend_incarnation) {
  const auto health = co_await backend.CheckHealth();
  co_return !health.ok() ||
      (backend_incarnation != 0 && health->incarnation != backend_incarnation);
}

}  // namespace

AttemptExecution::AttemptExecution(const DaemonContext& context, MemberId entry,
                                   wire::gen::Offer offer)
    : context_(context),
      entry_(entry),
      offer_(std::move(offer)),
      id_(wire::FromWire(offer_.attempt)) {}

http::asio::awaitable<void> AttemptExecution::Run(backend::Backend& backend,
                                                  std::uint64_t backend_incarnation) {
  started_at_ = std::chrono::steady_clock::now();
  wire::Message message;
  message.__set_started({});
  message.started.attempt = offer_.attempt;
  context_.links.Send(entry_, message);
  if (context_.settings.backend_is_model) {
    Charge(kServicePerInputToken * static_cast<double>(offer_.body.size()) / kBytesPerToken, 0, {});
  }
  backend::Call call{.method = offer_.method,
                     .path = offer_.path,
                     .content_type = offer_.content_type,
                     .body = std::move(offer_.body),
                     .request_id = FormatRequestId(id_.request),
                     .customer = offer_.customer_name,
                     .idempotency_key = offer_.idempotency_key,
                     .at_most_once = !offer_.repeatable};
  const CallResult result = co_await backend.Run(std::move(call), *this);
  if (!context_.settings.backend_is_model) {
    const auto elapsed = std::chrono::steady_clock::now() - started_at_;
    const bool complete = result == CallResult::kComplete;
    Charge(kServicePerSecond * std::chrono::duration<double>(elapsed).count(), complete ? 1 : 0,
           ToMicroseconds(elapsed));
  }
  policy::Reason reason = ReasonOf(result);
  if (result == CallResult::kUnknown || result == CallResult::kUnframed) {
    const bool crashed = co_await HasCrashed(backend, backend_incarnation);
    reason = crashed ? policy::Reason::kBackendCrashed : reason;
  }
  Finish(result, reason);
}

void AttemptExecution::OnHead(const backend::ResponseHead& head) {
  wire::Message message;
  message.__set_head({});
  message.head.attempt = offer_.attempt;
  message.head.status = static_cast<std::int32_t>(head.status);
  message.head.content_type = head.content_type;
  context_.links.Send(entry_, message);
  streaming_ = head.content_type.starts_with(kEventStream);
  if (!streaming_) {
    context_.policy.Post(policy::BackendResponseStarted{.attempt = id_});
  }
  stored_response_.status = head.status;
  stored_response_.content_type = head.content_type;
}

void AttemptExecution::OnData(std::string_view data, std::uint32_t tokens) {
  wire::Message message;
  message.__set_chunk({});
  message.chunk.attempt = offer_.attempt;
  message.chunk.offset = static_cast<std::int64_t>(sent_bytes_);
  message.chunk.data = std::string(data);
  sent_bytes_ += data.size();
  if (claimed() && sent_bytes_ <= limits::kMaxStoredResponseBytes) {
    stored_response_.body += data;
  }
  context_.links.Send(entry_, message);
  if (tokens > 0) {
    ChargeTokens(tokens);
  }
}

/// The time to the first tokens of a stream is not a time per token and is reported as 0. For a
/// response that is not streamed, the total time is reported.
void AttemptExecution::ChargeTokens(std::uint32_t tokens) {
  const auto now = std::chrono::steady_clock::now();
  if (!streaming_) {
    Charge(tokens, tokens, ToMicroseconds(now - started_at_));
    return;
  }
  const bool first = last_token_at_ == std::chrono::steady_clock::time_point{};
  if (first) {
    context_.policy.Post(policy::BackendResponseStarted{
        .attempt = id_, .time_to_first_token = ToMicroseconds(now - started_at_)});
  }
  Charge(tokens, tokens, first ? Duration{0} : ToMicroseconds(now - last_token_at_));
  last_token_at_ = now;
}

void AttemptExecution::Charge(double service, std::uint32_t tokens, Duration generation_time) {
  context_.policy.Post(policy::ServiceAccrued{
      .attempt = id_, .service = service, .tokens = tokens, .generation_time = generation_time});
  context_.metrics.ServiceCharged(offer_.customer_name, service);
}

std::shared_ptr<const policy::StoredResponse> AttemptExecution::TakeStoredResponse() {
  if (!claimed() || sent_bytes_ > limits::kMaxStoredResponseBytes) {
    return nullptr;
  }
  return std::make_shared<const policy::StoredResponse>(std::move(stored_response_));
}

void AttemptExecution::Finish(CallResult result, policy::Reason reason) {
  policy::AttemptFinished finished{.attempt = id_, .result = ResultOf(result), .reason = reason};
  finished.response = result == CallResult::kComplete ? TakeStoredResponse() : nullptr;
  LOG(INFO) << "event=attempt_finished request=" << FormatRequestId(id_.request)
            << " customer=" << offer_.customer_name << " reason=" << policy::Name(finished.reason);
  // If a claimed attempt was not executed, the policy notifies the entry once the claim is
  // released.
  if (!claimed() || finished.result != policy::AttemptResult::kNotRun) {
    SendEnded(result, reason);
  }
  context_.policy.Post(std::move(finished));
}

void AttemptExecution::SendEnded(CallResult result, policy::Reason reason) {
  wire::Message message;
  message.__set_ended({});
  message.ended.attempt = offer_.attempt;
  message.ended.result = static_cast<std::int32_t>(ResultOf(result));
  message.ended.reason = static_cast<std::int32_t>(reason);
  message.ended.length = static_cast<std::int64_t>(sent_bytes_);
  context_.links.Send(entry_, message);
}

}  // namespace lagoonwind::runtime
