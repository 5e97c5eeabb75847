#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "fairness_meter.h"
#include "fleet_probe.h"
#include "histogram.h"
#include "load_mix.h"
#include "response_validator.h"

namespace lagoonwind::ctl {
namespace {

std::string ReadSource(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(LAGOONWIND_SOURCE_DIR "/" + path).rdbuf();
  return text.str();
}

/// A server-sent event that carries one token.
std::string TokenEvent(const std::string& token) {
  return R"(data: {"choices":[{"delta":{"content":")" + token + "\"}}]}\n\n";
}

TEST_CASE("quantiles of a histogram are within kRelativeError") {
  Histogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(i / 1000.0);
  }
  CHECK(histogram.Quantile(0.5) == doctest::Approx(0.5).epsilon(Histogram::kRelativeError));
  CHECK(histogram.Quantile(0.99) == doctest::Approx(0.99).epsilon(Histogram::kRelativeError));
  Histogram merged = histogram;
  merged.Merge(histogram);
  CHECK(merged.count() == 2000);
  CHECK(merged.Quantile(0.5) == histogram.Quantile(0.5));
  CHECK(Histogram().Quantile(0.5) == 0);
}

TEST_CASE("the fairness gap counts only while both customers are backlogged") {
  FairnessMeter meter;
  const auto sample = [&](double a, double b, bool b_backlogged) {
    meter.Sample({{"a", {.service = a, .share = 1, .backlogged = true}},
                  {"b", {.service = b, .share = 2, .backlogged = b_backlogged}}});
  };
  sample(0, 0, false);
  sample(100, 0, false);
  CHECK(meter.gap() == 0);
  sample(100, 0, true);
  sample(110, 10, true);
  CHECK(meter.gap() == doctest::Approx(5));
  sample(110, 30, true);
  CHECK(meter.gap() == doctest::Approx(10));
}

TEST_CASE("the example load mixes are valid, and errors in a mix state their line") {
  for (const char* file :
       {"01-local-fleet/load", "02-both-users/pakthong", "02-both-users/saltline"}) {
    const std::string path = std::string("examples/") + file + ".toml";
    const auto mix = ParseMix(ReadSource(path), path);
    CHECK_MESSAGE(mix.ok(), mix.status().ToString());
  }
  const auto malformed = ParseMix(
      "[[stream]]\ncustomer = \"a\"\ntarget = \"t\"\nrequests_per_second = 0\ncolour = 1\n", "m");
  REQUIRE_FALSE(malformed.ok());
  const std::string message(malformed.status().message());
  CHECK(message.find("m:4: requests_per_second") != std::string::npos);
  CHECK(message.find("m:5: colour: unknown key") != std::string::npos);
  CHECK_FALSE(ParseMix("", "m").ok());
}

TEST_CASE("a response is valid only if it is complete, in order and belongs to the request") {
  const LoadStream stream{.customer = "a", .target = "crest", .max_tokens = 2};
  const auto is_valid = [&](const std::string& body) {
    Tally tally{.awaiting_response = 1};
    ResponseValidator validator(stream, "t7", {}, tally);
    // The split point lies within an event.
    const std::string_view view = body;
    validator.OnBodyPart(view.substr(0, 11), {});
    validator.OnBodyPart(view.substr(11), {});
    validator.OnEnd(200, "complete", body, {});
    CHECK(tally.awaiting_response == 0);
    return tally.complete == 1 && tally.invalid == 0;
  };
  const std::string done_event = "data: [DONE]\n\n";
  CHECK(is_valid(TokenEvent("t7.0 ") + TokenEvent("t7.1 ") + done_event));
  CHECK_FALSE(is_valid(TokenEvent("t7.0 ") + TokenEvent("t7.1 ")));
  CHECK_FALSE(is_valid(TokenEvent("t7.0 ") + done_event));
  CHECK_FALSE(is_valid(TokenEvent("t7.1 ") + TokenEvent("t7.0 ") + done_event));
  CHECK_FALSE(is_valid(TokenEvent("t8.0 ") + TokenEvent("t8.1 ") + done_event));
}

TEST_CASE("bytes sent are split into control messages and request data") {
  const auto bytes = SentBytes(
      "# HELP x\nlagoonwind_link_bytes_total{direction=\"sent\",kind=\"ping\"} 10\n"
      "lagoonwind_link_bytes_total{direction=\"received\",kind=\"ping\"} 99\n"
      "lagoonwind_link_bytes_total{direction=\"sent\",kind=\"chunk\"} 500\n"
      "lagoonwind_link_bytes_total{direction=\"sent\",kind=\"demand\"} 7\n");
  CHECK(bytes.control == 17);
  CHECK(bytes.data == 500);
}

}  // namespace
}  // namespace lagoonwind::ctl
