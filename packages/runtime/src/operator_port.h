#pragma once

#include "daemon.h"

namespace lagoonwind::runtime {

/// Answers operators' requests: metrics, health, status, explain and proposals of rules.
/// Thread safe.
class OperatorPort {
 public:
  explicit OperatorPort(const DaemonContext& context) : context_(context) {}
  http::asio::awaitable<http::Response> Handle(http::Request request);

 private:
  http::Response Status() const;
  http::Response Explain(std::string_view target) const;
  http::asio::awaitable<http::Response> Propose(std::string body);
  http::asio::awaitable<http::Response> History();

  DaemonContext context_;
};

}  // namespace lagoonwind::runtime
