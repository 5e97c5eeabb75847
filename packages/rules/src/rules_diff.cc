#include "lagoonwind/rules_diff.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iterator>

namespace lagoonwind {
namespace {

CanonicalRule Canonical(const CustomerRule& rule) {
  return {.key = "customer " + rule.name,
          .line = absl::StrFormat("customer %s share %d token sha256:%s queue %d  # asked by: %s",
                                  rule.name, rule.share, rule.token_sha256, rule.max_queued,
                                  rule.asked_by)};
}

CanonicalRule Canonical(const ZoneRule& rule) {
  return {.key = "zone " + rule.name,
          .line = absl::StrFormat("zone %s %s  # asked by: %s", rule.name,
                                  rule.out_of_service ? "out" : "in", rule.asked_by)};
}

CanonicalRule Canonical(const TargetRule& rule) {
  std::string line = absl::StrCat(rule.is_model ? "model " : "service ", rule.name);
  if (rule.execution_semantics == ExecutionSemantics::kAtMostOnce) {
    absl::StrAppend(&line, " once window ", rule.key_retention.count(), "s");
  } else {
    absl::StrAppend(&line, " repeatable");
  }
  if (!rule.backend_tag.empty()) {
    absl::StrAppend(&line, " backends tag:", rule.backend_tag);
  }
  absl::StrAppend(&line, "  # asked by: ", rule.asked_by);
  return {.key = absl::StrCat(rule.is_model ? "model " : "service ", rule.name),
          .line = std::move(line)};
}

template <class RuleMap>
void AppendCanonical(const RuleMap& rules, std::vector<CanonicalRule>& out) {
  std::ranges::transform(rules, std::back_inserter(out),
                         [](const auto& item) { return Canonical(item.second); });
}

}  // namespace

std::vector<CanonicalRule> CanonicalRules(const Configuration& configuration) {
  std::vector<CanonicalRule> rules;
  AppendCanonical(configuration.customers, rules);
  AppendCanonical(configuration.targets, rules);
  AppendCanonical(configuration.zones, rules);
  std::ranges::sort(rules, {}, &CanonicalRule::key);
  return rules;
}

std::string CanonicalText(const Configuration& configuration) {
  std::string text;
  for (const auto& rule : CanonicalRules(configuration)) {
    absl::StrAppend(&text, rule.line, "\n");
  }
  return text;
}

std::vector<RuleChange> DiffRules(const Configuration& before, const Configuration& after) {
  const auto old_rules = CanonicalRules(before);
  const auto new_rules = CanonicalRules(after);
  std::vector<RuleChange> changes;
  auto old_rule = old_rules.begin();
  auto new_rule = new_rules.begin();
  while (old_rule != old_rules.end() || new_rule != new_rules.end()) {
    const bool removed = new_rule == new_rules.end() ||
                         (old_rule != old_rules.end() && old_rule->key < new_rule->key);
    const bool added = !removed && (old_rule == old_rules.end() || new_rule->key < old_rule->key);
    RuleChange change{.key = removed ? old_rule->key : new_rule->key};
    if (!added) {
      change.before = (old_rule++)->line;
    }
    if (!removed) {
      change.after = (new_rule++)->line;
    }
    if (change.before != change.after) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::string FormatRuleChanges(const std::vector<RuleChange>& changes) {
  std::string out;
  for (const auto& change : changes) {
    if (!change.before.empty()) {
      absl::StrAppend(&out, "- ", change.before, "\n");
    }
    if (!change.after.empty()) {
      absl::StrAppend(&out, "+ ", change.after, "\n");
    }
  }
  return out;
}

TextPatch MakePatch(std::string_view before, std::string_view after) {
  const std::size_t shorter_size = std::min(before.size(), after.size());
  const auto first = std::ranges::mismatch(before, after);
  const auto prefix = static_cast<std::size_t>(first.in1 - before.begin());
  const auto last = std::mismatch(before.rbegin(), before.rend(), after.rbegin(), after.rend());
  const auto common_suffix = static_cast<std::size_t>(last.first - before.rbegin());
  const std::size_t suffix = std::min(common_suffix, shorter_size - prefix);
  return TextPatch{.prefix = prefix,
                   .suffix = suffix,
                   .middle = std::string(after.substr(prefix, after.size() - prefix - suffix))};
}

std::optional<std::string> ApplyPatch(std::string_view before, const TextPatch& patch) {
  if (patch.prefix > before.size() || patch.suffix > before.size() - patch.prefix) {
    return std::nullopt;
  }
  std::string text(before.substr(0, patch.prefix));
  absl::StrAppend(&text, patch.middle);
  text += before.substr(before.size() - patch.suffix);
  return text;
}

}  // namespace lagoonwind
