// One send of a request: connection, request, answer. What follows from its end is decided in
// exchange.cc.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <string_view>

#include "clock.h"
#include "exchange.h"
#include "send_rules.h"

namespace lagoonwind::gateway {
namespace {

/// Silence after which a request that may be repeated is given up at a backend server, as a
/// multiple of the objective, and the least such time.
constexpr int kStallObjectives = 2;
constexpr Duration kMinStall = std::chrono::milliseconds(900);
/// For requests that can't be repeated; they end with their deadline.
constexpr Duration kNoStall = std::chrono::hours(1);
/// Largest answer that is held whole before it is passed on.
constexpr std::size_t kMaxHeldAnswer = 1UL << 20U;
constexpr std::size_t kPartBytes = 16UL << 10U;

std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

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
      context_.load.SetMemory(server_id, service->second.engine->kv_cache_tokens);
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
      accepted_.route->retryable()
          ? std::max(kMinStall, decision_.estimate.wait + decision_.estimate.read +
                                    kStallObjectives * Duration{accepted_.route->objective})
          : kNoStall;
  Guard(stall);
  const absl::Status read = co_await call.ReadHead();
  if (!read.ok()) {
    co_return Interrupted(read, server);
  }
  const ResponseInfo& facts = call.facts();
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
    context_.metrics.FirstByte(Name(accepted_.route->kind),
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

}  // namespace lagoonwind::gateway
