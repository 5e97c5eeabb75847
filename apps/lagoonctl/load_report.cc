#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "load_result.h"

namespace lagoonwind::ctl {
namespace {

using nlohmann::json;

constexpr double kP50 = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kPercent = 100;

double QuantileMs(const Histogram& histogram, double fraction) {
  return histogram.Quantile(fraction) * kMillisecondsPerSecond;
}

json ToJson(const Histogram& histogram) {
  return json{{"count", histogram.count()},
              {"p50_ms", QuantileMs(histogram, kP50)},
              {"p95_ms", QuantileMs(histogram, kP95)},
              {"p99_ms", QuantileMs(histogram, kP99)}};
}

std::string FormatFailures(const LoadResult& result) {
  std::string text;
  for (const auto& [customer, tally] : result.tallies) {
    for (const auto& [status, count] : tally.failures) {
      const std::string cause =
          status == 0 ? "no complete response" : absl::StrCat("HTTP ", status);
      absl::StrAppend(&text, "not complete: ", customer, ": ", count, " with ", cause, "\n");
    }
  }
  return text;
}

std::string FormatUsage(const LoadResult& result) {
  const FleetUsage& usage = result.usage;
  if (usage.daemons == 0) {
    return "utilisation, shares and control traffic: unknown; specify daemons with --daemon\n";
  }
  std::string text;
  if (usage.utilisation >= 0) {
    text += absl::StrFormat("utilisation of the agents' concurrency limits: %.1f%%\n",
                            usage.utilisation * kPercent);
  }
  text += absl::StrFormat(
      "links between %d daemons: %.0f bytes of control messages, %.0f of requests and responses; "
      "control messages per daemon: %.0f bytes/s\n",
      usage.daemons, usage.control_bytes, usage.data_bytes,
      usage.control_bytes / std::max(result.seconds, 1.0) / usage.daemons);
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
        tally.invalid, tally.tokens, QuantileMs(tally.first_token, kP50),
        QuantileMs(tally.first_token, kP95), QuantileMs(tally.between_tokens, kP95),
        QuantileMs(tally.response_time, kP50), QuantileMs(tally.response_time, kP95));
  }
  text += FormatFailures(result);
  text += absl::StrFormat("fairness gap: %.1f units of service per share", result.fairness_gap);
  if (!result.widest_pair.first.empty()) {
    text += absl::StrFormat(" (%s, %s)", result.widest_pair.first, result.widest_pair.second);
  }
  absl::StrAppend(&text,
                  result.shares_known ? "\n" : ", with a share of 1 assumed for every customer\n");
  return text + FormatUsage(result);
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
                         {"broken", tally.invalid},
                         {"tokens", tally.tokens},
                         {"service", tally.service},
                         {"failures", failures},
                         {"first_token", ToJson(tally.first_token)},
                         {"between_tokens", ToJson(tally.between_tokens)},
                         {"whole", ToJson(tally.response_time)}});
  }
  const json report{{"seconds", result.seconds},
                    {"customers", customers},
                    {"fairness_gap", result.fairness_gap},
                    {"fairness_gap_between", {result.widest_pair.first, result.widest_pair.second}},
                    {"shares_known", result.shares_known},
                    {"utilisation", result.usage.utilisation},
                    {"control_bytes", result.usage.control_bytes},
                    {"data_bytes", result.usage.data_bytes},
                    {"daemons", result.usage.daemons}};
  return report.dump(2) + "\n";
}

std::string FormatCsv(const LoadResult& result) {
  std::string text =
      "customer,share,sent,complete,not_run,unknown,broken,tokens,service,first_p50_ms,"
      "first_p95_ms,next_p95_ms,whole_p50_ms,whole_p95_ms\n";
  for (const auto& [customer, tally] : result.tallies) {
    text += absl::StrFormat(
        "%s,%g,%d,%d,%d,%d,%d,%d,%g,%.3f,%.3f,%.3f,%.3f,%.3f\n", customer, tally.share, tally.sent,
        tally.complete, tally.not_run, tally.unknown, tally.invalid, tally.tokens, tally.service,
        QuantileMs(tally.first_token, kP50), QuantileMs(tally.first_token, kP95),
        QuantileMs(tally.between_tokens, kP95), QuantileMs(tally.response_time, kP50),
        QuantileMs(tally.response_time, kP95));
  }
  return text;
}

}  // namespace lagoonwind::ctl
