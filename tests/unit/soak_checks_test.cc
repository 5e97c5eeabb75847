#include "soak_checks.h"

#include <doctest/doctest.h>

#include <chrono>
#include <sstream>

#include "stop_signals.h"

namespace lagoonwind::testing {
namespace {

using std::chrono::milliseconds;

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

/// A stream sent 2 s after the SIGTERM of its gateway and cut by the stop, while its backend server
/// would have needed 500 ms more.
struct CutStream : Booking {
  explicit CutStream(std::chrono::steady_clock::time_point stop_signal) {
    call.kind = CallKind::kChat;
    call.target = seen.request.target = "/chat/1";
    call.response_body = std::string(kCompleteStream).substr(0, 22);
    call.complete = false;
    call.stop_signal = stop_signal;
    call.sent = seen.arrived = stop_signal + milliseconds(2000);
    call.ended = stop_signal + milliseconds(3500);
    seen.processing_time = milliseconds(400);
  }
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

TEST_CASE("a request that a gateway logged must be answered even if it reached no backend server") {
  Booking lost;
  lost.call.status = 0;
  lost.call.complete = false;
  lost.call.logged = true;
  CHECK(ReportsOnly({lost.call}, {}, "LOST", {.planned_only = true}));
  CHECK(FindViolations({lost.call}, {}, {}).empty());
  lost.call.disconnected = true;
  CHECK(FindViolations({lost.call}, {}, {.planned_only = true}).empty());
}

TEST_CASE("a stop may cut a stream that was accepted early and is still running") {
  const std::chrono::steady_clock::time_point stop_signal{std::chrono::seconds(100)};
  CutStream cut(stop_signal);
  const CheckOptions planned{.planned_only = true};
  CHECK(FindViolations({cut.call}, {cut.seen}, planned).empty());
  // Accepted before the signal.
  cut.call.sent = stop_signal - milliseconds(300);
  CHECK(FindViolations({cut.call}, {cut.seen}, planned).empty());

  CutStream accepted_late(stop_signal);
  accepted_late.call.sent = stop_signal + milliseconds(2601);
  CHECK(ReportsOnly({accepted_late.call}, {accepted_late.seen}, "LOST", planned));
  CutStream cut_early(stop_signal);
  cut_early.call.ended = stop_signal + milliseconds(3499);
  CHECK(ReportsOnly({cut_early.call}, {cut_early.seen}, "LOST", planned));
  CutStream finished(stop_signal);
  finished.seen.processing_time = milliseconds(299);
  CHECK(ReportsOnly({finished.call}, {finished.seen}, "LOST", planned));
  // The backend server had only the last event to send.
  CutStream resumed(stop_signal);
  resumed.seen.request.fields.push_back({.name = "Last-Event-Id", .value = "3"});
  CHECK(ReportsOnly({resumed.call}, {resumed.seen}, "LOST", planned));
  CutStream not_executed(stop_signal);
  not_executed.seen.executed = false;
  CHECK(ReportsOnly({not_executed.call}, {not_executed.seen}, "LOST", planned));
  CutStream not_stopped(stop_signal);
  not_stopped.call.stop_signal.reset();
  CHECK(ReportsOnly({not_stopped.call}, {not_stopped.seen}, "LOST", planned));
  CutStream booking(stop_signal);
  booking.call.kind = CallKind::kBook;
  booking.call.response_body.clear();
  CHECK(ReportsOnly({booking.call}, {booking.seen}, "LOST", planned));
}

TEST_CASE("a stop may cut a stream whose last bytes a silent backend server holds back") {
  const std::chrono::steady_clock::time_point stop_signal{std::chrono::seconds(100)};
  CutStream finished(stop_signal);
  finished.seen.processing_time = milliseconds(280);
  CheckOptions planned{.planned_only = true};
  const ServerSilence silence{.server = "server-1",
                              .begin = stop_signal + milliseconds(3300),
                              .end = stop_signal + milliseconds(3500)};
  planned.silences = {silence};
  CHECK(FindViolations({finished.call}, {finished.seen}, planned).empty());
  planned.silences.front().end = stop_signal + milliseconds(3499);
  CHECK(ReportsOnly({finished.call}, {finished.seen}, "LOST", planned));
  planned.silences = {silence};
  planned.silences.front().begin = stop_signal + milliseconds(3401);
  CHECK(ReportsOnly({finished.call}, {finished.seen}, "LOST", planned));
  planned.silences = {silence};
  planned.silences.front().server = "server-2";
  CHECK(ReportsOnly({finished.call}, {finished.seen}, "LOST", planned));
}

TEST_CASE("a request whose connection ends in order later than 200 ms after it counts as read") {
  Booking lost;
  lost.call.status = 0;
  lost.call.complete = false;
  const CheckOptions planned{.planned_only = true};
  lost.call.ended = lost.call.sent + milliseconds(200);
  CHECK(FindViolations({lost.call}, {}, planned).empty());
  lost.call.ended = lost.call.sent + milliseconds(201);
  CHECK(ReportsOnly({lost.call}, {}, "LOST", planned));
  CHECK(FindViolations({lost.call}, {}, {}).empty());
  // A reset may mean that the request was not read.
  lost.call.reset = true;
  CHECK(FindViolations({lost.call}, {}, planned).empty());
  CHECK(ReportsOnly({lost.call}, {lost.seen}, "LOST", planned));
}

TEST_CASE("beside planned work, requests are handled as the newest version says in time") {
  const std::chrono::steady_clock::time_point start{std::chrono::seconds(100)};
  CheckOptions planned{.planned_only = true};
  planned.configurations = {{.number = 1, .written = start, .confirmed = start},
                            {.number = 2,
                             .written = start + milliseconds(9000),
                             .confirmed = start + milliseconds(9100)}};
  Booking request;
  request.call.kind = CallKind::kLook;
  request.call.version = 1;
  const auto is_kept = [&](unsigned status, milliseconds sent, milliseconds ended) {
    request.call.status = status;
    request.call.sent = start + sent;
    request.call.ended = start + ended;
    std::vector<ReceivedRequest> seen;
    if (status == 200) {
      seen.push_back(request.seen);
    }
    const bool kept = FindViolations({request.call}, seen, planned).empty();
    CHECK((kept || ReportsOnly({request.call}, seen, "CONFIG", planned)));
    CHECK(FindViolations({request.call}, seen, {.configurations = planned.configurations}).empty());
    return kept;
  };
  // Missing, within the time to apply it and later.
  CHECK(is_kept(404, milliseconds(2000), milliseconds(2010)));
  CHECK_FALSE(is_kept(404, milliseconds(2001), milliseconds(2010)));
  // Replaced meanwhile.
  CHECK_FALSE(is_kept(404, milliseconds(8990), milliseconds(8999)));
  CHECK(is_kept(404, milliseconds(8990), milliseconds(9000)));
  // Still served after it was replaced.
  CHECK(is_kept(200, milliseconds(11100), milliseconds(11110)));
  CHECK_FALSE(is_kept(200, milliseconds(11101), milliseconds(11110)));
  CHECK(is_kept(503, milliseconds(11101), milliseconds(11110)));
}

TEST_CASE("a configuration that comes into force after a newer one is reported") {
  constexpr const char* kStarted = "{\"event\":\"started\"}\n";
  const auto in_force = [](int version) {
    return R"({"event":"configuration_in_force","version":)" + std::to_string(version) + "}\n";
  };
  std::istringstream rising(kStarted + in_force(3) + in_force(5) + kStarted + in_force(2));
  CHECK(FindRegressions(1, rising).empty());
  std::istringstream falling(kStarted + in_force(3) + in_force(5) + in_force(4) + in_force(6));
  CHECK(FindRegressions(1, falling).size() == 1);
  std::istringstream repeated(kStarted + in_force(3) + in_force(3));
  CHECK(FindRegressions(1, repeated).size() == 1);
}

TEST_CASE("a stream may end early at its deadline or at the timeout of its route") {
  CutStream cut({});
  cut.call.stop_signal.reset();
  cut.call.deadline = milliseconds(500);
  cut.call.ended = cut.call.sent + milliseconds(500);
  const CheckOptions planned{.planned_only = true};
  CHECK(FindViolations({cut.call}, {cut.seen}, planned).empty());
  cut.call.ended = cut.call.sent + milliseconds(499);
  CHECK(ReportsOnly({cut.call}, {cut.seen}, "LOST", planned));
  cut.call.deadline = milliseconds(15000);
  cut.call.ended = cut.call.sent + milliseconds(4000);
  CHECK(FindViolations({cut.call}, {cut.seen}, planned).empty());
  // Without a response head, the gateway must answer with a failure.
  cut.call.status = 0;
  CHECK(ReportsOnly({cut.call}, {cut.seen}, "LOST", planned));
}

TEST_CASE("beside planned work, status 503 means that no backend server ran the request") {
  Booking lookup;
  lookup.call.kind = CallKind::kLook;
  lookup.call.status = 503;
  lookup.call.server_seal.clear();
  CHECK(FindViolations({lookup.call}, {lookup.seen}, {}).empty());
  CHECK(ReportsOnly({lookup.call}, {lookup.seen}, "REFUSED", {.planned_only = true}));
  lookup.seen.executed = false;
  CHECK(FindViolations({lookup.call}, {lookup.seen}, {.planned_only = true}).empty());
}

TEST_CASE("a refusal that a backend server signed means as well that the request was not run") {
  for (const unsigned status : {408U, 421U, 429U, 503U}) {
    Booking refused;
    refused.call.status = status;
    CHECK(ReportsOnly({refused.call}, {refused.seen}, "REFUSED"));
  }
}

TEST_CASE("the last signal before a time is found for each gateway") {
  StopSignals signals;
  const auto before = std::chrono::steady_clock::now();
  signals.RecordSignal(2);
  const auto first = signals.LastBefore(2, StopSignals::Time::max());
  REQUIRE(first);
  // A second signal to a draining gateway changes nothing.
  signals.RecordSignal(2);
  CHECK(signals.LastBefore(2, StopSignals::Time::max()) == first);
  CHECK(signals.Draining() == std::vector{2});
  signals.RecordStart(2);
  CHECK(signals.Draining().empty());
  signals.RecordSignal(2);
  CHECK(signals.LastBefore(2, StopSignals::Time::max()) > first);
  CHECK_FALSE(signals.LastBefore(2, before));
  CHECK_FALSE(signals.LastBefore(1, StopSignals::Time::max()));
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

TEST_CASE("a response without framing must be all that its backend server sent") {
  Booking booking;
  booking.call.framed = false;
  CHECK(ReportsOnly({booking.call}, {booking.seen}, "MIXED"));
  booking.seen.framed = false;
  CHECK(FindViolations({booking.call}, {booking.seen}, {}).empty());
  booking.call.response_body = "answer";
  CHECK(ReportsOnly({booking.call}, {booking.seen}, "ORDER"));
  booking.seen.broken_off = true;
  CHECK(FindViolations({booking.call}, {booking.seen}, {}).empty());
  // Framing states that the body is complete.
  booking.call.framed = true;
  CHECK(ReportsOnly({booking.call}, {booking.seen}, "MIXED"));
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
