#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/http.h"
#include "load_result.h"

namespace lagoonwind::ctl {

/// Bytes that links carried.
struct LinkBytes {
  double control = 0;
  double data = 0;
};

/// Sums what a daemon sent over its links, from its page of metrics. Requests, heads and parts of
/// answers are data, all else is control. Thread safe.
LinkBytes SentBytes(std::string_view metrics_page);

/// Asks daemons, while a load runs, how busy they are and what their links carry.
/// Not thread safe: all coroutines run on one thread.
class FleetProbe {
 public:
  /// \param daemons  Operators' ports; those that don't answer are left out.
  explicit FleetProbe(std::vector<std::string> daemons) : daemons_(std::move(daemons)) {}

  /// Reads the shares and the counters before the load.
  http::asio::awaitable<void> Begin();
  /// Takes one sample of running requests and windows.
  http::asio::awaitable<void> Sample();
  /// Reads the counters again. \return What was used since Begin.
  http::asio::awaitable<FleetUsage> End();

  /// Shares by customer from the rules in force; empty if no daemon answered.
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
