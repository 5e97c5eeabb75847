#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fault_world.h"

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
using policy::AttemptResult;
using policy::Reason;

/// Bytes in each part of a response.
constexpr std::size_t kPartBytes = 7;

}  // namespace

FaultWorld::Node& FaultWorld::NodeOf(MemberId id) {
  return **std::ranges::find(nodes_, id, [](const auto& node) { return node->id(); });
}

void FaultWorld::Call(const std::string& key, const std::string& content) {
  Node& entry = *nodes_[nodes_.size() - 1 - random_() % 2];
  if (entry.policy == nullptr) {
    return;
  }
  const RequestId id{.entry = entry.incarnation, .number = ++last_number_};
  runtime::CallerRequest::Content request{.id = id, .body = content, .idempotency_key = key};
  request.traits = {.customer = HandleOf<CustomerId>("erie"),
                    .target = HandleOf<TargetId>("bookings"),
                    .digest = HandleOf<Digest>(content),
                    .repeatable = false,
                    .idempotency_key = HandleOf<Digest>(key)};
  results_[id] = {.key = key, .content = content};
  requests_[id] = std::make_shared<runtime::CallerRequest>(request, io_.get_executor());
  asio::co_spawn(io_, Collect(requests_[id]), asio::detached);
  Deliver(entry, policy::RequestArrived{.id = id, .traits = request.traits});
  if (!faults_) {
    final_calls_.push_back(id);
  } else if (RandomBool(0.1)) {
    Schedule(RandomDelay(0, 100), [this, &entry, id] {
      if (entry.incarnation == id.entry && !results_[id].outcome) {
        results_[id].outcome = policy::Outcome::kUnknown;
        Deliver(entry, policy::CallerDisconnected{.id = id});
      }
    });
  }
}

asio::awaitable<void> FaultWorld::Collect(std::shared_ptr<runtime::CallerRequest> request) {
  RequestResult& result = results_.at(request->content().id);
  for (;;) {
    const auto part = co_await request->NextPart();
    if (std::holds_alternative<runtime::ResponseHead>(part)) {
      ++result.response_heads;
    } else if (const auto* data = std::get_if<std::string>(&part)) {
      result.response += *data;
    } else {
      co_return;
    }
  }
}

void FaultWorld::ExecuteCall(Node& agent, MemberId entry, AttemptId attempt) {
  Send(agent, NodeOf(entry), policy::AttemptStarted{.agent = agent.id(), .attempt = attempt});
  const auto& content = requests_.at(attempt.request)->content();
  const std::size_t execution = executions_.size();
  const bool refused = faults_ && RandomBool(0.1);
  if (!refused) {
    executions_.push_back(
        {.request = attempt.request,
         .key = content.idempotency_key,
         .content = content.body,
         .response = "answer to " + content.body + ", run " + std::to_string(execution),
         .started = now_});
  }
  const Incarnation incarnation = agent.incarnation;
  Schedule(RandomDelay(1, 400), [=, this, &agent] {
    if (agent.incarnation != incarnation || agent.policy == nullptr) {
      return;
    }
    if (!refused) {
      FinishCall(agent, entry, attempt, execution);
      return;
    }
    Deliver(agent, policy::AttemptFinished{.attempt = attempt,
                                           .result = AttemptResult::kNotRun,
                                           .reason = Reason::kBackendRefused});
    if (content.idempotency_key.empty()) {
      Send(agent, NodeOf(entry),
           policy::AttemptEnded{.agent = agent.id(),
                                .attempt = attempt,
                                .result = AttemptResult::kNotRun,
                                .reason = Reason::kBackendRefused});
    }
  });
}

void FaultWorld::FinishCall(Node& agent, MemberId entry, AttemptId attempt, std::size_t execution) {
  if (faults_ && RandomBool(0.1)) {
    const policy::AttemptEnded ended{
        .agent = agent.id(), .attempt = attempt, .reason = Reason::kBackendFailed};
    Send(agent, NodeOf(entry), ended);
    Deliver(agent, policy::AttemptFinished{.attempt = attempt, .reason = ended.reason});
    return;
  }
  const auto response = std::make_shared<policy::StoredResponse>(
      policy::StoredResponse{.body = executions_[execution].response});
  SendResponse(agent, entry, attempt, response->body);
  Deliver(agent, policy::AttemptFinished{
                     .attempt = attempt, .result = AttemptResult::kComplete, .response = response});
}

/// Sends a response in parts that may be reordered.
void FaultWorld::SendResponse(Node& agent, MemberId entry, AttemptId attempt,
                              const std::string& body) {
  SendResponsePart(agent, entry, attempt, [attempt](auto& request) {
    request.AcceptHead(attempt.attempt, runtime::ResponseHead{.status = 200});
  });
  for (std::size_t at = 0; at < body.size(); at += kPartBytes) {
    const std::string data = body.substr(at, kPartBytes);
    SendResponsePart(agent, entry, attempt,
                     [=](auto& request) { request.AcceptData(attempt.attempt, at, data); });
  }
  SendResponsePart(agent, entry, attempt, [=, this, &agent](auto& request) {
    const bool complete = request.IsComplete(attempt.attempt, body.size());
    Deliver(NodeOf(entry), policy::AttemptEnded{.agent = agent.id(),
                                                .attempt = attempt,
                                                .result = complete ? AttemptResult::kComplete
                                                                   : AttemptResult::kUnknown});
  });
}

void FaultWorld::SendResponsePart(Node& agent, MemberId entry, AttemptId attempt,
                                  const std::function<void(runtime::CallerRequest&)>& deliver) {
  Node& to = NodeOf(entry);
  const std::uint64_t epoch = to.epochs[agent.name];
  const Incarnation incarnation = attempt.request.entry;
  const int copies = options_.duplicate_messages && faults_ && RandomBool(0.05) ? 2 : 1;
  // Parts normally arrive in order, as on a link; a few are delayed by another 1 to 10 ms.
  Duration delay = std::chrono::milliseconds(30);
  if (options_.duplicate_messages && faults_ && RandomBool(0.03)) {
    delay += RandomDelay(1, 10);
  }
  for (int i = 0; i < copies; ++i) {
    Schedule(delay, [=, this, &to, &agent] {
      if (to.epochs[agent.name] == epoch && to.policy != nullptr && to.incarnation == incarnation) {
        deliver(*requests_.at(attempt.request));
      }
    });
    delay += std::chrono::milliseconds(15);
  }
}

}  // namespace lagoonwind::testing
