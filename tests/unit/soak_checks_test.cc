#include "soak_checks.h"

#include <doctest/doctest.h>

namespace lagoonwind::testing {
namespace {

constexpr const char* kWhole =
    "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"
    "id: 4\ndata: event 4\n\n";

/// A booking that was served as it should, as its caller and its backend server saw it.
struct Booking {
  Call call{.id = "b1",
            .kind = CallKind::kBook,
            .target = "/book/1",
            .body = "slot 7",
            .gateway = 1,
            .status = 200,
            .echoed_id = "b1",
            .seal = "server-1.b1",
            .answer = "answer to b1",
            .whole = true};
  ReceivedRequest seen{.server = "server-1",
                       .request = {.method = "POST",
                                   .target = "/book/1",
                                   .fields = {{.name = "X-Attempt-Id", .value = "b1"},
                                              {.name = "X-Expect-Instance", .value = "server-1"},
                                              {.name = "X-Tenant", .value = "erie"},
                                              {.name = "X-Deadline-Ms", .value = "900"}},
                                   .body = "slot 7"}};
};

/// True if exactly one promise counts as broken, of that rule.
bool Finds(const std::vector<Call>& calls, const std::vector<ReceivedRequest>& seen,
           const std::string& rule, const CheckOptions& options = {}) {
  const auto broken = BrokenPromises(calls, seen, options);
  return broken.size() == 1 && broken.front().starts_with(rule);
}

}  // namespace

TEST_CASE("nothing is found where all is well") {
  const Booking booking;
  CHECK(BrokenPromises({booking.call}, {booking.seen}, {}).empty());
}

TEST_CASE("what callers get and backend servers run is compared") {
  const Booking booking;
  CHECK(Finds({booking.call}, {booking.seen, booking.seen}, "TWICE"));
  CHECK(Finds({}, {booking.seen}, "UNASKED"));
  Booking look;
  look.call.kind = CallKind::kLook;
  CHECK(Finds({look.call}, std::vector(4, look.seen), "BUDGET"));
  Booking refused;
  refused.call.status = 503;
  refused.call.seal.clear();
  CHECK(Finds({refused.call}, {refused.seen}, "REFUSED"));
  refused.seen.executed = false;
  CHECK(BrokenPromises({refused.call}, {refused.seen}, {}).empty());
  Booking other;
  other.call.seal = "server-1.b2";
  CHECK(Finds({other.call}, {other.seen}, "MIXED"));
  Booking changed;
  changed.seen.request.body = "slot 8";
  CHECK(Finds({changed.call}, {changed.seen}, "UNASKED"));
  Booking unchecked;
  unchecked.seen.server = "server-2";
  CHECK(Finds({unchecked.call}, {unchecked.seen}, "ROUTE"));
  Booking denied;
  denied.call.status = 404;
  CHECK(Finds({denied.call}, {}, "DENIED"));
}

TEST_CASE("a lost answer counts only beside planned work") {
  Booking lost;
  lost.call.status = 0;
  lost.call.whole = false;
  CHECK(BrokenPromises({lost.call}, {lost.seen}, {}).empty());
  CHECK(Finds({lost.call}, {lost.seen}, "LOST", {.planned_only = true}));
  // It crossed the closing of its connection.
  CHECK(BrokenPromises({lost.call}, {}, {.planned_only = true}).empty());
}

TEST_CASE("events of a stream come in order and all of them") {
  Booking stream;
  stream.call.kind = CallKind::kPlan;
  stream.call.answer = kWhole;
  CHECK(BrokenPromises({stream.call}, {stream.seen}, {}).empty());
  stream.call.answer = std::string(kWhole).substr(22);
  CHECK(Finds({stream.call}, {stream.seen}, "ORDER"));
  stream.call.answer = std::string(kWhole).substr(0, 30);
  CHECK(Finds({stream.call}, {stream.seen}, "ORDER"));
  stream.call.whole = false;
  CHECK(BrokenPromises({stream.call}, {stream.seen}, {}).empty());
}

TEST_CASE("repeats of all gateways together stay within the budget") {
  std::vector<Call> calls;
  std::vector<ReceivedRequest> seen;
  for (int i = 0; i < 60; ++i) {
    Booking booking;
    booking.call.id = booking.call.echoed_id = "r" + std::to_string(i);
    booking.call.kind = CallKind::kLook;
    booking.call.status = 503;
    booking.call.seal.clear();
    booking.seen.request.fields.front().value = booking.call.id;
    booking.seen.executed = false;
    calls.push_back(booking.call);
    seen.insert(seen.end(), 3, booking.seen);
  }
  // 120 repeats for 60 requests, where 66 are allowed.
  CHECK(Finds(calls, seen, "BUDGET"));
}

}  // namespace lagoonwind::testing
