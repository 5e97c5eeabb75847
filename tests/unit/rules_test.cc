#include "lagoonwind/rules.h"

#include <doctest/doctest.h>

#include "lagoonwind/rules_history.h"

namespace lagoonwind {
namespace {

const std::string kDigest(64, 'a');

TEST_CASE("every kind of rule is read") {
  const auto parsed = ParseRules("customer erie share 4 token sha256:" + kDigest +
                                 " queue 9  # asked by: S. Depot\n\n# a remark\n"
                                 "zone lake-2 out # asked by: night shift\n"
                                 "service bookings once window 24h # asked by: floor\n"
                                 "model crest backends tag:gpu # asked by: crest office\n");
  REQUIRE(parsed.errors.empty());
  const Configuration& rules = parsed.configuration;
  CHECK(rules.Share(HandleOf<CustomerId>("erie")) == 4);
  CHECK(rules.CustomerByToken(kDigest)->queue == 9);
  CHECK(rules.ZoneOut(HandleOf<ZoneId>("lake-2")));
  CHECK(rules.Target(HandleOf<TargetId>("bookings"))->window == std::chrono::hours(24));
  CHECK(rules.Target(HandleOf<TargetId>("crest"))->backend_tag == "gpu");
}

TEST_CASE("all faults are reported at once, each with its line") {
  const auto parsed =
      ParseRules("zone lake-1 in\nzone lake-1 sideways # asked by: x\nfoo bar # asked by: y\n");
  REQUIRE(parsed.errors.size() == 3);
  CHECK(parsed.errors[0].line == 1);
  CHECK(parsed.errors[1].line == 2);
  CHECK(parsed.errors[2].line == 3);
  CHECK(FormatRuleErrors("rules.txt", parsed.errors).starts_with("rules.txt:1: "));
}

TEST_CASE("of two proposals against one base the first in the log wins") {
  RulesHistory history;
  const RulesProposal first{.base = -1, .nonce = "a", .text = "zone z in # asked by: a\n"};
  const RulesProposal second{.base = -1, .nonce = "b", .text = "zone z out # asked by: b\n"};
  CHECK(history.Replay(5, EncodeProposal(first)) == Verdict::kAccepted);
  CHECK(history.Replay(6, EncodeProposal(second)) == Verdict::kStaleBase);
  CHECK(history.Replay(7, "garbage") == Verdict::kMalformed);
  CHECK(history.current()->offset == 5);
  CHECK_FALSE(history.current()->ZoneOut(HandleOf<ZoneId>("z")));
}

}  // namespace
}  // namespace lagoonwind
