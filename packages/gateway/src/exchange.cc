#include "exchange.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <numeric>
#include <string_view>

#include "clock.h"
#include "retry_rules.h"

namespace lagoonwind::gateway {
namespace {

using ErrorCode = boost::system::error_code;

/// Largest number of attempts per request, including those that reached no backend server.
constexpr int kMaxAttempts = 4;
/// Fraction by which Retry-After is randomly extended, so that callers do not return all at once.
constexpr double kRetryAfterJitter = 0.6;
/// Gateways that may send to one backend server in cold start. With more of them its rate limit
/// would be hard to enforce, since each may send one request at any time.
constexpr int kColdServerOwners = 3;
/// Requests per second that each other gateway may send to such a backend server.
constexpr double kNonOwnerColdRate = 1e-6;
/// Retry-After of a draining gateway: another one may accept the request at once.
constexpr Duration kDrainRetryAfter = std::chrono::milliseconds(50);
/// Fraction of a cold backend server's request rate that the fleet uses. The margin covers a
/// network partition, in which each half of the fleet chooses owners of its own.
constexpr double kColdRateFraction = 0.6;

constexpr std::string_view kQuarantined = "quarantined: the request crashes backend servers";
constexpr std::string_view kCutByStop = "cut_by_stop";
constexpr std::string_view kAnswered = "answered";
/// Outcome of a response whose end the caller can't tell from a broken connection.
constexpr std::string_view kAnsweredUnframed = "answered_unframed";

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

Exchange::Exchange(GatewayContext& context, CallerWriter& writer, AcceptedRequest accepted)
    : context_(context),
      writer_(writer),
      accepted_(std::move(accepted)),
      exchanges_(context.exchanges),
      watchdog_(context.io) {
  exchanges_->insert(this);
  const Duration timeout = accepted_.route->timeout;
  const Duration time_left =
      accepted_.request.time_left ? Duration{*accepted_.request.time_left} : timeout;
  deadline_ = accepted_.arrived + std::min(timeout, time_left);
  if (context_.drain.draining()) {
    stop_at_arrival_ = context_.drain.stop();
  }
  const auto& services = accepted_.route->services;
  double pick = context_.RandomFraction();
  const double total = std::accumulate(
      services.begin(), services.end(), 0.0,
      [](double sum, const WeightedService& service) { return sum + service.weight; });
  for (const WeightedService& service : services) {
    service_ = service.service;
    pick -= total > 0 ? service.weight / total : 1;
    if (pick < 0) {
      break;
    }
  }
  digest_ = HandleOf<Digest>(absl::StrCat(accepted_.request.target, "\n", accepted_.customer, "\n",
                                          StableHash(*accepted_.body)));
  if (accepted_.request.prompt) {
    shared_segments_ = policy::SharedSegments(*accepted_.request.prompt);
  }
}

Exchange::~Exchange() { exchanges_->erase(this); }

bool Exchange::HoldResponse(std::size_t bytes) {
  policy::ResponseMemory& memory = context_.response_memory;
  memory.Update(response_number_, bytes);
  bool may_go_on = true;
  while (const auto excess = memory.Excess()) {
    Exchange* const exchange = context_.receiving.at(*excess);
    context_.log.Write(Severity::kFailure, "response_over_memory",
                       {{"request", exchange->accepted_.request.id},
                        {"server", exchange->last_server_},
                        {"held", memory.bytes()},
                        {"limit", memory.limit_bytes()}});
    exchange->ReleaseResponse();
    exchange->AbortAttempt(AbortReason::kMemory);
    may_go_on = may_go_on && exchange != this;
  }
  return may_go_on;
}

void Exchange::ReleaseResponse() {
  context_.receiving.erase(response_number_);
  context_.response_memory.Remove(response_number_);
}

Duration Exchange::TimeLeft(Time now) const { return std::max(deadline_ - now, Duration{0}); }

void Exchange::AbortAttempt(AbortReason reason) {
  if (abort_reason_ == AbortReason::kNone) {
    abort_reason_ = reason;
  }
  if (connection_ != nullptr) {
    ErrorCode ignored;
    connection_->socket.close(ignored);
  }
}

void Exchange::CallerDisconnected() {
  AbortAttempt(AbortReason::kCallerDisconnected);
  watchdog_.cancel();
}

void Exchange::EndBeforeStop() {
  if (!stream_begun_) {
    AbortAttempt(AbortReason::kStopping);
    watchdog_.cancel();
  }
}

bool Exchange::MayStateNotRun() const {
  return !stream_begun_ && !buffered_response_ && unresolved_attempts_ == 0;
}

Duration Exchange::WithJitter(Duration retry_after) const {
  const double factor = 1 + kRetryAfterJitter * context_.RandomFraction();
  return std::chrono::duration_cast<Duration>(retry_after * factor);
}

double Exchange::ColdRate(const KnownServer& known, Time now) const {
  if (now >= known.cold_until) {
    return 0;
  }
  const auto& services = context_.fleet.configuration()->services;
  const auto service = services.find(service_);
  if (service == services.end() || service->second.cold_requests_per_s <= 0) {
    return 0;
  }
  const bool is_owner = now - context_.started > kPeerDiscoveryTime &&
                        context_.peers.IsOwner(known.server.id.value, kColdServerOwners);
  return is_owner ? service->second.cold_requests_per_s * kColdRateFraction / kColdServerOwners
                  : kNonOwnerColdRate;
}

std::vector<policy::Candidate> Exchange::Candidates(Time now) const {
  const auto configuration = context_.fleet.configuration();
  const auto service = configuration->services.find(service_);
  const bool is_engine = service != configuration->services.end() && service->second.engine;
  const auto known_servers = context_.fleet.EligibleServers(service_);
  std::vector<policy::Candidate> candidates;
  candidates.reserve(known_servers.size());
  for (const KnownServer* known : known_servers) {
    if (std::ranges::find(tried_servers_, known->server.id) != tried_servers_.end() ||
        !context_.rollouts.IsOf(service_, known->server.version, version_)) {
      continue;
    }
    candidates.push_back(
        {.server = known->server.id,
         .same_zone = known->server.zone == context_.settings.zone,
         .cold_rate_limit = ColdRate(*known, now),
         .concurrency_limit = known->server.slots,
         .kv_cache_tokens = is_engine ? service->second.engine->kv_cache_tokens : 0});
  }
  return candidates;
}

std::vector<int> Exchange::OutstandingRequests(
    std::span<const policy::Candidate> candidates) const {
  std::vector<int> outstanding(candidates.size());
  std::ranges::transform(candidates, outstanding.begin(), [this](const auto& candidate) {
    const auto found = context_.outstanding.find(candidate.server);
    return found == context_.outstanding.end() ? 0 : found->second;
  });
  return outstanding;
}

policy::DispatchDecision Exchange::Decide(Time now) {
  const std::vector<policy::Candidate> candidates = Candidates(now);
  const std::vector<int> outstanding = OutstandingRequests(candidates);
  if (!context_.pace.IsIdle()) {
    context_.pace.SetGateways(std::max(context_.peers.fleet_size(), 1));
    // Retries are no part of the even portion.
    for (std::size_t i = 0; attempts_ == 0 && i < candidates.size(); ++i) {
      context_.pace.RecordRequest(candidates[i].server, candidates.size(), now);
    }
  }
  const auto& prompt = accepted_.request.prompt;
  const policy::DispatchRequest request{
      .customer = HandleOf<CustomerId>(accepted_.customer),
      .prompt = prompt ? &*prompt : nullptr,
      .objective = accepted_.route->objective,
      .time_left = std::min(TimeLeft(now), context_.drain.MaxExpectedTime(deadline_, now)),
      .timeout = accepted_.route->timeout,
      .is_retry = attempts_ > 0};
  return context_.dispatcher.Decide(request, candidates, outstanding, context_.random(), now);
}

asio::awaitable<bool> Exchange::Run() {
  const bool complete = co_await Serve();
  watchdog_.cancel();
  if (unresolved_attempts_ == 0) {
    context_.segments.AbandonTrial(trial_segments_);
    if (is_request_trial_) {
      context_.suspects.AbandonTrial(digest_, Now());
    }
  }
  ReleaseResponse();
  co_return complete;
}

asio::awaitable<bool> Exchange::Serve() {
  const Time now = Now();
  if (writer_.caller_disconnected()) {
    // The caller disconnected while its request was queued for reading.
    LogCompletion("caller_left", 0);
    co_return false;
  }
  const auto customer = HandleOf<CustomerId>(accepted_.customer);
  if (accepted_.request.prompt) {
    context_.share.RecordRequested(customer, accepted_.request.prompt->input_tokens, now);
  }
  context_.RetryBudgetFor(service_).RecordRequest(now);
  if (!context_.drain.MayAccept(deadline_, now)) {
    co_return co_await SendLocalResponse(kUnavailable, "draining", kDrainRetryAfter);
  }
  const bool needs_trial = IsQuarantined(now);
  if (needs_trial && !MayBeTrial(now)) {
    co_return co_await SendLocalResponse(kUnavailable, kQuarantined, QuarantineRetryAfter(now));
  }
  for (;;) {
    decision_ = DecideWithVersion(Now());
    if (attempts_ == 0) {
      first_decision_ = decision_;
    }
    if (decision_.verdict != policy::DispatchVerdict::kSend) {
      co_return co_await Reject(decision_);
    }
    // There is no co_await since MayBeTrial(), so that no other trial has begun meanwhile.
    if (needs_trial && attempts_ == 0) {
      BeginTrial(now);
    }
    const AttemptResult result = ResultAfterAbort(co_await AttemptServer(decision_.server));
    watchdog_.cancel();
    if (!MayRetry(result)) {
      co_return co_await Finish(result);
    }
    if (abort_reason_ == AbortReason::kStalled) {
      stalled_servers_.push_back(tried_servers_.back());
    }
    abort_reason_ = AbortReason::kNone;
    context_.log.Write(Severity::kFailure, "resend",
                       {{"request", accepted_.request.id},
                        {"service", service_},
                        {"server", last_server_},
                        {"sends", attempts_},
                        {"last_event", events_.last_id()},
                        {"time_left_ms", Milliseconds(TimeLeft(Now()))}});
  }
}

Exchange::AttemptResult Exchange::ResultAfterAbort(AttemptResult result) const {
  if (result == AttemptResult::kCompleted) {
    return result;
  }
  switch (abort_reason_) {
    case AbortReason::kCallerDisconnected:
      return AttemptResult::kCallerDisconnected;
    case AbortReason::kStopping:
      return stream_begun_ ? AttemptResult::kInterrupted : AttemptResult::kStopping;
    case AbortReason::kQuarantined:
      return stream_begun_ ? AttemptResult::kInterrupted : AttemptResult::kQuarantined;
    case AbortReason::kNone:
    case AbortReason::kTimeout:
    case AbortReason::kStalled:
    case AbortReason::kMemory:
      return result;
  }
  return result;
}

bool Exchange::MaySendAgain() const {
  const Route& route = *accepted_.route;
  return route.retryable() && unresolved_attempts_ < route.max_attempts &&
         attempts_ < kMaxAttempts && !is_trial();
}

bool Exchange::RetriesAreBarred(Time now) const {
  if (attempts_ >= kMaxAttempts || TimeLeft(now) < kMinAttemptTime ||
      abort_reason_ == AbortReason::kStopping || IsQuarantined(now)) {
    return true;
  }
  return stream_begun_ ? !context_.drain.MayContinue(now)
                       : !context_.drain.MayAccept(deadline_, now);
}

bool Exchange::MayRetry(AttemptResult result) {
  const Time now = Now();
  if (RetriesAreBarred(now)) {
    return false;
  }
  const bool may_have_run = result == AttemptResult::kUnknown ||
                            result == AttemptResult::kServerFailed ||
                            result == AttemptResult::kInterrupted;
  if (result == AttemptResult::kNotSent) {
    return true;
  }
  if (result != AttemptResult::kNotExecuted && !may_have_run) {
    return false;
  }
  if (may_have_run && !MaySendAgain()) {
    return false;
  }
  if (!reserved_ &&
      !context_.RetryBudgetFor(service_).TryConsume(context_.peers.fleet_size(), now)) {
    context_.log.Write(Severity::kFailure, "retry_budget_used_up",
                       {{"request", accepted_.request.id}, {"service", service_}});
    return false;
  }
  context_.metrics.CountRetry(may_have_run ? "may_have_run" : "not_run");
  return true;
}

asio::awaitable<bool> Exchange::Finish(AttemptResult result) {
  switch (result) {
    case AttemptResult::kCallerDisconnected:
      LogCompletion("caller_left", 0);
      co_return false;
    case AttemptResult::kInterrupted:
      LogCompletion("broken_off", 0);
      co_return false;
    case AttemptResult::kCompleted:
    case AttemptResult::kServerFailed:
      break;
    case AttemptResult::kTimeout:
      if (stream_begun_) {
        LogCompletion("timeout_in_stream", 0);
        co_return false;
      }
      if (unresolved_attempts_ > 0) {
        co_return co_await SendLocalResponse(kGatewayTimeout, "no answer in time", std::nullopt);
      }
      co_return co_await SendLocalResponse(kUnavailable, "no time left to send", std::nullopt);
    case AttemptResult::kStopping:
      if (MayStateNotRun()) {
        co_return co_await SendLocalResponse(kUnavailable, "draining", kDrainRetryAfter);
      }
      [[fallthrough]];
    case AttemptResult::kQuarantined:
      if (MayStateNotRun()) {
        co_return co_await SendLocalResponse(kUnavailable, kQuarantined,
                                             QuarantineRetryAfter(Now()));
      }
      [[fallthrough]];
    case AttemptResult::kUnknown:
      if (buffered_response_) {
        break;
      }
      co_return co_await SendLocalResponse(kBadGateway, "the backend server's answer was lost",
                                           std::nullopt);
    case AttemptResult::kNotSent:
    case AttemptResult::kNotExecuted:
      if (MayStateNotRun() && IsQuarantined(Now())) {
        co_return co_await SendLocalResponse(kUnavailable, kQuarantined,
                                             QuarantineRetryAfter(Now()));
      }
      if (MayStateNotRun() && !context_.drain.MayAccept(deadline_, Now())) {
        co_return co_await SendLocalResponse(kUnavailable, "draining", kDrainRetryAfter);
      }
      co_return co_await Reject(decision_);
  }
  if (stream_begun_ && result == AttemptResult::kCompleted) {
    LogCompletion(writer_.framed() ? kAnswered : kAnsweredUnframed, 200);
    co_return true;
  }
  if (stream_begun_ || !buffered_response_) {
    LogCompletion("broken_off", 0);
    co_return false;
  }
  const unsigned status = buffered_response_->head.result_int();
  if (StatusImpliesNotExecuted(status)) {
    // The backend server did not state that it did not execute the request, so the status, which
    // would state this, must not be forwarded.
    co_return co_await SendLocalResponse(kBadGateway, "the backend server failed", std::nullopt);
  }
  const bool written = co_await writer_.WriteResponse(
      buffered_response_->head, buffered_response_->framing, buffered_response_->body);
  const std::string_view success = writer_.framed() ? kAnswered : kAnsweredUnframed;
  LogCompletion(status / 100 == 2 ? success : "backend_failure", status);
  co_return written;
}

asio::awaitable<bool> Exchange::Reject(const policy::DispatchDecision& decision) {
  if (stream_begun_) {
    LogCompletion("broken_off", 0);
    co_return false;
  }
  if (buffered_response_) {
    co_return co_await Finish(AttemptResult::kServerFailed);
  }
  if (unresolved_attempts_ > 0) {
    co_return co_await SendLocalResponse(kBadGateway, "the backend server's answer was lost",
                                         std::nullopt);
  }
  const Duration retry_after = WithJitter(decision.retry_after);
  const auto reason = decision.verdict == policy::DispatchVerdict::kSend
                          ? std::string_view("not_taken")
                          : policy::Name(decision.verdict);
  co_return co_await SendLocalResponse(kUnavailable, reason, retry_after);
}

asio::awaitable<bool> Exchange::SendLocalResponse(unsigned status, std::string_view reason,
                                                  std::optional<Duration> retry_after) {
  if (writer_.response_begun()) {
    LogCompletion("broken_off", 0);
    co_return false;
  }
  const bool written = co_await writer_.WriteLocalResponse({.status = status,
                                                            .reason = reason,
                                                            .request_id = accepted_.request.id,
                                                            .retry_after = retry_after});
  LogCompletion(reason, status);
  co_return written;
}

void Exchange::LogCutByStop() { LogCompletion(kCutByStop, 0); }

void Exchange::LogCompletion(std::string_view outcome, unsigned status) {
  const Time now = Now();
  const KnownServer* known = context_.fleet.Find(first_decision_.server);
  const auto& estimate = first_decision_.estimate;
  const bool success = status / 100 == 2;
  // The stop of the process is logged beyond the rate limit of failures.
  const Severity severity = success                 ? Severity::kRoutine
                            : outcome == kCutByStop ? Severity::kState
                                                    : Severity::kFailure;
  context_.metrics.ObserveRequest(Name(accepted_.route->kind), accepted_.customer, outcome,
                                  Milliseconds(now - accepted_.arrived) / 1000);
  context_.log.Write(
      severity, "request_done",
      {{"request", accepted_.request.id},
       {"customer", accepted_.customer},
       {"route", accepted_.route->name},
       {"configuration", accepted_.configuration_version},
       {"outcome", outcome},
       {"status", status},
       {"server", last_server_},
       {"framing", Name(last_framing_)},
       {"sends", attempts_},
       {"verdict", policy::Name(first_decision_.verdict)},
       {"last_verdict", policy::Name(decision_.verdict)},
       {"aborted_as", Describe(abort_reason_)},
       {"wait_ms", Milliseconds(estimate.queueing_delay)},
       {"read_ms", Milliseconds(estimate.prefill_time)},
       {"unread_tokens", estimate.uncached_tokens},
       {"repeated_tokens", estimate.cached_elsewhere_tokens},
       {"running", estimate.running},
       {"usage", first_decision_.usage},
       {"server_heard_ms", known == nullptr ? -1.0 : Milliseconds(now - known->last_received)},
       {"peers", context_.peers.live_count()},
       {"loop_late_ms", Milliseconds(context_.monitor.lag())},
       {"stop_in_ms",
        stop_at_arrival_ ? Milliseconds(*stop_at_arrival_ - accepted_.arrived) : -1.0},
       {"first_byte_ms",
        first_byte_at_ == Time{} ? -1.0 : Milliseconds(first_byte_at_ - accepted_.arrived)},
       {"total_ms", Milliseconds(now - accepted_.arrived)}});
}

}  // namespace lagoonwind::gateway
