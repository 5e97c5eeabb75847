#include "soak_checks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <map>

namespace lagoonwind::testing {
namespace {

/// What backend servers saw of one request.
struct Runs {
  int arrivals = 0;
  int runs = 0;
};

constexpr const char* kWholeStream =
    "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"
    "id: 4\ndata: event 4\n\n";

bool IsStream(CallKind kind) { return kind == CallKind::kPlan || kind == CallKind::kChat; }
bool MayRepeat(CallKind kind) { return kind == CallKind::kPlan || kind == CallKind::kLook; }

bool SaysNotRun(unsigned status) {
  constexpr std::array kNotRun{408U, 421U, 429U, 503U};
  return std::ranges::find(kNotRun, status) != kNotRun.end();
}

/// Collects what is broken.
class Findings {
 public:
  void Add(const char* rule, const Call& call, const std::string& what) {
    lines_.push_back(absl::StrCat(rule, " ", call.id, " (", call.target, ", gateway ", call.gateway,
                                  ", status ", call.status, "): ", what));
  }
  void Add(const std::string& line) { lines_.push_back(line); }
  [[nodiscard]] std::vector<std::string> Take() { return std::move(lines_); }

 private:
  std::vector<std::string> lines_;
};

void CheckSuccess(const Call& call, Findings& findings) {
  if (!call.seal.ends_with("." + call.id) || call.echoed_id != call.id) {
    findings.Add("MIXED", call, "answer of another request, seal " + call.seal);
  }
  const std::string expected = IsStream(call.kind) ? kWholeStream : "answer to " + call.id;
  if (call.whole && call.answer != expected) {
    findings.Add(IsStream(call.kind) ? "ORDER" : "MIXED", call, "body is " + call.answer);
  } else if (!call.whole && !expected.starts_with(call.answer)) {
    findings.Add("ORDER", call, "part of a body is " + call.answer);
  }
}

void CheckCall(const Call& call, const Runs& runs, const CheckOptions& options,
               Findings& findings) {
  if (call.status / 100 == 2) {
    CheckSuccess(call, findings);
  } else if (SaysNotRun(call.status) && call.seal.empty() && runs.runs > 0 &&
             !MayRepeat(call.kind)) {
    findings.Add("REFUSED", call, "a backend server ran it");
  } else if (call.status >= 400 && call.status < 500 && !SaysNotRun(call.status)) {
    findings.Add("DENIED", call, "a proper request");
  }
  if (call.surplus) {
    findings.Add("MIXED", call, "bytes after its answer");
  }
  if (!MayRepeat(call.kind) && runs.runs > 1) {
    findings.Add("TWICE", call, absl::StrCat("ran ", runs.runs, " times"));
  }
  if (runs.runs > options.max_attempts || runs.arrivals > options.max_sends) {
    findings.Add("BUDGET", call,
                 absl::StrCat("reached ", runs.arrivals, " backend servers, ran at ", runs.runs));
  }
  // A request that crosses the closing of its connection reaches no backend server.
  const bool taken = runs.arrivals > 0 || call.status != 0;
  if (options.planned_only && !call.left && !call.whole && taken) {
    findings.Add("LOST", call, "no whole answer beside planned work");
  }
}

void CheckSeen(const ReceivedRequest& seen, const std::map<std::string, const Call*>& calls,
               Findings& findings) {
  const std::string id(http::FindField(seen.request.fields, "X-Attempt-Id"));
  const auto found = calls.find(id);
  if (found == calls.end()) {
    findings.Add("UNASKED " + id + ": no caller sent it");
    return;
  }
  const Call& call = *found->second;
  if (seen.request.target != call.target || seen.request.body != call.body) {
    findings.Add("UNASKED", call, "changed to " + seen.request.target + " " + seen.request.body);
  }
  if (!http::FindField(seen.request.fields, "Authorization").empty()) {
    findings.Add("UNASKED", call, "the key was passed on");
  }
  if (call.kind != CallKind::kLook && http::FindField(seen.request.fields, "X-Tenant") != "erie") {
    findings.Add("UNASKED", call, "another customer");
  }
  if (http::FindField(seen.request.fields, "X-Deadline-Ms").empty()) {
    findings.Add("BUDGET", call, "no deadline");
  }
  if (seen.executed && http::FindField(seen.request.fields, "X-Expect-Instance") != seen.server) {
    findings.Add("ROUTE", call, "ran at " + seen.server + " without a check of the instance");
  }
}

/// Repeats over the whole run, which is shorter than one window of the budget.
void CheckRetryBudget(const std::vector<Call>& calls, const std::map<std::string, Runs>& runs,
                      const CheckOptions& options, Findings& findings) {
  struct Service {
    int requests = 0;
    int repeats = 0;
  };
  std::map<bool, Service> services;
  for (const Call& call : calls) {
    Service& service = services[IsStream(call.kind)];
    ++service.requests;
    const auto found = runs.find(call.id);
    service.repeats += found == runs.end() ? 0 : std::max(found->second.arrivals - 1, 0);
  }
  for (const auto& [is_model, service] : services) {
    const double most = options.retry_ratio * service.requests + options.retry_slack;
    if (service.repeats > most) {
      findings.Add(absl::StrCat("BUDGET ", is_model ? "model" : "desk", ": ", service.repeats,
                                " repeats for ", service.requests, " requests, allowed ", most));
    }
  }
}

}  // namespace

std::vector<std::string> BrokenPromises(const std::vector<Call>& calls,
                                        const std::vector<ReceivedRequest>& seen,
                                        const CheckOptions& options) {
  Findings findings;
  std::map<std::string, const Call*> by_id;
  for (const Call& call : calls) {
    by_id[call.id] = &call;
  }
  std::map<std::string, Runs> runs;
  for (const ReceivedRequest& one : seen) {
    CheckSeen(one, by_id, findings);
    Runs& known = runs[std::string(http::FindField(one.request.fields, "X-Attempt-Id"))];
    ++known.arrivals;
    known.runs += one.executed ? 1 : 0;
  }
  for (const Call& call : calls) {
    const auto found = runs.find(call.id);
    CheckCall(call, found == runs.end() ? Runs{} : found->second, options, findings);
  }
  CheckRetryBudget(calls, runs, options, findings);
  return findings.Take();
}

}  // namespace lagoonwind::testing
