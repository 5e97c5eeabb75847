#include <glog/logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

#include "caller_server.h"
#include "daemon.h"
#include "lagoonwind/wire.h"
#include "request_table.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;

/// Role of an entry: accepts requests of callers and sends them to agents.
class EntryDaemon final : public RoleDaemon {
 public:
  explicit EntryDaemon(const DaemonContext& context)
      : context_(context), acceptor_(context.io), caller_server_(context, requests_) {}

  absl::Status Start() override {
    const auto endpoint = http::ParseEndpoint(context_.settings.caller_listen);
    if (!endpoint.ok()) {
      return endpoint.status();
    }
    absl::Status opened = http::Listen(acceptor_, *endpoint);
    if (opened.ok()) {
      asio::co_spawn(context_.io, caller_server_.Accept(acceptor_), asio::detached);
    }
    return opened;
  }

  void Execute(const policy::Action& action) override {
    if (const auto* offer = std::get_if<policy::SendOffer>(&action)) {
      Send(*offer);
    } else if (const auto* cancel = std::get_if<policy::SendCancel>(&action)) {
      wire::Message message;
      message.__set_cancel({});
      message.cancel.attempt = wire::ToWire(cancel->attempt);
      context_.links.Send(cancel->agent, message);
    } else if (const auto* decline = std::get_if<policy::SendDecline>(&action)) {
      wire::Message message;
      message.__set_decline({});
      message.decline.id = static_cast<std::int64_t>(decline->grant.value);
      context_.links.Send(decline->agent, message);
    } else if (const auto* demand = std::get_if<policy::SendDemand>(&action)) {
      wire::Message message;
      message.__set_demand(wire::ToWire(demand->demand));
      context_.links.Send(demand->agent, message);
    } else if (const auto* finish = std::get_if<policy::FinishRequest>(&action)) {
      if (const auto request = requests_.Find(finish->id)) {
        request->Finish({.outcome = finish->outcome, .reason = finish->reason});
      }
    }
  }

  void OnMessage(MemberId from, wire::Message message) override {
    if (message.__isset.queued) {
      context_.policy.Post(
          policy::AttemptQueued{.agent = from, .attempt = wire::FromWire(message.queued.attempt)});
    } else if (message.__isset.started) {
      context_.policy.Post(policy::AttemptStarted{
          .agent = from, .attempt = wire::FromWire(message.started.attempt)});
    } else if (message.__isset.head) {
      OnHead(message.head);
    } else if (message.__isset.chunk) {
      OnChunk(std::move(message.chunk));
    } else if (message.__isset.ended) {
      OnEnd(from, message.ended);
    } else if (message.__isset.grant) {
      OnGrant(from, message.grant);
    } else if (message.__isset.suspects) {
      context_.policy.Post(policy::SuspectsReceived{.suspects = wire::FromWire(message.suspects)});
    } else if (message.__isset.agent_report) {
      context_.policy.Post(policy::AgentReportReceived{
          .agent = from, .report = wire::FromWire(message.agent_report)});
    }
  }

  [[nodiscard]] bool Idle() const override { return requests_.empty(); }

  [[nodiscard]] std::string caller_address() const override {
    return http::FormatEndpoint(acceptor_.local_endpoint());
  }

 private:
  void Send(const policy::SendOffer& offer) {
    const auto request = requests_.Find(offer.attempt.request);
    if (request == nullptr || !request->BeginAttempt(offer.attempt.attempt)) {
      context_.policy.Post(policy::AttemptEnded{.agent = offer.agent,
                                                .attempt = offer.attempt,
                                                .result = policy::AttemptResult::kNotRun,
                                                .reason = policy::Reason::kCallerLeft});
      return;
    }
    wire::Message message;
    message.__set_offer(MakeOffer(offer, request->content()));
    context_.links.Send(offer.agent, message);
  }

  static wire::gen::Offer MakeOffer(const policy::SendOffer& offer,
                                    const CallerRequest::Content& content) {
    wire::gen::Offer out;
    out.attempt = wire::ToWire(offer.attempt);
    out.customer = static_cast<std::int64_t>(content.traits.customer.value);
    out.target = static_cast<std::int64_t>(content.traits.target.value);
    out.cost_hint = content.traits.cost_hint;
    out.digest = static_cast<std::int64_t>(content.traits.digest.value);
    out.repeatable = content.traits.repeatable;
    out.key = static_cast<std::int64_t>(content.traits.idempotency_key.value);
    out.key_age_us = content.traits.idempotency_key_age.count();
    out.grant = static_cast<std::int64_t>(offer.grant.value);
    out.method = content.method;
    out.path = content.path;
    out.content_type = content.content_type;
    out.body = content.body;
    out.customer_name = content.customer_name;
    out.idempotency_key = content.idempotency_key;
    return out;
  }

  void OnHead(const wire::gen::Head& head) {
    const AttemptId attempt = wire::FromWire(head.attempt);
    const auto request = requests_.Find(attempt.request);
    if (request == nullptr) {
      return;
    }
    const bool accepted = request->AcceptHead(
        attempt.attempt, ResponseHead{.status = static_cast<unsigned>(head.status),
                                      .content_type = head.content_type});
    if (accepted) {
      context_.policy.Post(policy::CallerResponseStarted{.id = attempt.request});
    }
  }

  void OnChunk(wire::gen::Chunk chunk) {
    const AttemptId attempt = wire::FromWire(chunk.attempt);
    const auto request = requests_.Find(attempt.request);
    if (request == nullptr) {
      return;
    }
    const auto offset = static_cast<std::uint64_t>(chunk.offset);
    if (!request->AcceptData(attempt.attempt, offset, std::move(chunk.data))) {
      LOG(WARNING) << "event=chunk_dropped request=" << FormatRequestId(attempt.request);
    }
  }

  void OnEnd(MemberId from, const wire::gen::End& end) {
    const AttemptId attempt = wire::FromWire(end.attempt);
    policy::AttemptResult result = wire::ResultFromWire(end.result);
    policy::Reason reason = wire::ReasonFromWire(end.reason);
    const auto request = requests_.Find(attempt.request);
    const auto length = static_cast<std::uint64_t>(end.length);
    if (request == nullptr || !request->IsComplete(attempt.attempt, length)) {
      result =
          result == policy::AttemptResult::kComplete ? policy::AttemptResult::kUnknown : result;
      reason = reason == policy::Reason::kUnframedEnd ? policy::Reason::kLinkLost : reason;
    }
    context_.policy.Post(policy::AttemptEnded{
        .agent = from, .attempt = attempt, .result = result, .reason = reason});
  }

  void OnGrant(MemberId from, const wire::gen::Grant& grant) {
    context_.policy.Post(
        policy::GrantReceived{.agent = from,
                              .grant = {static_cast<std::uint64_t>(grant.id)},
                              .customer = {static_cast<std::uint64_t>(grant.customer)},
                              .target = {static_cast<std::uint64_t>(grant.target)}});
  }

  DaemonContext context_;
  RequestTable requests_;
  http::Tcp::acceptor acceptor_;
  CallerServer caller_server_;
};

}  // namespace

std::unique_ptr<RoleDaemon> MakeEntryDaemon(const DaemonContext& context) {
  return std::make_unique<EntryDaemon>(context);
}

}  // namespace lagoonwind::runtime
