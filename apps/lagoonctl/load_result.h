#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "histogram.h"

namespace lagoonwind::ctl {

/// Counts and latencies of one customer's requests.
struct Tally {
  int sent = 0;
  int complete = 0;
  int not_run = 0;
  int unknown = 0;
  /// Responses reported as complete that were truncated, out of order or another request's.
  int invalid = 0;
  int tokens = 0;
  /// Requests of whose response nothing has arrived yet.
  int awaiting_response = 0;
  /// Service received, in the units of docs/FAIRNESS.md.
  double service = 0;
  /// Fair share from the rules; 1 if unknown.
  double share = 1;
  /// Time until the end of the response, whatever its outcome.
  Histogram response_time;
  Histogram first_token;
  Histogram between_tokens;
  /// Requests whose outcome was not complete, by HTTP status; 0 if the response was cut off or
  /// never arrived.
  std::map<unsigned, int> failures;
};

/// One point of the plot.
struct LoadSample {
  double seconds = 0;
  /// Each customer's service per share so far, in the order of LoadResult::tallies.
  std::vector<double> service_per_share;
};

/// Usage of the fleet during a load test, as its daemons report it.
struct FleetUsage {
  /// Ratio of running requests to concurrency limits over all polled agents, mean of the samples;
  /// negative if unknown.
  double utilisation = -1;
  /// Bytes of control messages that the polled daemons sent; negative if unknown.
  double control_bytes = -1;
  /// Bytes of requests and responses that they sent; negative if unknown.
  double data_bytes = -1;
  /// Number of daemons whose counters were read.
  int daemons = 0;
};

struct LoadResult {
  /// By customer.
  std::map<std::string, Tally> tallies;
  std::vector<LoadSample> samples;
  double seconds = 0;
  /// See FairnessMeter.
  double fairness_gap = 0;
  std::pair<std::string, std::string> widest_pair;
  bool shares_known = false;
  FleetUsage usage;
};

/// True if every request got a complete and valid response.
bool AllComplete(const LoadResult& result);

std::string FormatTable(const LoadResult& result);
std::string FormatJson(const LoadResult& result);
std::string FormatCsv(const LoadResult& result);
/// SVG plot of service per share over time, with one line for each customer.
std::string FormatSvg(const LoadResult& result);

}  // namespace lagoonwind::ctl
