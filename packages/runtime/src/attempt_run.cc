#include "attempt_run.h"

#include <glog/logging.h>

#include <utility>

#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

using backend::CallResult;

/// Bytes of a prompt that count as one token, for engines that don't report them.
constexpr double kBytesPerToken = 4;
/// Service of one token read, in units of service; a generated token is one unit.
constexpr double kInputTokenService = 0.1;
/// Service of one second on a plain service, in units of service.
constexpr double kSecondService = 100;
constexpr std::string_view kEventStream = "text/event-stream";

Duration Micros(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration_cast<Duration>(duration);
}

policy::AttemptResult ResultOf(CallResult result) {
  switch (result) {
    case CallResult::kComplete:
      return policy::AttemptResult::kComplete;
    case CallResult::kNotRun:
    case CallResult::kNotReached:
      return policy::AttemptResult::kNotRun;
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
    case CallResult::kNotReached:
    case CallResult::kUnknown:
      return policy::Reason::kBackendFailed;
    case CallResult::kTimedOut:
      return policy::Reason::kTimeout;
    case CallResult::kCancelled:
      return policy::Reason::kCallerLeft;
  }
  return policy::Reason::kNone;
}

/// True if a backend server that broke a run off is gone or another instance.
http::asio::awaitable<bool> HasCrashed(backend::Backend& backend, std::uint64_t instance) {
  const auto health = co_await backend.Observe();
  co_return !health.ok() || (instance != 0 && health->instance != instance);
}

}  // namespace

AttemptRun::AttemptRun(const DaemonContext& context, MemberId entry, wire::gen::Offer offer)
    : context_(context),
      entry_(entry),
      offer_(std::move(offer)),
      id_(wire::FromWire(offer_.attempt)) {}

http::asio::awaitable<void> AttemptRun::Run(backend::Backend& backend, std::uint64_t instance) {
  started_ = std::chrono::steady_clock::now();
  wire::Message message;
  message.__set_started({});
  message.started.attempt = offer_.attempt;
  context_.links.Send(entry_, message);
  if (context_.settings.backend_is_model) {
    Charge(kInputTokenService * static_cast<double>(offer_.body.size()) / kBytesPerToken, 0, {});
  }
  backend::Call call{.method = offer_.method,
                     .path = offer_.path,
                     .content_type = offer_.content_type,
                     .body = std::move(offer_.body),
                     .request_id = FormatRequestId(id_.request),
                     .customer = offer_.customer_name,
                     .idempotency_key = offer_.idempotency_key,
                     .once = !offer_.repeatable};
  const CallResult result = co_await backend.Run(std::move(call), *this);
  if (!context_.settings.backend_is_model) {
    const auto took = std::chrono::steady_clock::now() - started_;
    const bool whole = result == CallResult::kComplete;
    Charge(kSecondService * std::chrono::duration<double>(took).count(), whole ? 1 : 0,
           Micros(took));
  }
  policy::Reason reason = ReasonOf(result);
  if (result == CallResult::kUnknown && co_await HasCrashed(backend, instance)) {
    reason = policy::Reason::kBackendCrashed;
  }
  End(result, reason);
}

void AttemptRun::OnHead(const backend::AnswerHead& head) {
  wire::Message message;
  message.__set_head({});
  message.head.attempt = offer_.attempt;
  message.head.status = static_cast<std::int32_t>(head.status);
  message.head.content_type = head.content_type;
  context_.links.Send(entry_, message);
  streams_ = head.content_type.starts_with(kEventStream);
  if (!streams_) {
    context_.policy.Post(policy::BackendResponseStarted{.attempt = id_});
  }
  kept_.status = head.status;
  kept_.content_type = head.content_type;
}

void AttemptRun::OnData(std::string_view data, std::uint32_t tokens) {
  wire::Message message;
  message.__set_chunk({});
  message.chunk.attempt = offer_.attempt;
  message.chunk.offset = static_cast<std::int64_t>(sent_);
  message.chunk.data = std::string(data);
  sent_ += data.size();
  if (claimed() && sent_ <= limits::kMaxKeptAnswerBytes) {
    kept_.body += data;
  }
  context_.links.Send(entry_, message);
  if (tokens > 0) {
    ChargeTokens(tokens);
  }
}

/// The time to a stream's first tokens is no time per token; a whole answer's time is taken as one.
void AttemptRun::ChargeTokens(std::uint32_t tokens) {
  const auto now = std::chrono::steady_clock::now();
  if (!streams_) {
    Charge(tokens, tokens, Micros(now - started_));
    return;
  }
  const bool first = last_token_ == std::chrono::steady_clock::time_point{};
  if (first) {
    context_.policy.Post(policy::BackendResponseStarted{
        .attempt = id_, .time_to_first_token = Micros(now - started_)});
  }
  Charge(tokens, tokens, first ? Duration{0} : Micros(now - last_token_));
  last_token_ = now;
}

void AttemptRun::Charge(double service, std::uint32_t tokens, Duration took) {
  context_.policy.Post(policy::ServiceAccrued{
      .attempt = id_, .service = service, .tokens = tokens, .generation_time = took});
  context_.metrics.ServiceCharged(offer_.customer_name, service);
}

std::shared_ptr<const policy::StoredResponse> AttemptRun::TakeKept() {
  if (!claimed() || sent_ > limits::kMaxKeptAnswerBytes) {
    return nullptr;
  }
  return std::make_shared<const policy::StoredResponse>(std::move(kept_));
}

void AttemptRun::End(CallResult result, policy::Reason reason) {
  policy::AttemptFinished finished{.attempt = id_, .result = ResultOf(result), .reason = reason};
  finished.response = result == CallResult::kComplete ? TakeKept() : nullptr;
  LOG(INFO) << "event=attempt_finished request=" << FormatRequestId(id_.request)
            << " customer=" << offer_.customer_name << " reason=" << policy::Name(finished.reason);
  // The decisions tell the entry of a claimed call that never ran, once its claim is released.
  if (!claimed() || finished.result != policy::AttemptResult::kNotRun) {
    SendEnd(result, reason);
  }
  context_.policy.Post(std::move(finished));
}

void AttemptRun::SendEnd(CallResult result, policy::Reason reason) {
  wire::Message message;
  message.__set_ended({});
  message.ended.attempt = offer_.attempt;
  message.ended.result = static_cast<std::int32_t>(ResultOf(result));
  message.ended.reason = static_cast<std::int32_t>(reason);
  message.ended.length = static_cast<std::int64_t>(sent_);
  context_.links.Send(entry_, message);
}

}  // namespace lagoonwind::runtime
