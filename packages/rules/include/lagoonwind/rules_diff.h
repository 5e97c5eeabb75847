#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/rules.h"

/// \file
/// Canonical form of rules, differences between two sets of rules, and patches that turn one rules
/// text into another.
namespace lagoonwind {

/// A rule in canonical form.
struct CanonicalRule {
  /// Kind and name, such as `zone lake-2`; unique within a set of rules.
  std::string key;
  /// The complete rule with every option written out, followed by who asked for it.
  std::string line;

  bool operator==(const CanonicalRule&) const = default;
};

/// Returns every rule of a configuration, sorted by key. Thread safe.
std::vector<CanonicalRule> CanonicalRules(const Configuration& configuration);

/// Returns the canonical rules as one text, which parses to an equal configuration. Thread safe.
std::string CanonicalText(const Configuration& configuration);

/// A rule that differs between two sets. `before` is empty for an added rule, `after` for a removed
/// one.
struct RuleChange {
  std::string key;
  std::string before;
  std::string after;

  bool operator==(const RuleChange&) const = default;
};

/// Returns the rules that differ, sorted by key. Comments on lines of their own, blank lines and
/// the order of rules are ignored. Thread safe.
std::vector<RuleChange> DiffRules(const Configuration& before, const Configuration& after);

/// Formats changes as lines `- before` and `+ after`. Thread safe.
std::string FormatRuleChanges(const std::vector<RuleChange>& changes);

/// Replaces one range of a text: keeps the first `prefix` and the last `suffix` bytes and puts
/// `middle` between them.
struct TextPatch {
  std::uint64_t prefix = 0;
  std::uint64_t suffix = 0;
  std::string middle;
};

/// Returns the smallest patch that turns `before` into `after`. Thread safe.
TextPatch MakePatch(std::string_view before, std::string_view after);

/// Applies a patch. Thread safe.
/// \return Nothing if the patch keeps more bytes than the text has.
std::optional<std::string> ApplyPatch(std::string_view before, const TextPatch& patch);

}  // namespace lagoonwind
