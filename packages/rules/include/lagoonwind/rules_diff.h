#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/rules.h"

/// \file
/// Canonical form of rules, differences between two sets of rules, and patches between their texts.
namespace lagoonwind {

/// One rule in its canonical form.
struct CanonicalRule {
  /// Kind and name, such as `zone lake-2`; unique in a set of rules.
  std::string key;
  /// The whole rule with every option spelled out and who asked for it.
  std::string line;

  bool operator==(const CanonicalRule&) const = default;
};

/// Every rule of a configuration, sorted by key. Thread safe.
std::vector<CanonicalRule> CanonicalRules(const Configuration& configuration);

/// The canonical rules as one text, which parses to an equal configuration. Thread safe.
std::string CanonicalText(const Configuration& configuration);

/// A rule that differs between two sets. `before` is empty if it was added, `after` if removed.
struct RuleChange {
  std::string key;
  std::string before;
  std::string after;

  bool operator==(const RuleChange&) const = default;
};

/// Rules that differ, sorted by key. Comments of their own, blank lines and order don't count.
/// Thread safe.
std::vector<RuleChange> DiffRules(const Configuration& before, const Configuration& after);

/// Formats changes as `- before` and `+ after`, a line each. Thread safe.
std::string FormatRuleChanges(const std::vector<RuleChange>& changes);

/// Makes one text out of another: keeps its first and last bytes and replaces what is between.
struct TextPatch {
  std::uint64_t prefix = 0;
  std::uint64_t suffix = 0;
  std::string middle;
};

/// The smallest patch of one replaced range. Thread safe.
TextPatch MakePatch(std::string_view before, std::string_view after);

/// Applies a patch. Thread safe.
/// \return Nothing if the patch doesn't fit the text.
std::optional<std::string> ApplyPatch(std::string_view before, const TextPatch& patch);

}  // namespace lagoonwind
