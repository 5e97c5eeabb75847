#include "soak_checks.h"

#include <doctest/doctest.h>

namespace lagoonwind::testing {
namespace {

constexpr const char* kCompleteStream =
    "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"
    "id: 4\ndata: event 4\n\n";

/// A correctly served booking, as observed by its caller and by its backend server.
struct Booking {
  CallRecord call{.id = "b1",
                  .kind = CallKind::kBook,
                  .target = "/book/1",
                  .body = "slot 7",
                  .gateway = 1,
                  .status = 200,
                  .echoed_id = "b1",
                  .server_seal = "server-1.b1",
                  .response_body = "answer to b1",
                  .complete = true};
  ReceivedRequest seen{.server = "server-1",
                       .request = {.method = "POST",
                                   .target = "/book/1",
                                   .fields = {{.name = "X-Attempt-Id", .value = "b1"},
                                              {.name = "X-Expect-Instance", .value = "server-1"},
                                              {.name = "X-Tenant", .value = "erie"},
                                              {.name = "X-Deadline-Ms", .value = "900"}},
                                   .body = "slot 7"}};
};

/// True if the checks report exactly one violation, and it is of that rule.
bool ReportsOnly(const std::vector<CallRecord>& calls, const std::vector<ReceivedRequest>& seen,
                 const std::string& rule, const CheckOptions& options = {}) {
  const auto violations = FindViolations(calls, seen, options);
  return violations.size() == 1 && violations.front().starts_with(rule);
}

}  // namespace

TEST_CASE("a correctly served booking causes no violation") {
  const Booking booking;
  CHECK(FindViolations({booking.call}, {booking.seen}, {}).empty());
}

TEST_CASE("each mismatch between responses and executions is reported under its rule") {
  const Booking booking;
  CHECK(ReportsOnly({booking.call}, {booking.seen, booking.seen}, "TWICE"));
  CHECK(ReportsOnly({}, {booking.seen}, "UNASKED"));
  Booking lookup;
  lookup.call.kind = CallKind::kLook;
  CHECK(ReportsOnly({lookup.call}, std::vector(4, lookup.seen), "BUDGET"));
  Booking refused;
  refused.call.status = 503;
  refused.call.server_seal.clear();
  CHECK(ReportsOnly({refused.call}, {refused.seen}, "REFUSED"));
  refused.seen.executed = false;
  CHECK(FindViolations({refused.call}, {refused.seen}, {}).empty());
  Booking mismatched;
  mismatched.call.server_seal = "server-1.b2";
  CHECK(ReportsOnly({mismatched.call}, {mismatched.seen}, "MIXED"));
  Booking changed;
  changed.seen.request.body = "slot 8";
  CHECK(ReportsOnly({changed.call}, {changed.seen}, "UNASKED"));
  Booking misrouted;
  misrouted.seen.server = "server-2";
  CHECK(ReportsOnly({misrouted.call}, {misrouted.seen}, "ROUTE"));
  Booking denied;
  denied.call.status = 404;
  CHECK(ReportsOnly({denied.call}, {}, "DENIED"));
}

TEST_CASE("a lost response is a violation only if all disruptions were planned") {
  Booking lost;
  lost.call.status = 0;
  lost.call.complete = false;
  CHECK(FindViolations({lost.call}, {lost.seen}, {}).empty());
  CHECK(ReportsOnly({lost.call}, {lost.seen}, "LOST", {.planned_only = true}));
  // Allowed: the request crossed the closing of its connection and was not executed.
  CHECK(FindViolations({lost.call}, {}, {.planned_only = true}).empty());
}

TEST_CASE("a complete stream must contain all events in order") {
  Booking stream;
  stream.call.kind = CallKind::kPlan;
  stream.call.response_body = kCompleteStream;
  CHECK(FindViolations({stream.call}, {stream.seen}, {}).empty());
  stream.call.response_body = std::string(kCompleteStream).substr(22);
  CHECK(ReportsOnly({stream.call}, {stream.seen}, "ORDER"));
  stream.call.response_body = std::string(kCompleteStream).substr(0, 30);
  CHECK(ReportsOnly({stream.call}, {stream.seen}, "ORDER"));
  stream.call.complete = false;
  CHECK(FindViolations({stream.call}, {stream.seen}, {}).empty());
}

TEST_CASE("repeats of all gateways together are limited by the retry budget") {
  std::vector<CallRecord> calls;
  std::vector<ReceivedRequest> seen;
  for (int i = 0; i < 60; ++i) {
    Booking booking;
    booking.call.id = booking.call.echoed_id = "r" + std::to_string(i);
    booking.call.kind = CallKind::kLook;
    booking.call.status = 503;
    booking.call.server_seal.clear();
    booking.seen.request.fields.front().value = booking.call.id;
    booking.seen.executed = false;
    calls.push_back(booking.call);
    seen.insert(seen.end(), 3, booking.seen);
  }
  // 120 repeats for 60 requests; the budget is 66.
  CHECK(ReportsOnly(calls, seen, "BUDGET"));
}

}  // namespace lagoonwind::testing
