#include "operator_api.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>

#include "digest.h"
#include "lagoonwind/limits.h"
#include "proposal.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;
using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;

http::Response Json(unsigned status, const json& body) {
  return http::Response{
      .status = status, .content_type = "application/json", .body = body.dump(2) + "\n"};
}

http::Response PlainText(unsigned status, std::string body) {
  return http::Response{.status = status, .content_type = "text/plain", .body = std::move(body)};
}

/// Maps customers and members to their names; empty for those that this process does not know.
class NameTable {
 public:
  NameTable(const Configuration& configuration, const policy::Stats& stats)
      : configuration_(configuration), stats_(stats) {}

  [[nodiscard]] std::string NameOf(CustomerId customer) const {
    const auto found = configuration_.customers.find(customer);
    return found == configuration_.customers.end() ? "" : found->second.name;
  }
  [[nodiscard]] std::string NameOf(MemberId member) const {
    const auto found = std::ranges::find_if(
        stats_.members, [&](const auto& row) { return row.member.id == member; });
    return found == stats_.members.end() ? "" : found->member.name;
  }

 private:
  const Configuration& configuration_;
  const policy::Stats& stats_;
};

/// Returns the difference between the largest and the smallest service per share among customers
/// with waiting requests.
double FairnessGap(const policy::Stats& stats, const Configuration& configuration) {
  std::vector<double> served;
  for (const auto& row : stats.customers) {
    if (row.waiting > 0) {
      served.push_back(row.service / configuration.Share(row.customer));
    }
  }
  if (served.empty()) {
    return 0;
  }
  const auto [least, most] = std::ranges::minmax(served);
  return most - least;
}

/// Converts the time of a decision to wall-clock time by the system clock.
std::chrono::system_clock::time_point WallTime(Time at) {
  const auto age = std::chrono::steady_clock::now() - at;
  return std::chrono::system_clock::now() -
         std::chrono::duration_cast<std::chrono::system_clock::duration>(age);
}

std::string FormatUtc(std::chrono::system_clock::time_point at) {
  constexpr int kMillisecondsPerSecond = 1000;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(at);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02d.%03dZ", parts.tm_year + 1900,
                         parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec,
                         milliseconds % kMillisecondsPerSecond);
}

json ToJson(const policy::Decision& decision, policy::Role role, const NameTable& names) {
  const auto at = WallTime(decision.at);
  const policy::DecisionNames decision_names{
      .request = decision.request.entry.valid() ? FormatRequestId(decision.request) : "",
      .customer = names.NameOf(decision.customer),
      .member = names.NameOf(decision.member)};
  json record_json{
      {"at", FormatUtc(at)},
      {"at_unix_us",
       std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count()},
      {"what", policy::Explain(decision, role, decision_names)},
      {"decision", policy::Describe(decision)}};
  const auto add_if_set = [&](const char* key, const std::string& value) {
    if (!value.empty()) {
      record_json[key] = value;
    }
  };
  add_if_set("request", decision_names.request);
  add_if_set("customer", decision_names.customer);
  add_if_set("member", decision_names.member);
  if (decision.reason != policy::Reason::kNone) {
    record_json["reason"] = policy::Name(decision.reason);
  }
  return record_json;
}

/// Explains in sentences how much service a customer has received at this process compared to
/// others.
json Summary(CustomerId customer, const policy::Stats& stats, const Configuration& configuration,
             const NameTable& names) {
  json lines = json::array();
  const auto row = std::ranges::find(stats.customers, customer, &policy::CustomerStats::customer);
  if (!configuration.customers.contains(customer) || row == stats.customers.end()) {
    return lines;
  }
  const double served = row->service / configuration.Share(customer);
  lines.push_back(absl::StrFormat(
      "%s has share %d, %d requests wait and %d run; served %.1f units, %.1f per share",
      names.NameOf(customer), configuration.Share(customer), row->waiting, row->running,
      row->service, served));
  const auto customers_ahead = std::ranges::count_if(stats.customers, [&](const auto& other) {
    return other.waiting > 0 && other.customer != customer &&
           other.service / configuration.Share(other.customer) < served;
  });
  if (row->waiting > 0) {
    lines.push_back(
        absl::StrFormat("%d waiting customers had less service per share here and go first; gap "
                        "%.1f units per share",
                        customers_ahead, FairnessGap(stats, configuration)));
  }
  return lines;
}

}  // namespace

asio::awaitable<http::Response> OperatorApi::Handle(http::Request request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/metrics") {
    context_.metrics.Update(context_.policy.stats());
    co_return PlainText(kOk, context_.metrics.Page());
  }
  if (path == "/healthz") {
    co_return PlainText(kOk, "ok\n");
  }
  if (path == "/readyz") {
    const bool ready = context_.configuration.current()->offset >= 0;
    const policy::Reason refusal_reason = context_.policy.stats().refusal_reason;
    if (ready && refusal_reason != policy::Reason::kNone) {
      co_return PlainText(kUnavailable, std::string(policy::Name(refusal_reason)) + "\n");
    }
    co_return ready ? PlainText(kOk, "ready\n") : PlainText(kUnavailable, "no configuration yet\n");
  }
  if (path == "/status") {
    co_return Status();
  }
  if (path == "/explain") {
    co_return Explain(request.target);
  }
  if (path == "/rules" && request.method == "GET") {
    const auto current = context_.configuration.current();
    co_return Json(kOk, {{"offset", current->offset}, {"text", current->text}});
  }
  if (path == "/rules/history") {
    co_return co_await History();
  }
  if (path == "/rules" && request.method == "POST") {
    co_return co_await Propose(std::move(request.body));
  }
  co_return PlainText(kNotFound, "no such page\n");
}

http::Response OperatorApi::Status() const {
  const policy::Stats stats = context_.policy.stats();
  const auto configuration = context_.configuration.current();
  const NameTable names(*configuration, stats);
  json customers = json::array();
  for (const auto& row : stats.customers) {
    customers.push_back({{"customer", names.NameOf(row.customer)},
                         {"share", configuration->Share(row.customer)},
                         {"waiting", row.waiting},
                         {"running", row.running},
                         {"service", row.service}});
  }
  json members = json::array();
  for (const auto& row : stats.members) {
    members.push_back({{"name", row.member.name},
                       {"role", policy::Name(row.member.role)},
                       {"linked", row.linked},
                       {"leaving", row.member.leaving}});
  }
  json zones = json::array();
  for (const auto& [id, zone] : configuration->zones) {
    zones.push_back({{"zone", zone.name}, {"out", zone.out_of_service}});
  }
  return Json(kOk, {{"name", context_.settings.name},
                    {"role", policy::Name(context_.settings.role)},
                    {"zone", context_.settings.zone},
                    {"backend", context_.settings.backend_name},
                    {"gap", FairnessGap(stats, *configuration)},
                    {"configuration_offset", stats.configuration_offset},
                    {"draining", stats.draining},
                    {"closed", policy::Name(stats.refusal_reason)},
                    {"reads_log", stats.is_log_reader},
                    {"window", stats.concurrency_limit},
                    {"running", stats.running},
                    {"waiting", stats.waiting},
                    {"customers", std::move(customers)},
                    {"members", std::move(members)},
                    {"zones", std::move(zones)}});
}

MemberId OperatorApi::ResolveMember(std::string_view backend) const {
  const bool own = !backend.empty() && backend == context_.settings.backend_name;
  return HandleOf<MemberId>(own ? context_.settings.name : backend);
}

http::Response OperatorApi::Explain(std::string_view target) const {
  const auto request = ParseRequestId(http::QueryParameter(target, "request"));
  const auto customer = HandleOf<CustomerId>(http::QueryParameter(target, "customer"));
  const auto member = ResolveMember(http::QueryParameter(target, "backend"));
  if (!request.entry.valid() && !customer.valid() && !member.valid()) {
    return PlainText(kBadRequest, "allowed are request=ID, customer=NAME and backend=NAME\n");
  }
  const auto configuration = context_.configuration.current();
  const policy::Stats stats = context_.policy.stats();
  const NameTable names(*configuration, stats);
  json lines = json::array();
  for (const auto& decision : context_.policy.FindDecisions(request, customer, member)) {
    lines.push_back(ToJson(decision, context_.settings.role, names));
  }
  return Json(kOk, {{"name", context_.settings.name},
                    {"role", policy::Name(context_.settings.role)},
                    {"decisions", std::move(lines)},
                    {"summary", Summary(customer, stats, *configuration, names)}});
}

asio::awaitable<http::Response> OperatorApi::Propose(std::string body) {
  constexpr std::size_t kNonceBytes = 16;
  const json proposal = json::parse(body, nullptr, false);
  if (!proposal.is_object() || !proposal.contains("text") || !proposal["text"].is_string() ||
      !proposal.value("base", json(0)).is_number_integer() ||
      !proposal.value("nonce", json("")).is_string()) {
    co_return PlainText(kBadRequest, "the body isn't a proposal; allowed is {base, text, nonce}\n");
  }
  const std::string text = proposal["text"];
  const auto parsed = ParseRules(text);
  if (!parsed.errors.empty()) {
    co_return PlainText(kBadRequest, FormatRuleErrors("rules", parsed.errors));
  }
  const ConfigurationView view = context_.configuration.view();
  RulesProposal record{.base = proposal.value("base", view.configuration->offset),
                       .nonce = proposal.value("nonce", std::string()),
                       .text = text};
  if (record.nonce.empty()) {
    record.nonce = absl::BytesToHexString(RandomBytes(kNonceBytes));
  }
  const auto outcome = co_await runtime::Propose(context_.log, view, record);
  if (!outcome.ok()) {
    co_return Json(kUnavailable, {{"verdict", "unknown"},
                                  {"reason", std::string{outcome.status().message()}},
                                  {"nonce", record.nonce}});
  }
  const bool accepted = outcome->verdict == Verdict::kAccepted;
  co_return Json(accepted ? kOk : kConflict, {{"verdict", Name(outcome->verdict)},
                                              {"offset", outcome->offset},
                                              {"base", record.base},
                                              {"in_force", outcome->in_force},
                                              {"changes", FormatRuleChanges(outcome->changes)},
                                              {"nonce", record.nonce}});
}

asio::awaitable<http::Response> OperatorApi::History() {
  const auto history = co_await ReadRulesHistory(context_.log);
  if (!history.ok()) {
    co_return PlainText(kUnavailable, std::string{history.status().message()} + "\n");
  }
  json records = json::array();
  for (const auto& record : *history) {
    records.push_back({{"offset", record.offset},
                       {"verdict", Name(record.verdict)},
                       {"base", record.base},
                       {"nonce", record.nonce},
                       {"in_force", record.in_force}});
  }
  co_return Json(kOk, {{"records", std::move(records)}});
}

}  // namespace lagoonwind::runtime
