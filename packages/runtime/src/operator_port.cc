#include "operator_port.h"

#include <absl/strings/escaping.h>

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

http::Response Plain(unsigned status, std::string body) {
  return http::Response{.status = status, .content_type = "text/plain", .body = std::move(body)};
}

std::string CustomerName(const Configuration& configuration, CustomerId customer) {
  const auto found = configuration.customers.find(customer);
  return found == configuration.customers.end() ? "unknown" : found->second.name;
}

}  // namespace

asio::awaitable<http::Response> OperatorPort::Handle(http::Request request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/metrics") {
    context_.metrics.Update(context_.policy.stats());
    co_return Plain(kOk, context_.metrics.Page());
  }
  if (path == "/healthz") {
    co_return Plain(kOk, "ok\n");
  }
  if (path == "/readyz") {
    const bool ready = context_.configuration.current()->offset >= 0;
    const policy::Reason closed = context_.policy.stats().closed;
    if (ready && closed != policy::Reason::kNone) {
      co_return Plain(kUnavailable, std::string(policy::Name(closed)) + "\n");
    }
    co_return ready ? Plain(kOk, "ready\n") : Plain(kUnavailable, "no configuration yet\n");
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
  co_return Plain(kNotFound, "no such page\n");
}

http::Response OperatorPort::Status() const {
  const policy::Stats stats = context_.policy.stats();
  const auto configuration = context_.configuration.current();
  json customers = json::array();
  for (const auto& row : stats.customers) {
    customers.push_back({{"customer", CustomerName(*configuration, row.customer)},
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
    zones.push_back({{"zone", zone.name}, {"out", zone.out}});
  }
  return Json(kOk, {{"name", context_.settings.name},
                    {"role", policy::Name(context_.settings.role)},
                    {"zone", context_.settings.zone},
                    {"configuration_offset", stats.configuration_offset},
                    {"draining", stats.draining},
                    {"closed", policy::Name(stats.closed)},
                    {"reads_log", stats.reads_log},
                    {"window", stats.window},
                    {"running", stats.running},
                    {"waiting", stats.waiting},
                    {"customers", std::move(customers)},
                    {"members", std::move(members)},
                    {"zones", std::move(zones)}});
}

http::Response OperatorPort::Explain(std::string_view target) const {
  const auto request = ParseRequestId(http::QueryParameter(target, "request"));
  const auto customer = HandleOf<CustomerId>(http::QueryParameter(target, "customer"));
  const auto backend = HandleOf<MemberId>(http::QueryParameter(target, "backend"));
  const auto configuration = context_.configuration.current();
  json lines = json::array();
  for (const auto& decision : context_.policy.Explain(request, customer, backend)) {
    json line{{"at_us", decision.at.time_since_epoch().count()},
              {"what", policy::Describe(decision)}};
    if (decision.request.entry.valid()) {
      line["request"] = FormatRequestId(decision.request);
    }
    if (decision.customer.valid()) {
      line["customer"] = CustomerName(*configuration, decision.customer);
    }
    lines.push_back(std::move(line));
  }
  return Json(kOk, {{"decisions", std::move(lines)}});
}

asio::awaitable<http::Response> OperatorPort::Propose(std::string body) {
  constexpr std::size_t kNonceBytes = 16;
  const json proposal = json::parse(body, nullptr, false);
  if (!proposal.is_object() || !proposal.contains("text") || !proposal["text"].is_string() ||
      !proposal.value("base", json(0)).is_number_integer() ||
      !proposal.value("nonce", json("")).is_string()) {
    co_return Plain(kBadRequest, "the body isn't a proposal; allowed is {base, text, nonce}\n");
  }
  const std::string text = proposal["text"];
  const auto parsed = ParseRules(text);
  if (!parsed.errors.empty()) {
    co_return Plain(kBadRequest, FormatRuleErrors("rules", parsed.errors));
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

asio::awaitable<http::Response> OperatorPort::History() {
  const auto history = co_await ReadRulesHistory(context_.log);
  if (!history.ok()) {
    co_return Plain(kUnavailable, std::string{history.status().message()} + "\n");
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
