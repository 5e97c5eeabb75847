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

/// Runs the decisions of a process: gathers events from all threads and submits them in one frame
/// step. Lock order: step_mutex_ before pending_mutex_; neither is held while actions are carried
/// out.
class PolicyRunner {
 public:
  /// Carries out one action. Called in order, from one thread at a time.
  using ActionHandler = std::function<void(const policy::Action&)>;

  PolicyRunner(http::asio::io_context& io, std::unique_ptr<policy::Policy> policy);

  /// Starts the frame timer. Call once, before any Post.
  /// \param metrics  Told the time of each step.
  void Start(ActionHandler handler, Metrics& metrics);
  /// Gathers an event for the next frame. Thread safe.
  void Post(policy::Event event);
  /// Thread safe.
  [[nodiscard]] policy::Stats stats() const;
  /// Thread safe.
  [[nodiscard]] std::vector<policy::Decision> Explain(RequestId request, CustomerId customer,
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
