#include "exchange.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <string_view>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

using ErrorCode = boost::system::error_code;

/// Time beyond the route's timeout in which an answer that is on its way is still awaited.
constexpr Duration kTimeoutGrace = std::chrono::milliseconds(60);
/// Time that must be left for a send to be of use.
constexpr Duration kMinSendTime = std::chrono::milliseconds(20);
/// Sends of one request at most, those included that reached no backend server.
constexpr int kMaxSends = 4;
/// Silence after which a request that may be repeated is given up at a backend server, as a
/// multiple of the objective, and the least such time.
constexpr int kStallObjectives = 2;
constexpr Duration kMinStall = std::chrono::milliseconds(900);
/// For requests that can't be repeated; they end with their deadline.
constexpr Duration kNoStall = std::chrono::hours(1);
/// Largest answer that is held whole before it is passed on.
constexpr std::size_t kMaxHeldAnswer = 1UL << 20U;
constexpr std::size_t kPartBytes = 16UL << 10U;
/// Part of the retry-after time by which callers are spread, so that they don't return together.
constexpr double kRetrySpread = 0.6;
/// Time after the start in which this gateway can't know all others, so that it sends nothing to
/// cold backend servers.
constexpr Duration kLonelyTime = std::chrono::milliseconds(2500);
/// Gateways that send to one cold backend server. More would make the bound hard to keep, as each
/// may send one request at any time.
constexpr int kColdOwners = 3;
/// Requests a second that the other gateways may send to it.
constexpr double kNoColdRate = 1e-6;
/// Part of the time until a draining process stops that a new request may be expected to take, as
/// some take longer than expected.
constexpr double kDrainShare = 0.5;
/// Part of what a cold backend server bears that the fleet uses; half of the fleet may choose other
/// owners while it can't reach the rest.
constexpr double kColdShare = 0.6;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/// True for statuses that state that a request hasn't run and never will.
bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == kUnavailable;
}

std::string_view KindName(RouteKind kind) {
  constexpr std::array<std::string_view, 3> kNames{"idempotent", "mutating", "streaming"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

Exchange::Exchange(GatewayContext& context, CallerWriter& writer, AcceptedRequest accepted)
    : context_(context), writer_(writer), accepted_(std::move(accepted)), guard_(context.io) {
  const Duration timeout = accepted_.route->timeout;
  const Duration patience =
      accepted_.request.patience ? Duration{*accepted_.request.patience} : timeout;
  deadline_ = accepted_.arrived + std::min(timeout, patience);
  const auto& services = accepted_.route->services;
  double pick = context_.Random();
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
                                          StableHash(accepted_.body)));
}

Duration Exchange::TimeLeft(Time now) const { return std::max(deadline_ - now, Duration{0}); }

Duration Exchange::TimeBeforeStop(Time now) const {
  if (!context_.draining) {
    return Duration::max();
  }
  return std::chrono::duration_cast<Duration>((context_.stop_at - now) * kDrainShare);
}

void Exchange::StopSending(Stop reason) {
  if (stop_ == Stop::kNone) {
    stop_ = reason;
  }
  if (connection_ != nullptr) {
    ErrorCode ignored;
    connection_->socket.close(ignored);
  }
}

void Exchange::CallerLeft() {
  StopSending(Stop::kCallerLeft);
  guard_.cancel();
}

void Exchange::Guard(Duration stall) {
  stall_ = stall;
  NoteProgress();
  AwaitGuard();
}

void Exchange::AwaitGuard() {
  const Time now = Now();
  const Duration until_stalled = progress_at_ + stall_ - now;
  const Duration until_timeout = deadline_ + kTimeoutGrace - now;
  if (until_timeout <= Duration{0} || until_stalled <= Duration{0}) {
    StopSending(until_timeout <= Duration{0} ? Stop::kTimeout : Stop::kStalled);
    return;
  }
  // Progress only moves a time; the timer looks at it when it fires.
  guard_.expires_after(std::min(until_stalled, until_timeout));
  guard_.async_wait([weak = weak_from_this()](const ErrorCode& error) {
    if (const auto self = weak.lock(); self != nullptr && !error) {
      self->AwaitGuard();
    }
  });
}

double Exchange::ColdRate(const KnownServer& known, Time now) const {
  if (now >= known.cold_until) {
    return 0;
  }
  const auto& services = context_.facts.configuration()->services;
  const auto service = services.find(service_);
  if (service == services.end() || service->second.cold_requests_per_s <= 0) {
    return 0;
  }
  const bool is_owner = now - context_.started > kLonelyTime &&
                        context_.peers.IsOwner(known.server.id.value, kColdOwners);
  return is_owner ? service->second.cold_requests_per_s * kColdShare / kColdOwners : kNoColdRate;
}

std::vector<policy::Candidate> Exchange::Candidates(Time now) const {
  const auto configuration = context_.facts.configuration();
  const auto service = configuration->services.find(service_);
  const bool is_engine = service != configuration->services.end() && service->second.engine;
  std::vector<policy::Candidate> candidates;
  for (const KnownServer* known : context_.facts.Usable(service_)) {
    if (std::ranges::find(tried_, known->server.id) != tried_.end()) {
      continue;
    }
    candidates.push_back({.server = known->server.id,
                          .own_zone = known->server.zone == context_.settings.zone,
                          .cold_rate = ColdRate(*known, now),
                          .slots = known->server.slots,
                          .memory_tokens = is_engine ? service->second.engine->memory_tokens : 0});
  }
  return candidates;
}

policy::DispatchDecision Exchange::Decide(Time now) {
  const std::vector<policy::Candidate> candidates = Candidates(now);
  std::vector<int> outstanding;
  outstanding.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    const auto found = context_.outstanding.find(candidate.server);
    outstanding.push_back(found == context_.outstanding.end() ? 0 : found->second);
  }
  const auto& prompt = accepted_.request.prompt;
  const policy::DispatchRequest request{.customer = HandleOf<CustomerId>(accepted_.customer),
                                        .prompt = prompt ? &*prompt : nullptr,
                                        .objective = accepted_.route->objective,
                                        .time_left = std::min(TimeLeft(now), TimeBeforeStop(now)),
                                        .timeout = accepted_.route->timeout,
                                        .repeated = sends_ > 0};
  return context_.dispatch.Decide(request, candidates, outstanding, context_.random(), now);
}

asio::awaitable<bool> Exchange::Run() {
  ++context_.active_requests;
  context_.held_bytes += accepted_.body.size();
  const bool whole = co_await Serve();
  guard_.cancel();
  context_.held_bytes -= accepted_.body.size();
  --context_.active_requests;
  co_return whole;
}

asio::awaitable<bool> Exchange::Serve() {
  const Time now = Now();
  if (writer_.caller_closed()) {
    // It left while its request waited to be read.
    LogEnd("caller_left", 0);
    co_return false;
  }
  const auto customer = HandleOf<CustomerId>(accepted_.customer);
  if (accepted_.request.prompt) {
    context_.share.Asked(customer, accepted_.request.prompt->input_tokens, now);
  }
  context_.BudgetOf(service_).Request(now);
  if (context_.suspects.Quarantined(digest_, now)) {
    co_return co_await AnswerOwn(kUnavailable, "quarantined: the request crashes backend servers",
                                 Duration{std::chrono::seconds(30)});
  }
  for (;;) {
    decision_ = Decide(Now());
    if (sends_ == 0) {
      first_decision_ = decision_;
    }
    if (decision_.verdict != policy::DispatchVerdict::kSend) {
      co_return co_await Refuse(decision_);
    }
    const SendEnd end = co_await Send(decision_.server);
    guard_.cancel();
    if (!MayRepeat(end)) {
      co_return co_await Finish(end);
    }
    stop_ = Stop::kNone;
    context_.log.Write(Severity::kFailure, "resend",
                       {{"request", accepted_.request.id},
                        {"service", service_},
                        {"server", last_server_},
                        {"sends", sends_},
                        {"last_event", events_.last_id()},
                        {"time_left_ms", Milliseconds(TimeLeft(Now()))}});
  }
}

bool Exchange::MayRepeat(SendEnd end) {
  const Time now = Now();
  if (sends_ >= kMaxSends || TimeLeft(now) < kMinSendTime) {
    return false;
  }
  const Route& route = *accepted_.route;
  const bool has_run =
      end == SendEnd::kUnknown || end == SendEnd::kFailed || end == SendEnd::kBroken;
  if (end == SendEnd::kNotSent) {
    return true;
  }
  if (end != SendEnd::kNotRun && !has_run) {
    return false;
  }
  if (has_run && (!route.repeatable() || open_sends_ >= route.max_sends ||
                  context_.suspects.Quarantined(digest_, now))) {
    return false;
  }
  if (!context_.BudgetOf(service_).TryRepeat(context_.peers.fleet_size(), now)) {
    context_.log.Write(Severity::kFailure, "retry_budget_used_up",
                       {{"request", accepted_.request.id}, {"service", service_}});
    return false;
  }
  context_.metrics.Resent(has_run ? "may_have_run" : "not_run");
  return true;
}

std::string Exchange::RequestText(const BackendServer& server) const {
  const ForwardOptions options{
      .customer = accepted_.customer,
      .expected_server = server.name,
      .time_left = std::chrono::duration_cast<milliseconds>(TimeLeft(Now())),
      .last_event_id = events_.last_id()};
  const RequestHead head = context_.headers.EncodeForward(accepted_.head, options);
  std::string text = absl::StrCat(std::string(View(head.method_string())), " ",
                                  std::string(View(head.target())), " HTTP/1.1\r\n");
  text.reserve(text.size() + accepted_.body.size() + 1024);
  for (const auto& field : head) {
    text.append(View(field.name_string())).append(": ").append(View(field.value())).append("\r\n");
  }
  const bool has_body = !accepted_.body.empty() || View(head.method_string()) != "GET";
  if (has_body) {
    absl::StrAppend(&text, "Content-Length: ", accepted_.body.size(), "\r\n");
  }
  text.append("\r\n").append(accepted_.body);
  return text;
}

asio::awaitable<Exchange::SendEnd> Exchange::Send(ServerId server_id) {
  const KnownServer* known = context_.facts.Find(server_id);
  tried_.push_back(server_id);
  ++sends_;
  if (known == nullptr) {
    co_return SendEnd::kNotSent;
  }
  const BackendServer server = known->server;
  last_server_ = server.name;
  // Counts from now on, so that requests that arrive meanwhile see it.
  ++context_.outstanding[server_id];
  const auto& prompt = accepted_.request.prompt;
  if (prompt) {
    const auto& services = context_.facts.configuration()->services;
    const auto service = services.find(service_);
    if (service != services.end() && service->second.engine) {
      context_.load.SetMemory(server_id, service->second.engine->memory_tokens);
    }
    load_sequence_ = context_.load.Sent(server_id, *prompt, Now());
  }
  context_.cold.Sent(server_id, Now());
  BackendPool::Connection connection = context_.pool.Take(server_id);
  SendEnd end = SendEnd::kNotSent;
  if (connection == nullptr) {
    auto opened = co_await context_.pool.Open(server.address);
    if (opened.ok()) {
      connection = *std::move(opened);
    } else {
      context_.health.Failed(server_id, Now());
      if (absl::IsUnavailable(opened.status())) {
        context_.crashes.Refused(server_id, Now());
        context_.facts.SuspectRestart(server_id, Now());
      }
      context_.log.Write(Severity::kFailure, "connect_failed",
                         {{"request", accepted_.request.id},
                          {"server", server.name},
                          {"reason", opened.status().ToString()}});
    }
  }
  if (stop_ == Stop::kCallerLeft) {
    end = SendEnd::kCallerLeft;
  } else if (connection != nullptr) {
    end = TimeLeft(Now()) < kMinSendTime ? SendEnd::kTimeout
                                         : co_await SendOn(std::move(connection), server);
  }
  connection_ = nullptr;
  --context_.outstanding[server_id];
  if (prompt) {
    context_.load.Ended(server_id, load_sequence_, Now());
  }
  co_return end;
}

asio::awaitable<Exchange::SendEnd> Exchange::SendOn(BackendPool::Connection connection,
                                                    BackendServer server) {
  connection_ = connection;
  BackendCall call(context_.headers, std::move(connection), accepted_.request.id);
  sent_at_ = Now();
  began_ = false;
  ++open_sends_;
  call.Send(RequestText(server));
  if (sends_ == 1 && accepted_.request.prompt) {
    context_.share.Admitted(HandleOf<CustomerId>(accepted_.customer),
                            accepted_.request.prompt->input_tokens, sent_at_);
  }
  const SendEnd end = co_await Receive(call, server);
  if (end == SendEnd::kNotRun) {
    --open_sends_;
  }
  if (call.reusable() && stop_ == Stop::kNone) {
    context_.pool.Keep(server.id, call.connection(), call.facts().keep_alive);
  }
  co_return end;
}

asio::awaitable<Exchange::SendEnd> Exchange::Receive(BackendCall& call,
                                                     const BackendServer& server) {
  const Duration stall =
      accepted_.route->repeatable()
          ? std::max(kMinStall, decision_.estimate.wait + decision_.estimate.read +
                                    kStallObjectives * Duration{accepted_.route->objective})
          : kNoStall;
  Guard(stall);
  const absl::Status read = co_await call.ReadHead();
  if (!read.ok()) {
    co_return Interrupted(read, server);
  }
  const AnswerFacts& facts = call.facts();
  const unsigned status = call.head().result_int();
  if (facts.not_run || facts.wrong_server) {
    const auto body = co_await call.ReadBody(kMaxHeldAnswer);
    context_.log.Write(Severity::kFailure, "backend_refused",
                       {{"request", accepted_.request.id},
                        {"server", server.name},
                        {"status", status},
                        {"wrong_server", facts.wrong_server},
                        {"body_whole", body.ok()},
                        {"running", decision_.estimate.running}});
    if (facts.wrong_server) {
      context_.health.Failed(server.id, Now());
    }
    co_return SendEnd::kNotRun;
  }
  const bool success = status / 100 == 2;
  if (success && !facts.is_signed) {
    co_return Interrupted(absl::DataLossError("a success without a signature"), server);
  }
  if (streaming() && success) {
    co_return co_await Relay(call, server);
  }
  co_return co_await Deliver(call, server);
}

Exchange::SendEnd Exchange::Interrupted(const absl::Status& status, const BackendServer& server) {
  const Time now = Now();
  const bool broke = stop_ == Stop::kNone;
  if (broke) {
    context_.crashes.Broke(server.id, digest_, now);
  }
  if (broke || stop_ == Stop::kStalled) {
    context_.health.Failed(server.id, now);
  }
  if (stop_ != Stop::kCallerLeft) {
    context_.log.Write(Severity::kFailure, "answer_interrupted",
                       {{"request", accepted_.request.id},
                        {"server", server.name},
                        {"reason", stop_ == Stop::kTimeout   ? "timeout"
                                   : stop_ == Stop::kStalled ? "no progress"
                                                             : status.ToString()},
                        {"after_ms", Milliseconds(now - sent_at_)},
                        {"reused_connection", connection_ != nullptr && connection_->reused},
                        {"last_event", events_.last_id()}});
  }
  switch (stop_) {
    case Stop::kCallerLeft:
      return SendEnd::kCallerLeft;
    case Stop::kTimeout:
      return SendEnd::kTimeout;
    case Stop::kNone:
    case Stop::kStalled:
      break;
  }
  return stream_begun_ ? SendEnd::kBroken : SendEnd::kUnknown;
}

void Exchange::NoteFirstPart(const BackendServer& server) {
  if (began_) {
    return;
  }
  began_ = true;
  const Time now = Now();
  if (accepted_.request.prompt) {
    context_.load.Began(server.id, load_sequence_, now);
    const Duration expected = decision_.estimate.wait + decision_.estimate.read;
    context_.metrics.BeginError(Milliseconds(expected) / 1000, Milliseconds(now - sent_at_) / 1000);
  }
  if (first_byte_at_ == Time{}) {
    first_byte_at_ = now;
    context_.metrics.FirstByte(KindName(accepted_.route->kind),
                               Milliseconds(now - accepted_.arrived) / 1000);
  }
}

asio::awaitable<bool> Exchange::WriteEvents(BackendCall& call, std::string_view bytes) {
  if (bytes.empty()) {
    co_return true;
  }
  if (!stream_begun_) {
    stream_begun_ = true;
    // A stream that is resumed elsewhere may have another length.
    writer_.Begin(call.head(), accepted_.route->resumable ? std::nullopt : call.content_length());
  }
  co_return co_await writer_.WritePart(bytes);
}

asio::awaitable<Exchange::SendEnd> Exchange::Relay(BackendCall& call, const BackendServer& server) {
  auto part = std::make_unique<std::array<char, kPartBytes>>();
  for (;;) {
    const auto count = co_await call.ReadPart(*part);
    if (!count.ok()) {
      const SendEnd end = Interrupted(count.status(), server);
      events_.DropRest();
      co_return end;
    }
    const bool at_end = *count == 0;
    std::string ready;
    if (at_end) {
      ready = std::string(events_.rest());
    } else {
      NoteFirstPart(server);
      ready = events_.Add({part->data(), *count});
    }
    const bool written = co_await WriteEvents(call, ready);
    if (!written) {
      StopSending(Stop::kCallerLeft);
      co_return SendEnd::kCallerLeft;
    }
    if (at_end) {
      context_.health.Succeeded(server.id, Now());
      if (!stream_begun_) {
        stream_begun_ = true;
        writer_.Begin(call.head(), std::uint64_t{0});
      }
      const bool ended = co_await writer_.End();
      co_return ended ? SendEnd::kAnswered : SendEnd::kCallerLeft;
    }
    NoteProgress();
    co_await context_.monitor.Coalesce();
  }
}

asio::awaitable<Exchange::SendEnd> Exchange::Deliver(BackendCall& call,
                                                     const BackendServer& server) {
  auto body = co_await call.ReadBody(kMaxHeldAnswer);
  if (!body.ok()) {
    co_return Interrupted(body.status(), server);
  }
  NoteFirstPart(server);
  context_.health.Succeeded(server.id, Now());
  const unsigned status = call.head().result_int();
  const bool failed = status / 100 == 5 || PromisesNotRun(status);
  context_.health.Answered(server.id, failed, Now());
  held_ = HeldAnswer{.head = call.head(), .body = *std::move(body)};
  co_return failed ? SendEnd::kFailed : SendEnd::kAnswered;
}

asio::awaitable<bool> Exchange::Finish(SendEnd end) {
  switch (end) {
    case SendEnd::kCallerLeft:
      LogEnd("caller_left", 0);
      co_return false;
    case SendEnd::kBroken:
      LogEnd("broken_off", 0);
      co_return false;
    case SendEnd::kAnswered:
    case SendEnd::kFailed:
      break;
    case SendEnd::kTimeout:
      if (stream_begun_) {
        LogEnd("timeout_in_stream", 0);
        co_return false;
      }
      if (open_sends_ > 0) {
        co_return co_await AnswerOwn(kGatewayTimeout, "no answer in time", std::nullopt);
      }
      co_return co_await AnswerOwn(kUnavailable, "no time left to send", std::nullopt);
    case SendEnd::kUnknown:
      if (held_) {
        break;
      }
      co_return co_await AnswerOwn(kBadGateway, "the backend server's answer was lost",
                                   std::nullopt);
    case SendEnd::kNotSent:
    case SendEnd::kNotRun:
      co_return co_await Refuse(decision_);
  }
  if (stream_begun_ && end == SendEnd::kAnswered) {
    LogEnd("answered", 200);
    co_return true;
  }
  if (stream_begun_ || !held_) {
    LogEnd("broken_off", 0);
    co_return false;
  }
  const unsigned status = held_->head.result_int();
  if (PromisesNotRun(status)) {
    // The backend server doesn't say that it hasn't run the request, so neither may this answer.
    co_return co_await AnswerOwn(kBadGateway, "the backend server failed", std::nullopt);
  }
  const bool written = co_await writer_.WriteWhole(held_->head, held_->body);
  LogEnd(status / 100 == 2 ? "answered" : "backend_failure", status);
  co_return written;
}

asio::awaitable<bool> Exchange::Refuse(const policy::DispatchDecision& decision) {
  if (stream_begun_) {
    LogEnd("broken_off", 0);
    co_return false;
  }
  if (held_) {
    co_return co_await Finish(SendEnd::kFailed);
  }
  if (open_sends_ > 0) {
    co_return co_await AnswerOwn(kBadGateway, "the backend server's answer was lost", std::nullopt);
  }
  const double spread = 1 + kRetrySpread * context_.Random();
  const auto retry_after = std::chrono::duration_cast<Duration>(decision.retry_after * spread);
  const auto reason = decision.verdict == policy::DispatchVerdict::kSend
                          ? std::string_view("not_taken")
                          : policy::Name(decision.verdict);
  co_return co_await AnswerOwn(kUnavailable, reason, retry_after);
}

asio::awaitable<bool> Exchange::AnswerOwn(unsigned status, std::string_view reason,
                                          std::optional<Duration> retry_after) {
  const bool written = co_await writer_.WriteOwn({.status = status,
                                                  .reason = reason,
                                                  .request_id = accepted_.request.id,
                                                  .retry_after = retry_after});
  LogEnd(reason, status);
  co_return written;
}

void Exchange::LogEnd(std::string_view outcome, unsigned status) {
  const Time now = Now();
  const KnownServer* known = context_.facts.Find(first_decision_.server);
  const auto& estimate = first_decision_.estimate;
  const bool good = status / 100 == 2;
  context_.metrics.RequestDone(KindName(accepted_.route->kind), accepted_.customer, outcome,
                               Milliseconds(now - accepted_.arrived) / 1000);
  nlohmann::ordered_json fields{
      {"request", accepted_.request.id},
      {"customer", accepted_.customer},
      {"route", accepted_.route->name},
      {"configuration", accepted_.configuration_version},
      {"outcome", outcome},
      {"status", status},
      {"server", last_server_},
      {"sends", sends_},
      {"verdict", policy::Name(first_decision_.verdict)},
      {"wait_ms", Milliseconds(estimate.wait)},
      {"read_ms", Milliseconds(estimate.read)},
      {"running", estimate.running},
      {"usage", first_decision_.usage},
      {"server_heard_ms", known == nullptr ? -1.0 : Milliseconds(now - known->heard)},
      {"peers", context_.peers.live()},
      {"loop_late_ms", Milliseconds(context_.monitor.lateness())},
      {"first_byte_ms",
       first_byte_at_ == Time{} ? -1.0 : Milliseconds(first_byte_at_ - accepted_.arrived)},
      {"total_ms", Milliseconds(now - accepted_.arrived)}};
  context_.log.Write(good ? Severity::kRoutine : Severity::kFailure, "request_done", fields);
}

}  // namespace lagoonwind::gateway
