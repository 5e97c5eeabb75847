#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "load_tally.h"

namespace lagoonwind::ctl {
namespace {

using nlohmann::json;

constexpr double kMedian = 0.5;
constexpr double kNearlyAll = 0.95;
constexpr double kTail = 0.99;
constexpr double kMilliseconds = 1000;
constexpr double kPercent = 100;

double Ms(const Histogram& histogram, double part) {
  return histogram.Quantile(part) * kMilliseconds;
}

json ToJson(const Histogram& histogram) {
  return json{{"count", histogram.count()},
              {"p50_ms", Ms(histogram, kMedian)},
              {"p95_ms", Ms(histogram, kNearlyAll)},
              {"p99_ms", Ms(histogram, kTail)}};
}

std::string FormatFailures(const LoadResult& result) {
  std::string text;
  for (const auto& [customer, tally] : result.tallies) {
    for (const auto& [status, count] : tally.failures) {
      const std::string what = status == 0 ? "no whole answer" : absl::StrCat("HTTP ", status);
      absl::StrAppend(&text, "not complete: ", customer, ": ", count, " with ", what, "\n");
    }
  }
  return text;
}

std::string FormatUse(const LoadResult& result) {
  const FleetUse& use = result.use;
  if (use.daemons == 0) {
    return "utilisation, shares and control traffic: unknown; name daemons with --daemon\n";
  }
  std::string text;
  if (use.utilisation >= 0) {
    text +=
        absl::StrFormat("utilisation of the agents' windows: %.1f%%\n", use.utilisation * kPercent);
  }
  text += absl::StrFormat(
      "links between %d daemons: %.0f bytes of control, %.0f of requests and answers; control for "
      "each daemon %.0f bytes/s\n",
      use.daemons, use.control_bytes, use.data_bytes,
      use.control_bytes / std::max(result.seconds, 1.0) / use.daemons);
  return text;
}

}  // namespace

bool AllComplete(const LoadResult& result) {
  return std::ranges::all_of(
      result.tallies, [](const auto& item) { return item.second.sent == item.second.complete; });
}

std::string FormatTable(const LoadResult& result) {
  std::string text =
      absl::StrFormat("%-20s %5s %6s %8s %7s %7s %6s %8s %9s %9s %9s %9s %9s\n", "CUSTOMER",
                      "SHARE", "SENT", "COMPLETE", "NOT-RUN", "UNKNOWN", "BROKEN", "TOKENS",
                      "FIRST p50", "FIRST p95", "NEXT p95", "WHOLE p50", "WHOLE p95");
  for (const auto& [customer, tally] : result.tallies) {
    text += absl::StrFormat(
        "%-20s %5.0f %6d %8d %7d %7d %6d %8d %6.1f ms %6.1f ms %6.1f ms %6.0f ms %6.0f ms\n",
        customer, tally.share, tally.sent, tally.complete, tally.not_run, tally.unknown,
        tally.broken, tally.tokens, Ms(tally.first_token, kMedian),
        Ms(tally.first_token, kNearlyAll), Ms(tally.between_tokens, kNearlyAll),
        Ms(tally.whole, kMedian), Ms(tally.whole, kNearlyAll));
  }
  text += FormatFailures(result);
  text += absl::StrFormat("fairness gap: %.1f units of service per share", result.fairness_gap);
  if (!result.widest.first.empty()) {
    text += absl::StrFormat(" (%s, %s)", result.widest.first, result.widest.second);
  }
  absl::StrAppend(&text, result.shares_known ? "\n" : ", every share taken as 1\n");
  return text + FormatUse(result);
}

std::string FormatJson(const LoadResult& result) {
  json customers = json::array();
  for (const auto& [customer, tally] : result.tallies) {
    json failures = json::object();
    for (const auto& [status, count] : tally.failures) {
      failures[std::to_string(status)] = count;
    }
    customers.push_back({{"customer", customer},
                         {"share", tally.share},
                         {"sent", tally.sent},
                         {"complete", tally.complete},
                         {"not_run", tally.not_run},
                         {"unknown", tally.unknown},
                         {"broken", tally.broken},
                         {"tokens", tally.tokens},
                         {"service", tally.service},
                         {"failures", failures},
                         {"first_token", ToJson(tally.first_token)},
                         {"between_tokens", ToJson(tally.between_tokens)},
                         {"whole", ToJson(tally.whole)}});
  }
  const json report{{"seconds", result.seconds},
                    {"customers", customers},
                    {"fairness_gap", result.fairness_gap},
                    {"fairness_gap_between", {result.widest.first, result.widest.second}},
                    {"shares_known", result.shares_known},
                    {"utilisation", result.use.utilisation},
                    {"control_bytes", result.use.control_bytes},
                    {"data_bytes", result.use.data_bytes},
                    {"daemons", result.use.daemons}};
  return report.dump(2) + "\n";
}

std::string FormatCsv(const LoadResult& result) {
  std::string text =
      "customer,share,sent,complete,not_run,unknown,broken,tokens,service,first_p50_ms,"
      "first_p95_ms,next_p95_ms,whole_p50_ms,whole_p95_ms\n";
  for (const auto& [customer, tally] : result.tallies) {
    text +=
        absl::StrFormat("%s,%g,%d,%d,%d,%d,%d,%d,%g,%.3f,%.3f,%.3f,%.3f,%.3f\n", customer,
                        tally.share, tally.sent, tally.complete, tally.not_run, tally.unknown,
                        tally.broken, tally.tokens, tally.service, Ms(tally.first_token, kMedian),
                        Ms(tally.first_token, kNearlyAll), Ms(tally.between_tokens, kNearlyAll),
                        Ms(tally.whole, kMedian), Ms(tally.whole, kNearlyAll));
  }
  return text;
}

}  // namespace lagoonwind::ctl
