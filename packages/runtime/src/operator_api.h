#pragma once

#include <nlohmann/json_fwd.hpp>

#include "daemon.h"

namespace lagoonwind::runtime {

/// Answers operators' requests: metrics, health, status, explain and proposals of rules.
/// Thread safe.
class OperatorApi {
 public:
  explicit OperatorApi(const DaemonContext& context) : context_(context) {}
  http::asio::awaitable<http::Response> Handle(http::Request request);

 private:
  [[nodiscard]] http::Response Status() const;
  [[nodiscard]] http::Response Explain(std::string_view target) const;
  /// The member whose decisions `backend=NAME` asks for: this agent by its backend server's name,
  /// or any member by its own.
  [[nodiscard]] MemberId ResolveMember(std::string_view backend) const;
  http::asio::awaitable<http::Response> Propose(std::string body);
  http::asio::awaitable<http::Response> History();

  DaemonContext context_;
};

}  // namespace lagoonwind::runtime
