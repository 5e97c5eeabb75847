#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "caller_request.h"
#include "lagoonwind/policy.h"

/// \file
/// Simulates entries, agents, links, the claim log and backend servers in virtual time and injects
/// faults drawn from a seed. Runs the production policy code; I/O around it is faked.
namespace lagoonwind::testing {

/// \return A configuration at offset 0 with one customer and the given rules for targets.
std::shared_ptr<const Configuration> TestRules(const std::string& targets);

/// Kinds of faults that a schedule may inject.
struct FaultOptions {
  std::uint32_t seed = 1;
  /// Processes are killed and restarted.
  bool kills = true;
  /// Links are disconnected and restored.
  bool cuts = true;
  /// Processes stop executing for a time.
  bool freezes = true;
  /// Messages are delivered twice; parts of a response may be reordered.
  bool duplicate_messages = true;
  /// The log fails, loses or delays appends, and fails reads or skips a record.
  bool log_faults = true;
  /// Processes are asked to drain.
  bool drains = false;
  /// Records that each log stream retains.
  std::size_t retain = 1000;
};

/// What the caller observed of one request.
struct RequestResult {
  std::string key;
  std::string content;
  std::optional<policy::Outcome> outcome;
  policy::Reason reason = policy::Reason::kNone;
  std::string response;
  int response_heads = 0;
  bool entry_died = false;
  /// When the caller received the outcome.
  Time finished_at;
};

/// One execution of a request on a backend server.
struct ServiceExecution {
  RequestId request;
  std::string key;
  std::string content;
  std::string response;
  Time started;
};

/// Simulates one schedule of requests and faults. Not thread safe.
class FaultWorld {
 public:
  explicit FaultWorld(const FaultOptions& options);
  ~FaultWorld();

  /// Sends requests and injects faults for 20 s of virtual time, then ends all faults, calls each
  /// key once more and simulates another 140 s so that every request finishes.
  void Run();

  [[nodiscard]] const std::map<RequestId, RequestResult>& results() const { return results_; }
  /// One call for each key, sent after all faults have ended.
  [[nodiscard]] const std::vector<RequestId>& final_calls() const { return final_calls_; }
  [[nodiscard]] const std::vector<ServiceExecution>& executions() const { return executions_; }

 private:
  struct Node {
    std::string name;
    policy::Role role = policy::Role::kEntry;
    std::unique_ptr<policy::Policy> policy;
    Incarnation incarnation;
    Time frozen_until;
    std::vector<policy::Event> inbox;
    /// Link epochs by peer name; messages sent in an earlier epoch are dropped.
    std::map<std::string, std::uint64_t> epochs;

    [[nodiscard]] MemberId id() const { return HandleOf<MemberId>(name); }
    [[nodiscard]] policy::Member member() const {
      return {
          .id = id(), .name = name, .role = role, .zone = HandleOf<ZoneId>("z"), .address = name};
    }
  };
  struct LogStream {
    std::int64_t first = 0;
    std::deque<std::pair<Time, policy::ClaimRecord>> records;
  };

  bool RandomBool(double probability);
  Duration RandomDelay(int min_ms, int max_ms);
  void Schedule(Duration delay, std::function<void()> callback);
  void Advance(Time until, Duration step);

  void Start(Node& node);
  void Kill(Node& node);
  void Link(Node& entry, Node& agent);
  void Disconnect(Node& entry, Node& agent);
  void Send(Node& from, Node& to, const policy::Event& event);
  void Deliver(Node& to, policy::Event event);
  void Step(Node& node);
  void InjectRandomFault();

  void Execute(Node& node, const policy::Action& action);
  void ExecuteAtEntry(Node& node, const policy::Action& action);
  void Offer(Node& entry, const policy::SendOffer& offer);
  void Append(Node& node, const policy::AppendClaim& append);
  void Store(const policy::AppendClaim& append);
  void Read(Node& node, const policy::ReadClaims& read);
  void ExecuteCall(Node& agent, MemberId entry, AttemptId attempt);
  void SendResponse(Node& agent, MemberId entry, AttemptId attempt, const std::string& body);
  void FinishCall(Node& agent, MemberId entry, AttemptId attempt, std::size_t execution);
  void SendResponsePart(Node& agent, MemberId entry, AttemptId attempt,
                        const std::function<void(runtime::CallerRequest&)>& deliver);
  void Call(const std::string& key, const std::string& content);
  http::asio::awaitable<void> Collect(std::shared_ptr<runtime::CallerRequest> request);
  Node& NodeOf(MemberId id);

  FaultOptions options_;
  std::mt19937 random_;
  Time now_;
  std::multimap<Time, std::function<void()>> scheduled_tasks_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::uint32_t, LogStream> log_;
  bool log_down_ = false;
  bool faults_ = true;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_incarnation_ = 0;
  http::asio::io_context io_;
  std::map<RequestId, RequestResult> results_;
  std::map<RequestId, std::shared_ptr<runtime::CallerRequest>> requests_;
  std::vector<ServiceExecution> executions_;
  std::vector<RequestId> final_calls_;
};

}  // namespace lagoonwind::testing
