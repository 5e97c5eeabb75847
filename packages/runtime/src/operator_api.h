#pragma once

#include <nlohmann/json_fwd.hpp>

#include "daemon.h"

namespace lagoonwind::runtime {

/// HTTP API for operators: metrics, health, status, explanations of decisions and proposals of
/// rules. Thread safe.
class OperatorApi {
 public:
  explicit OperatorApi(const DaemonContext& context) : context_(context) {}
  http::asio::awaitable<http::Response> Handle(http::Request request);

 private:
  [[nodiscard]] http::Response Status() const;
  [[nodiscard]] http::Response Explain(std::string_view target) const;
  /// Returns the member that `backend=NAME` refers to: this agent by the name of its backend
  /// server, or any member by its own name.
  [[nodiscard]] MemberId ResolveMember(std::string_view backend) const;
  http::asio::awaitable<http::Response> Propose(std::string body);
  http::asio::awaitable<http::Response> History();

  DaemonContext context_;
};

}  // namespace lagoonwind::runtime
