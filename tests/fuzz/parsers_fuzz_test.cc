#include <doctest/doctest.h>

#include <array>
#include <fstream>
#include <sstream>

#include "lagoonwind/http.h"
#include "lagoonwind/rules.h"
#include "lagoonwind/rules_history.h"
#include "lagoonwind/runtime.h"
#include "lagoonwind/wire.h"
#include "load_mix.h"
#include "mutator.h"

namespace lagoonwind {
namespace {

using testing::Mutator;

/// Number of mutated inputs for each parser.
constexpr int kCases = 3000;
constexpr std::array<std::string_view, 12> kDictionary{
    "customer ", "share ",    "4294967296", "-1", "zone ", "\n",
    "#",         "asked by:", "[[",         "= ", "\"",    std::string_view("\0\xff\xfe", 3)};

std::string ReadSource(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(LAGOONWIND_SOURCE_DIR "/" + path).rdbuf();
  return text.str();
}

/// True if the first line of an error report begins with the file name and a colon.
bool StartsWithLocation(std::string_view report, std::string_view file) {
  std::istringstream in{std::string(report)};
  std::string line;
  return std::getline(in, line) && line.starts_with(std::string(file) + ":");
}

TEST_CASE("malformed rules give errors with locations, and a malformed proposal is not applied") {
  const std::string valid = ReadSource("examples/01-local-fleet/rules.txt");
  Mutator mutator(1, kDictionary);
  int rejected = 0;
  for (int i = 0; i < kCases; ++i) {
    const std::string text = mutator.Mutate(valid);
    const auto parsed = ParseRules(text);
    if (!parsed.errors.empty()) {
      ++rejected;
      CHECK(StartsWithLocation(FormatRuleErrors("rules", parsed.errors), "rules"));
      RulesHistory history;
      (void)history.Replay(0, EncodeProposal({.base = -1, .nonce = "n", .text = "zone z in"}));
      CHECK(history.current()->offset == -1);
    }
    (void)DecodeProposal(text);
  }
  CHECK(rejected > kCases / 4);
}

TEST_CASE("errors in malformed settings and load mixes begin with the file name") {
  Mutator mutator(2, kDictionary);
  const std::string settings = ReadSource("examples/settings/agent.toml");
  const std::string mix = ReadSource("examples/02-both-users/saltline.toml");
  for (int i = 0; i < kCases; ++i) {
    const auto parsed = runtime::ParseSettings(mutator.Mutate(settings), "s.toml");
    CHECK((parsed.ok() || StartsWithLocation(std::string(parsed.status().message()), "s.toml")));
    const auto streams = ctl::ParseMix(mutator.Mutate(mix), "m.toml");
    CHECK((streams.ok() || StartsWithLocation(std::string(streams.status().message()), "m.toml")));
  }
}

TEST_CASE("a malformed frame decodes to an error or a message without a crash") {
  wire::Message message;
  message.__set_demand({});
  message.demand.items.resize(5);
  wire::Message offer;
  offer.__set_offer({});
  offer.offer.body = std::string(100, 'b');
  offer.offer.customer_name = "erie";
  const std::array<std::string, 2> frames{wire::EncodeFrame(message), wire::EncodeFrame(offer)};
  Mutator mutator(3, kDictionary);
  int rejected = 0;
  for (int i = 0; i < kCases * 4; ++i) {
    const std::string frame = mutator.Mutate(frames[mutator.Below(frames.size())]);
    const std::string_view view = frame;
    const auto decoded = wire::DecodeMessage(view.substr(std::min(frame.size(), std::size_t{4})));
    if (!decoded.ok()) {
      ++rejected;
      continue;
    }
    if (decoded->__isset.demand) {
      (void)wire::FromWire(decoded->demand);
    }
    (void)wire::EncodeFrame(*decoded);
  }
  CHECK(rejected > 0);
}

TEST_CASE("malformed addresses, targets and request ids are parsed without a crash") {
  Mutator mutator(4, kDictionary);
  for (int i = 0; i < kCases; ++i) {
    (void)http::ParseEndpoint(mutator.Mutate("127.0.0.1:8000"));
    (void)http::QueryParameter(mutator.Mutate("/explain?customer=a%20b&request=%zz%"), "request");
    (void)ParseRequestId(mutator.Mutate(FormatRequestId({.entry = {77}, .number = 9})));
  }
}

}  // namespace
}  // namespace lagoonwind
