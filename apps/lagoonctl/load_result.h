#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "histogram.h"

namespace lagoonwind::ctl {

/// What came back to one customer.
struct Tally {
  int sent = 0;
  int complete = 0;
  int not_run = 0;
  int unknown = 0;
  /// Answers that claimed to be complete and weren't whole or weren't the caller's own.
  int invalid = 0;
  int tokens = 0;
  /// Requests without any part of their answer yet.
  int awaiting_response = 0;
  /// In the units of docs/FAIRNESS.md.
  double service = 0;
  double share = 1;
  Histogram response_time;
  Histogram first_token;
  Histogram between_tokens;
  /// Requests that weren't complete, by HTTP status; 0 if there was no answer.
  std::map<unsigned, int> failures;
};

/// One point of the plot.
struct LoadSample {
  double seconds = 0;
  /// Service of each customer so far, per share, in the order of LoadResult::tallies.
  std::vector<double> service_per_share;
};

/// What the daemons say of a run.
struct FleetUsage {
  /// Running requests over windows of all agents asked, mean of the samples; below 0 if unknown.
  double utilisation = -1;
  /// Bytes of control messages that all daemons asked sent; below 0 if unknown.
  double control_bytes = -1;
  double data_bytes = -1;
  int daemons = 0;
};

struct LoadResult {
  std::map<std::string, Tally> tallies;
  std::vector<LoadSample> samples;
  double seconds = 0;
  double fairness_gap = 0;
  std::pair<std::string, std::string> widest_pair;
  bool shares_known = false;
  FleetUsage usage;
};

/// True if every answer was whole.
bool AllComplete(const LoadResult& result);

std::string FormatTable(const LoadResult& result);
std::string FormatJson(const LoadResult& result);
std::string FormatCsv(const LoadResult& result);
/// Service per share over time, a line for each customer, as a page of SVG.
std::string FormatSvg(const LoadResult& result);

}  // namespace lagoonwind::ctl
