#include "request_timeline.h"

#include <doctest/doctest.h>

#include <sstream>

namespace lagoonwind::ctl {
namespace {

/// Interleaved logs of two gateways, as a log collector writes them. One line is truncated.
constexpr const char* kLogs = R"(
edge-1 {"time_ms":1000,"process":"edge-1","event":"store_lost","topic":"operator"}
edge-2 {"time_ms":1500,"process":"edge-2","event":"overloaded","late_ms":40}
edge-1 {"time_ms":2000,"process":"edge-1","event":"resend","request":"a1","server":"s-1","sends":1}
edge-2 {"time_ms":2010,"process":"edge-2","event":"request_done","request":"b2","outcome":"over
edge-1 {"time_ms":2050,"process":"edge-1","event":"server_gone","server":"s-1","reason":"gone"}
edge-1 {"time_ms":2060,"process":"edge-1","event":"server_gone","server":"s-9","reason":"gone"}
edge-1 {"time_ms":2100,"process":"edge-1","event":"request_done","request":"a1","customer":"erie","outcome":"answered","status":200,"server":"s-2","sends":2,"verdict":"send","wait_ms":10.0,"read_ms":20.0,"usage":0.5,"peers":1,"loop_late_ms":0.1,"first_byte_ms":500.0,"total_ms":700.0}
edge-2 {"time_ms":2200,"process":"edge-2","event":"request_done","request":"c3","customer":"erie","outcome":"over_share","status":503,"server":"","sends":0,"verdict":"over_share","wait_ms":118.0,"read_ms":20.0,"running":2,"usage":1.76,"peers":1,"loop_late_ms":0.1,"first_byte_ms":-1.0,"total_ms":0.4}
)";

TimelineReader ReadLogs(const std::string& request, const std::string& logs = kLogs) {
  TimelineReader reader(request);
  std::istringstream stream(logs);
  reader.Read(stream, "all.log");
  return reader;
}

}  // namespace

TEST_CASE("a timeline has the events of the request and the background events of its process") {
  const auto timeline = ReadLogs("a1").Timeline();
  REQUIRE(timeline.ok());
  REQUIRE(timeline->events.size() == 4);
  CHECK(timeline->events[0].is_background);
  CHECK(timeline->events[0].text.starts_with("store_lost"));
  CHECK(timeline->events[1].text == "resend sends=1 server=s-1");
  // Events of the backend server s-9 and of the process edge-2 are left out.
  CHECK(timeline->events[2].text == "server_gone reason=gone server=s-1");
  CHECK(timeline->conclusion.starts_with("answered with 200 by s-2"));
  CHECK(timeline->conclusion.find("30 ms were expected") != std::string::npos);
}

TEST_CASE("the conclusion of a response without framing states that it may have been broken off") {
  const auto timeline =
      ReadLogs(
          "h8",
          R"({"time_ms":7,"process":"edge-1","event":"request_done","request":"h8","outcome":"answered_unframed","status":200,"server":"s-1","framing":"close","sends":1,"verdict":"send","wait_ms":10.0,"read_ms":20.0,"first_byte_ms":50.0,"total_ms":70.0})")
          .Timeline();
  REQUIRE(timeline.ok());
  CHECK(timeline->conclusion.starts_with("answered with 200 by s-1"));
  CHECK(timeline->conclusion.find("it may have been broken off") != std::string::npos);
}

TEST_CASE("the conclusion of a refused request states the reason") {
  const auto timeline = ReadLogs("c3").Timeline();
  REQUIRE(timeline.ok());
  CHECK(
      timeline->conclusion.starts_with("refused with 503 and never sent: customer erie had 1.76"));
}

TEST_CASE("the conclusion of a quarantined request points to the crashes") {
  const auto timeline =
      ReadLogs(
          "g7",
          R"({"time_ms":7,"process":"edge-1","event":"request_done","request":"g7","outcome":"quarantined: the request crashes backend servers","status":503,"sends":0,"verdict":"no_server"})")
          .Timeline();
  REQUIRE(timeline.ok());
  CHECK(timeline->conclusion.starts_with("refused with 503 and never sent: quarantined"));
  CHECK(timeline->conclusion.find("segment_quarantined") != std::string::npos);
}

TEST_CASE("the conclusion of a request that a draining gateway refused names the stop") {
  const auto timeline =
      ReadLogs(
          "f6",
          R"({"time_ms":7,"process":"edge-1","event":"request_done","request":"f6","outcome":"draining","status":503,"sends":0,"verdict":"no_server","stop_in_ms":2400.0})")
          .Timeline();
  REQUIRE(timeline.ok());
  CHECK(
      timeline->conclusion.starts_with("refused with 503 and never sent: the gateway was to stop "
                                       "2400 ms after"));
}

TEST_CASE("the conclusion of a request that a stop has cut states when it had arrived") {
  const std::string line =
      R"({"time_ms":7,"process":"edge-1","event":"request_done","request":"e5","outcome":"cut_by_stop","status":0,"server":"s-1","sends":1,"total_ms":2738.0,"stop_in_ms":)";
  const auto late = ReadLogs("e5", line + "2738.0}").Timeline();
  REQUIRE(late.ok());
  CHECK(late->conclusion.find("stopped 2738 ms after the request had arrived") !=
        std::string::npos);
  CHECK(late->conclusion.ends_with("it had arrived 2738 ms before the stop"));
  const auto early = ReadLogs("e5", line + "-1.0}").Timeline();
  REQUIRE(early.ok());
  CHECK(early->conclusion.ends_with("it had arrived before the stop signal"));
}

TEST_CASE("truncated lines are listed as unreadable, and an unknown request is NotFound") {
  const TimelineReader truncated = ReadLogs("b2");
  CHECK(truncated.unreadable() == std::vector<std::string>{"all.log:5"});
  CHECK(absl::IsNotFound(truncated.Timeline().status()));
  CHECK(absl::IsNotFound(ReadLogs("none", "").Timeline().status()));
}

TEST_CASE("a request without a final event gets a conclusion that says so") {
  const auto timeline =
      ReadLogs("d4", R"({"time_ms":1,"process":"edge-1","event":"resend","request":"d4"})")
          .Timeline();
  REQUIRE(timeline.ok());
  CHECK(timeline->conclusion == "the logs don't show how it ended");
}

}  // namespace lagoonwind::ctl
