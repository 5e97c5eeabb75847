#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/http.h"
#include "load_result.h"

namespace lagoonwind::ctl {

/// Bytes sent over the links between daemons, by kind of message.
struct LinkBytes {
  double control = 0;
  double data = 0;
};

/// Sums the bytes that a daemon sent over its links, from the text of its /metrics page. Requests
/// and the heads and chunks of responses count as data, all other messages as control. Thread safe.
LinkBytes SentBytes(std::string_view metrics_page);

/// Polls daemons during a load test for their utilisation and the traffic of their links.
/// Not thread safe: all coroutines must run on one thread.
class FleetProbe {
 public:
  /// \param daemons  Operators' ports as IP:PORT; daemons that do not respond are skipped.
  explicit FleetProbe(std::vector<std::string> daemons) : daemons_(std::move(daemons)) {}

  /// Reads the customers' shares and the byte counters; call before the load starts.
  http::asio::awaitable<void> Begin();
  /// Takes one sample of the agents' running requests and concurrency limits.
  http::asio::awaitable<void> Sample();
  /// Reads the byte counters again. \return Usage since Begin.
  http::asio::awaitable<FleetUsage> End();

  /// Fair shares by customer from the rules in force; empty if no daemon responded.
  [[nodiscard]] const std::map<std::string, double>& shares() const { return shares_; }
  [[nodiscard]] bool empty() const { return daemons_.empty(); }

 private:
  std::vector<std::string> daemons_;
  std::map<std::string, LinkBytes> initial_bytes_;
  std::map<std::string, double> shares_;
  double utilisation_sum_ = 0;
  int samples_ = 0;
};

}  // namespace lagoonwind::ctl
