#include <absl/container/flat_hash_map.h>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <iterator>
#include <mutex>

#include "attempt_execution.h"
#include "claim_log.h"
#include "daemon.h"
#include "lagoonwind/backend.h"
#include "lagoonwind/limits.h"
#include "lagoonwind/wire.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;

backend::BackendKind BackendKindOf(const Settings& settings) {
  return settings.backend_is_model ? backend::BackendKind::kModelEngine
                                   : backend::BackendKind::kPlainService;
}

policy::RequestTraits TraitsOf(const wire::gen::Offer& offer) {
  return policy::RequestTraits{.customer = {static_cast<std::uint64_t>(offer.customer)},
                               .target = {static_cast<std::uint64_t>(offer.target)},
                               .cost_hint = offer.cost_hint,
                               .digest = {static_cast<std::uint64_t>(offer.digest)},
                               .repeatable = offer.repeatable,
                               .idempotency_key = {static_cast<std::uint64_t>(offer.key)},
                               .idempotency_key_age = Duration(offer.key_age_us)};
}

/// Role of an agent: executes attempts of entries on one backend server. Its mutex is a leaf in the
/// lock order.
class AgentDaemon final : public RoleDaemon {
 public:
  explicit AgentDaemon(const DaemonContext& context)
      : context_(context),
        claims_(context.io, context.log, context.policy),
        backend_(backend::MakeHttpBackend(BackendKindOf(context.settings),
                                          context.settings.backend_address)) {}

  absl::Status Start() override {
    asio::co_spawn(context_.io, ObserveBackend(), asio::detached);
    return absl::OkStatus();
  }

  void Execute(const policy::Action& action) override {
    if (const auto* start = std::get_if<policy::StartAttempt>(&action)) {
      LaunchAttempt(start->attempt);
    } else if (const auto* queue = std::get_if<policy::QueueAttempt>(&action)) {
      EraseAttempt(queue->attempt);
      wire::Message message;
      message.__set_queued({});
      message.queued.attempt = wire::ToWire(queue->attempt);
      context_.links.Send(queue->entry, message);
    } else if (const auto* refuse = std::get_if<policy::RefuseAttempt>(&action)) {
      SendRefusal(*refuse);
    } else if (const auto* cancel = std::get_if<policy::CancelAttempt>(&action)) {
      if (const auto execution = FindAttempt(cancel->attempt)) {
        execution->Cancel();
      }
    } else if (const auto* append = std::get_if<policy::AppendClaim>(&action)) {
      claims_.Append(*append);
    } else if (const auto* read = std::get_if<policy::ReadClaims>(&action)) {
      claims_.Read(*read);
    } else if (const auto* replay = std::get_if<policy::ReplayResponse>(&action)) {
      SendStoredResponse(*replay);
    } else if (const auto* grant = std::get_if<policy::SendGrant>(&action)) {
      Send(*grant);
    } else if (const auto* report = std::get_if<policy::SendAgentReport>(&action)) {
      wire::Message message;
      message.__set_agent_report(wire::ToWire(report->report));
      context_.links.Broadcast(policy::Role::kEntry, message);
    } else if (const auto* ledger = std::get_if<policy::SendLedgerReport>(&action)) {
      wire::Message message;
      message.__set_ledger_report(wire::ToWire(ledger->report));
      context_.links.Send(ledger->owner, message);
    } else if (const auto* totals = std::get_if<policy::SendLedgerTotals>(&action)) {
      wire::Message message;
      message.__set_ledger_totals(wire::ToWire(totals->totals));
      context_.links.Send(totals->agent, message);
    }
  }

  void OnMessage(MemberId from, wire::Message message) override {
    if (message.__isset.offer) {
      OnOffer(from, std::move(message.offer));
    } else if (message.__isset.cancel) {
      context_.policy.Post(
          policy::CancelReceived{.attempt = wire::FromWire(message.cancel.attempt)});
    } else if (message.__isset.demand) {
      context_.policy.Post(
          policy::DemandReported{.entry = from, .demand = wire::FromWire(message.demand)});
    } else if (message.__isset.suspects) {
      context_.policy.Post(policy::SuspectsReceived{.suspects = wire::FromWire(message.suspects)});
    } else if (message.__isset.decline) {
      context_.policy.Post(policy::GrantDeclined{
          .entry = from, .grant = {static_cast<std::uint64_t>(message.decline.id)}});
    } else if (message.__isset.ledger_report) {
      context_.policy.Post(policy::LedgerReportReceived{
          .agent = from, .report = wire::FromWire(message.ledger_report)});
    } else if (message.__isset.ledger_totals) {
      context_.policy.Post(policy::LedgerTotalsReceived{
          .owner = from, .totals = wire::FromWire(message.ledger_totals)});
    }
  }

  [[nodiscard]] bool Idle() const override {
    const std::scoped_lock lock(mutex_);
    return attempts_.empty() && claims_.idle();
  }

  [[nodiscard]] std::string caller_address() const override { return {}; }

 private:
  void OnOffer(MemberId from, wire::gen::Offer offer) {
    policy::OfferReceived event{.entry = from,
                                .attempt = wire::FromWire(offer.attempt),
                                .traits = TraitsOf(offer),
                                .grant = {static_cast<std::uint64_t>(offer.grant)}};
    auto execution = std::make_shared<AttemptExecution>(context_, from, std::move(offer));
    {
      const std::scoped_lock lock(mutex_);
      if (!attempts_.try_emplace(event.attempt, std::move(execution)).second) {
        return;
      }
    }
    context_.policy.Post(event);
  }

  void LaunchAttempt(AttemptId id) {
    const auto execution = FindAttempt(id);
    if (execution == nullptr) {
      return;
    }
    asio::co_spawn(
        asio::make_strand(context_.io),
        [this, execution]() -> asio::awaitable<void> {
          co_await execution->Run(*backend_, backend_incarnation_);
          EraseAttempt(execution->id());
        },
        asio::detached);
  }

  void SendRefusal(const policy::RefuseAttempt& refuse) {
    EraseAttempt(refuse.attempt);
    wire::Message message;
    message.__set_ended({});
    message.ended.attempt = wire::ToWire(refuse.attempt);
    message.ended.result = static_cast<std::int32_t>(refuse.result);
    message.ended.reason = static_cast<std::int32_t>(refuse.reason);
    context_.links.Send(refuse.entry, message);
  }

  /// Sends a stored response as if the attempt had been executed.
  void SendStoredResponse(const policy::ReplayResponse& replay) {
    EraseAttempt(replay.attempt);
    const wire::gen::Attempt attempt = wire::ToWire(replay.attempt);
    wire::Message head;
    head.__set_head({});
    head.head.attempt = attempt;
    head.head.status = static_cast<std::int32_t>(replay.response->status);
    head.head.content_type = replay.response->content_type;
    context_.links.Send(replay.entry, head);
    wire::Message chunk;
    chunk.__set_chunk({});
    chunk.chunk.attempt = attempt;
    chunk.chunk.data = replay.response->body;
    context_.links.Send(replay.entry, chunk);
    wire::Message ended;
    ended.__set_ended({});
    ended.ended.attempt = attempt;
    ended.ended.result = static_cast<std::int32_t>(policy::AttemptResult::kComplete);
    ended.ended.length = static_cast<std::int64_t>(replay.response->body.size());
    context_.links.Send(replay.entry, ended);
  }

  void Send(const policy::SendGrant& grant) {
    wire::Message message;
    message.__set_grant({});
    message.grant.id = static_cast<std::int64_t>(grant.grant.value);
    message.grant.customer = static_cast<std::int64_t>(grant.customer.value);
    message.grant.target = static_cast<std::int64_t>(grant.target.value);
    context_.links.Send(grant.entry, message);
  }

  std::shared_ptr<AttemptExecution> FindAttempt(AttemptId id) const {
    const std::scoped_lock lock(mutex_);
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : found->second;
  }

  void EraseAttempt(AttemptId id) {
    const std::scoped_lock lock(mutex_);
    attempts_.erase(id);
  }

  asio::awaitable<void> ObserveBackend() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
      const auto health = co_await backend_->CheckHealth();
      policy::BackendObserved event{.reachable = health.ok()};
      if (health.ok()) {
        event.incarnation = health->incarnation;
        backend_incarnation_ = health->incarnation;
        event.running = health->running;
        std::ranges::transform(health->targets, std::back_inserter(event.targets),
                               [](const std::string& name) { return HandleOf<TargetId>(name); });
      }
      context_.policy.Post(std::move(event));
      timer.expires_after(limits::kBackendPollInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  DaemonContext context_;
  ClaimLog claims_;
  std::unique_ptr<backend::Backend> backend_;

  /// Incarnation of the backend server when last observed; 0 before the first observation.
  std::atomic<std::uint64_t> backend_incarnation_{0};

  mutable std::mutex mutex_;
  absl::flat_hash_map<AttemptId, std::shared_ptr<AttemptExecution>> attempts_;
};

}  // namespace

std::unique_ptr<RoleDaemon> MakeAgentDaemon(const DaemonContext& context) {
  return std::make_unique<AgentDaemon>(context);
}

}  // namespace lagoonwind::runtime
