#include "rollout_report.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <span>

namespace lagoonwind::wire {
namespace {

using policy::RolloutCounts;
using policy::RolloutHistogram;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxCount = std::int64_t{1} << 48U;
constexpr std::int64_t kMaxMilliseconds = std::int64_t{1} << 40U;
/// Counts of a second: three of each version.
constexpr std::size_t kSecondCounts = 6;

std::int32_t ToCount(std::uint32_t value) {
  return static_cast<std::int32_t>(
      std::min<std::uint32_t>(value, std::numeric_limits<std::int32_t>::max()));
}

std::int64_t ToMilliseconds(Duration time) {
  return std::clamp<std::int64_t>(std::chrono::duration_cast<milliseconds>(time).count(), 0,
                                  kMaxMilliseconds);
}

std::vector<std::int32_t> HistogramToWire(const RolloutHistogram& histogram) {
  const auto last = std::find_if(histogram.rbegin(), histogram.rend(),
                                 [](std::uint32_t count) { return count != 0; });
  std::vector<std::int32_t> out;
  std::transform(histogram.begin(), last.base(), std::back_inserter(out), ToCount);
  return out;
}

RolloutHistogram HistogramFromWire(std::span<const std::int32_t> counts) {
  RolloutHistogram histogram{};
  std::ranges::copy(counts, histogram.begin());
  return histogram;
}

gen::RolloutCountsReport CountsToWire(const RolloutCounts& counts) {
  gen::RolloutCountsReport out;
  out.responses = ToCount(counts.responses);
  out.failures = ToCount(counts.failures);
  out.first_byte = HistogramToWire(counts.first_byte);
  out.total = HistogramToWire(counts.total);
  return out;
}

RolloutCounts CountsFromWire(const gen::RolloutCountsReport& counts) {
  return {.responses = static_cast<std::uint32_t>(counts.responses),
          .failures = static_cast<std::uint32_t>(counts.failures),
          .first_byte = HistogramFromWire(counts.first_byte),
          .total = HistogramFromWire(counts.total)};
}

bool AreCounts(std::span<const std::int32_t> counts, std::size_t max_size) {
  return counts.size() <= max_size &&
         std::ranges::all_of(counts, [](std::int32_t count) { return count >= 0; });
}

bool IsPlausible(const gen::RolloutCountsReport& counts) {
  return counts.responses >= 0 && counts.failures >= 0 && counts.failures <= counts.responses &&
         AreCounts(counts.first_byte, policy::kRolloutLatencyClasses) &&
         AreCounts(counts.total, policy::kRolloutLatencyClasses);
}

}  // namespace

gen::RolloutReport RolloutToWire(const policy::RolloutReport& report) {
  gen::RolloutReport out;
  out.order = static_cast<std::int64_t>(report.order_id);
  out.state = static_cast<std::int32_t>(report.state);
  out.elapsed_ms = ToMilliseconds(report.elapsed);
  out.requests = static_cast<std::int64_t>(report.requests);
  out.sent_old = static_cast<std::int64_t>(report.sent[0]);
  out.sent_target = static_cast<std::int64_t>(report.sent[1]);
  out.outstanding_old = ToCount(report.outstanding[0]);
  out.outstanding_target = ToCount(report.outstanding[1]);
  out.left_old = report.left_old;
  out.longest_old_ms = ToMilliseconds(report.longest_old);
  for (const policy::RolloutRouteCounts& route : report.routes) {
    gen::RolloutRouteReport& item = out.routes.emplace_back();
    item.route = static_cast<std::int64_t>(route.route.value);
    item.old_version = CountsToWire(route.versions[0]);
    item.target_version = CountsToWire(route.versions[1]);
  }
  for (const policy::RolloutSecond& second : report.seconds) {
    gen::RolloutSecondReport& item = out.seconds.emplace_back();
    item.second = ToCount(second.second);
    for (const auto& counts : {second.responses, second.failures, second.slow}) {
      std::ranges::transform(counts, std::back_inserter(item.counts), ToCount);
    }
  }
  return out;
}

policy::RolloutReport RolloutFromWire(const gen::RolloutReport& report) {
  policy::RolloutReport out{.order_id = static_cast<std::uint64_t>(report.order),
                            .state = static_cast<policy::RolloutState>(report.state),
                            .elapsed = milliseconds(report.elapsed_ms),
                            .requests = static_cast<std::uint64_t>(report.requests),
                            .sent = {static_cast<std::uint64_t>(report.sent_old),
                                     static_cast<std::uint64_t>(report.sent_target)},
                            .outstanding = {static_cast<std::uint32_t>(report.outstanding_old),
                                            static_cast<std::uint32_t>(report.outstanding_target)},
                            .left_old = report.left_old,
                            .longest_old = milliseconds(report.longest_old_ms)};
  for (const gen::RolloutRouteReport& route : report.routes) {
    out.routes.push_back(
        {.route = {static_cast<std::uint64_t>(route.route)},
         .versions = {CountsFromWire(route.old_version), CountsFromWire(route.target_version)}});
  }
  for (const gen::RolloutSecondReport& second : report.seconds) {
    policy::RolloutSecond& item = out.seconds.emplace_back();
    item.second = static_cast<std::uint32_t>(second.second);
    const auto count = [&](std::size_t index) {
      return static_cast<std::uint32_t>(second.counts[index]);
    };
    item.responses = {count(0), count(1)};
    item.failures = {count(2), count(3)};
    item.slow = {count(4), count(5)};
  }
  return out;
}

bool IsPlausibleRollout(const gen::RolloutReport& report) {
  const auto in_range = [](std::int64_t count) { return count >= 0 && count <= kMaxCount; };
  return report.state >= 0 &&
         report.state <= static_cast<std::int32_t>(policy::RolloutState::kReverted) &&
         report.elapsed_ms >= 0 && report.elapsed_ms <= kMaxMilliseconds &&
         report.longest_old_ms >= 0 && report.longest_old_ms <= kMaxMilliseconds &&
         in_range(report.requests) && in_range(report.sent_old) && in_range(report.sent_target) &&
         report.outstanding_old >= 0 && report.outstanding_target >= 0 &&
         report.routes.size() <= policy::kRolloutMaxRoutes + 1 &&
         report.seconds.size() <= policy::kRolloutSeconds &&
         std::ranges::all_of(report.routes,
                             [](const gen::RolloutRouteReport& route) {
                               return IsPlausible(route.old_version) &&
                                      IsPlausible(route.target_version);
                             }) &&
         std::ranges::all_of(report.seconds, [](const gen::RolloutSecondReport& second) {
           return second.second >= 0 && second.counts.size() == kSecondCounts &&
                  AreCounts(second.counts, kSecondCounts);
         });
}

}  // namespace lagoonwind::wire
