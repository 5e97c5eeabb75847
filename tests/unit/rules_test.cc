#include "lagoonwind/rules.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "lagoonwind/rules_diff.h"
#include "lagoonwind/rules_history.h"

namespace lagoonwind {
namespace {

const std::string kDigest(64, 'a');

TEST_CASE("every kind of rule is parsed") {
  const auto parsed = ParseRules("customer erie share 4 token sha256:" + kDigest +
                                 " queue 9  # asked by: S. Depot\n\n# a remark\n"
                                 "zone lake-2 out # asked by: night shift\n"
                                 "service bookings once window 24h # asked by: floor\n"
                                 "model crest backends tag:gpu # asked by: crest office\n");
  REQUIRE(parsed.errors.empty());
  const Configuration& rules = parsed.configuration;
  CHECK(rules.Share(HandleOf<CustomerId>("erie")) == 4);
  CHECK(rules.CustomerByToken(kDigest)->max_queued == 9);
  CHECK(rules.IsZoneOutOfService(HandleOf<ZoneId>("lake-2")));
  CHECK(rules.Target(HandleOf<TargetId>("bookings"))->key_retention == std::chrono::hours(24));
  CHECK(rules.Target(HandleOf<TargetId>("crest"))->backend_tag == "gpu");
}

TEST_CASE("all errors are reported at once, each with its line") {
  const auto parsed =
      ParseRules("zone lake-1 in\nzone lake-1 sideways # asked by: x\nfoo bar # asked by: y\n");
  REQUIRE(parsed.errors.size() == 3);
  CHECK(parsed.errors[0].line == 1);
  CHECK(parsed.errors[1].line == 2);
  CHECK(parsed.errors[2].line == 3);
  CHECK(FormatRuleErrors("rules.txt", parsed.errors).starts_with("rules.txt:1: "));
}

TEST_CASE("a token that belongs to another customer is rejected") {
  const std::string rule = " token sha256:" + kDigest + "  # asked by: S. Depot\n";
  const auto parsed = ParseRules("customer erie" + rule + "customer huron" + rule);
  REQUIRE(parsed.errors.size() == 1);
  CHECK(parsed.errors[0].line == 2);
}

TEST_CASE("of two proposals on the same base the first in the log is accepted") {
  RulesHistory history;
  const RulesProposal first{.base = -1, .nonce = "a", .text = "zone z in # asked by: a\n"};
  const RulesProposal second{.base = -1, .nonce = "b", .text = "zone z out # asked by: b\n"};
  CHECK(history.Replay(5, EncodeProposal(first)) == Verdict::kAccepted);
  CHECK(history.Replay(6, EncodeProposal(second)) == Verdict::kStaleBase);
  CHECK(history.Replay(7, "garbage") == Verdict::kMalformed);
  CHECK(history.current()->offset == 5);
  CHECK_FALSE(history.current()->IsZoneOutOfService(HandleOf<ZoneId>("z")));
}

TEST_CASE("the canonical text parses to the same rules and formats to itself") {
  const auto parsed =
      ParseRules("zone z  out #  asked by: x\n# a remark\ncustomer b token sha256:" + kDigest +
                 " # asked by: y\nservice s once window 2m # asked by: w\n");
  const std::string text = CanonicalText(parsed.configuration);
  const auto reparsed = ParseRules(text);
  CHECK(reparsed.errors.empty());
  CHECK(CanonicalText(reparsed.configuration) == text);
  CHECK(DiffRules(parsed.configuration, reparsed.configuration).empty());
  CHECK(text.ends_with("zone z out  # asked by: x\n"));
}

TEST_CASE("a diff lists each rule that was added, removed or changed") {
  const auto before =
      ParseRules("zone a in # asked by: x\nzone b in # asked by: x\n").configuration;
  const auto after =
      ParseRules("zone c in # asked by: x\nzone b out # asked by: x\n").configuration;
  const auto changes = DiffRules(before, after);
  REQUIRE(changes.size() == 3);
  CHECK(changes[0] == RuleChange{.key = "zone a", .before = "zone a in  # asked by: x"});
  CHECK(changes[1].key == "zone b");
  CHECK(changes[2].before.empty());
  CHECK(FormatRuleChanges({changes[0]}) == "- zone a in  # asked by: x\n");
}

TEST_CASE("a patch produces the new text, and one that does not match the base is rejected") {
  std::mt19937 random(7);
  const auto random_text = [&] {
    std::string out(random() % 6, 'a');
    std::ranges::generate(out, [&] { return "ab"[random() % 2]; });
    return out;
  };
  for (int i = 0; i < 2000; ++i) {
    const std::string before = random_text();
    const std::string after = random_text();
    const TextPatch patch = MakePatch(before, after);
    CHECK(ApplyPatch(before, patch) == after);
    CHECK(patch.middle.size() <= after.size());
  }
  CHECK_FALSE(ApplyPatch("abc", {.prefix = 2, .suffix = 2}).has_value());
}

}  // namespace
}  // namespace lagoonwind
