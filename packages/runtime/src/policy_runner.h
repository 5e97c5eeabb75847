#pragma once

#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "lagoonwind/http.h"
#include "lagoonwind/policy.h"
#include "metrics.h"

namespace lagoonwind::runtime {

/// Runs the policy of a process: collects events from all threads, passes them to the policy in
/// steps and executes the actions that it returns. Lock order: step_mutex_ before pending_mutex_;
/// neither is held while actions are executed.
class PolicyRunner {
 public:
  /// Executes one action. Called in order, from one thread at a time.
  using ActionHandler = std::function<void(const policy::Action&)>;

  PolicyRunner(http::asio::io_context& io, std::unique_ptr<policy::Policy> policy);

  /// Starts the step timer. Call once, before any Post.
  /// \param metrics  Records the duration of each step.
  void Start(ActionHandler handler, Metrics& metrics);
  /// Queues an event for the next step. Thread safe.
  void Post(policy::Event event);
  /// Returns the statistics of the policy. Thread safe.
  [[nodiscard]] policy::Stats stats() const;
  /// Returns the recorded decisions about a request, a customer or a member. Thread safe.
  [[nodiscard]] std::vector<policy::Decision> FindDecisions(RequestId request, CustomerId customer,
                                                            MemberId member) const;

 private:
  http::asio::awaitable<void> RunTimer();
  void RunStep();

  http::asio::strand<http::asio::io_context::executor_type> strand_;
  ActionHandler handler_;
  Metrics* metrics_ = nullptr;

  mutable std::mutex step_mutex_;
  std::unique_ptr<policy::Policy> policy_;

  std::mutex pending_mutex_;
  std::vector<policy::Event> pending_events_;
  bool step_scheduled_ = false;
};

}  // namespace lagoonwind::runtime
