#include "lagoonwind/drain_admission.h"

#include <doctest/doctest.h>

#include <chrono>
#include <random>

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kStopMs = 7500;

Time At(int ms) { return Time{seconds(100)} + milliseconds(ms); }

DrainAdmission Draining() {
  DrainAdmission drain;
  drain.Start(At(0), At(kStopMs));
  return drain;
}

}  // namespace

TEST_CASE("without a stop signal all requests are accepted, however long they take") {
  const DrainAdmission drain;
  CHECK(!drain.draining());
  CHECK(drain.MayAccept(At(1000000), At(0)));
  CHECK(drain.MaxExpectedTime(At(1000000), At(0)) == Duration::max());
}

TEST_CASE("a stream taken 5.1 s after SIGTERM is refused although it is expected to end in time") {
  const DrainAdmission drain = Draining();
  // Six seconds are left to its caller, and the process stops 2.4 s later.
  CHECK(!drain.MayAccept(At(5100 + 6000), At(5100)));
}

TEST_CASE("a request whose deadline passes before the stop is accepted until the end") {
  const DrainAdmission drain = Draining();
  CHECK(drain.MayAccept(At(5100 + 1000), At(5100)));
  CHECK(drain.MaxExpectedTime(At(5100 + 1000), At(5100)) == Duration::max());
  CHECK(!drain.MayAccept(At(kStopMs), At(6500)));
}

TEST_CASE("while the load balancer still sends callers, what is expected to end is accepted") {
  const DrainAdmission drain = Draining();
  CHECK(drain.MayAccept(At(15000), At(2400)));
  CHECK(drain.MaxExpectedTime(At(15000), At(2500)) == milliseconds(2500));
  CHECK(!drain.MayAccept(At(15000), At(2500)));
  CHECK(drain.MaxExpectedTime(At(15000), At(kStopMs + 1)) == Duration{0});
}

TEST_CASE("with a short grace period, nothing is accepted from the answer deadline on") {
  DrainAdmission drain;
  drain.Start(At(0), At(2000));
  CHECK(drain.MayAccept(At(9000), At(1500)));
  CHECK(!drain.MayAccept(At(9000), At(1700)));
}

TEST_CASE("a response that has begun is continued elsewhere until the answer deadline") {
  const DrainAdmission drain = Draining();
  CHECK(DrainAdmission().MayContinue(At(0)));
  CHECK(drain.MayContinue(At(7000)));
  CHECK(!drain.MayContinue(At(7100)));
}

TEST_CASE("a second stop signal does not move the stop") {
  DrainAdmission drain = Draining();
  drain.Start(At(1000), At(9000));
  CHECK(drain.stop() == At(kStopMs));
}

TEST_CASE("a request that was read before the stop keeps the process until it is answered") {
  DrainAdmission drain = Draining();
  CHECK(drain.MayRead(At(kStopMs - 1)));
  CHECK(!drain.MayRead(At(kStopMs)));
  drain.BeginAnswering(At(kStopMs - 400));
  constexpr DrainWork kOwes{.has_connections = true, .owes_answer = true};
  constexpr DrainWork kStreams{.has_connections = true, .owes_answer = false};
  CHECK(!drain.MayEnd(kStreams, At(kStopMs - 1)));
  CHECK(drain.MayEnd(kStreams, At(kStopMs)));
  CHECK(!drain.MayEnd(kOwes, At(kStopMs)));
  CHECK(!drain.MayEnd(kOwes, At(kStopMs + 349)));
  CHECK(drain.MayEnd(kOwes, At(kStopMs + 350)));
}

TEST_CASE("a process without connections ends once the load balancer has noticed the drain") {
  const DrainAdmission drain = Draining();
  CHECK(!drain.MayEnd({}, At(2499)));
  CHECK(drain.MayEnd({}, At(2500)));
  CHECK(!DrainAdmission().MayEnd({}, At(100000)));
}

TEST_CASE("a process that was held up until after its stop gets time for the answers it owes") {
  DrainAdmission drain = Draining();
  drain.BeginAnswering(At(kStopMs + 400));
  drain.BeginAnswering(At(kStopMs + 410));
  constexpr DrainWork kOwes{.has_connections = true, .owes_answer = true};
  CHECK(!drain.MayEnd(kOwes, At(kStopMs + 400)));
  CHECK(!drain.MayEnd(kOwes, At(kStopMs + 429)));
  CHECK(drain.MayEnd(kOwes, At(kStopMs + 430)));
}

TEST_CASE("however long responses take, none of a request accepted late is cut at the stop") {
  const DrainAdmission drain = Draining();
  std::mt19937 random(27);
  std::uniform_int_distribution<int> arrivals(2500, kStopMs);
  std::uniform_int_distribution<int> time_limits(100, 15000);
  std::uniform_int_distribution<int> run_times(1, 20000);
  int accepted = 0;
  for (int i = 0; i < 10000; ++i) {
    const Time arrival = At(arrivals(random));
    const Time deadline = arrival + milliseconds(time_limits(random));
    const Time end = std::min(deadline, arrival + milliseconds(run_times(random)));
    if (drain.MayAccept(deadline, arrival)) {
      ++accepted;
      CHECK(end <= drain.answer_deadline());
      CHECK(end < drain.stop());
    }
  }
  CHECK(accepted > 500);
}

}  // namespace lagoonwind::policy
