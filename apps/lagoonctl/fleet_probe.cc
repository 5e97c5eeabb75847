#include "fleet_probe.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lagoonwind/rules.h"

namespace lagoonwind::ctl {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr std::chrono::seconds kRequestTimeout{5};
constexpr std::string_view kSentSeries = "lagoonwind_link_bytes_total{";

http::asio::awaitable<std::string> Get(std::string daemon, std::string target) {
  // A named variable, because GCC 12 destroys such a temporary of a co_await expression twice.
  http::Request request{.target = std::move(target)};
  const auto response =
      co_await http::Fetch(std::move(daemon), std::move(request), kRequestTimeout);
  co_return response.ok() && response->status == kOk ? response->body : "";
}

bool IsData(std::string_view labels) {
  constexpr std::array<std::string_view, 3> kDataKinds{"kind=\"offer\"", "kind=\"head\"",
                                                       "kind=\"chunk\""};
  return std::ranges::any_of(
      kDataKinds, [&](auto kind) { return labels.find(kind) != std::string_view::npos; });
}

void AddLine(std::string_view line, LinkBytes& bytes) {
  const auto end = line.find("} ");
  if (!line.starts_with(kSentSeries) || end == std::string_view::npos ||
      line.find("direction=\"sent\"") == std::string_view::npos) {
    return;
  }
  double value = 0;
  if (absl::SimpleAtod(std::string(line.substr(end + 2)), &value)) {
    (IsData(line.substr(0, end)) ? bytes.data : bytes.control) += value;
  }
}

}  // namespace

LinkBytes SentBytes(std::string_view metrics_page) {
  LinkBytes bytes;
  while (!metrics_page.empty()) {
    const auto end = std::min(metrics_page.find('\n'), metrics_page.size());
    AddLine(metrics_page.substr(0, end), bytes);
    metrics_page.remove_prefix(std::min(end + 1, metrics_page.size()));
  }
  return bytes;
}

http::asio::awaitable<void> FleetProbe::Begin() {
  for (const auto& daemon : daemons_) {
    const std::string page = co_await Get(daemon, "/metrics");
    if (!page.empty()) {
      initial_bytes_[daemon] = SentBytes(page);
    }
    if (!shares_.empty()) {
      continue;
    }
    const json rules = json::parse(co_await Get(daemon, "/rules"), nullptr, false);
    if (rules.is_object()) {
      const auto parsed = ParseRules(rules.value("text", ""));
      for (const auto& [id, customer] : parsed.configuration.customers) {
        shares_[customer.name] = customer.share;
      }
    }
  }
}

http::asio::awaitable<void> FleetProbe::Sample() {
  double running = 0;
  double concurrency_limit = 0;
  for (const auto& daemon : daemons_) {
    const json status = json::parse(co_await Get(daemon, "/status"), nullptr, false);
    if (status.is_object() && status.value("role", "") == "agent") {
      running += status.value("running", 0.0);
      concurrency_limit += status.value("window", 0.0);
    }
  }
  if (concurrency_limit > 0) {
    utilisation_sum_ += running / concurrency_limit;
    ++samples_;
  }
}

http::asio::awaitable<FleetUsage> FleetProbe::End() {
  FleetUsage usage;
  if (samples_ > 0) {
    usage.utilisation = utilisation_sum_ / samples_;
  }
  LinkBytes sum;
  for (const auto& [daemon, before] : initial_bytes_) {
    const std::string page = co_await Get(daemon, "/metrics");
    if (page.empty()) {
      continue;
    }
    const LinkBytes after = SentBytes(page);
    sum.control += after.control - before.control;
    sum.data += after.data - before.data;
    ++usage.daemons;
  }
  if (usage.daemons > 0) {
    usage.control_bytes = sum.control;
    usage.data_bytes = sum.data;
  }
  co_return usage;
}

}  // namespace lagoonwind::ctl
