#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"

/// \file
/// The operators' rules file and the typed configuration that it becomes.
namespace lagoonwind {

/// How often a target's calls may run.
enum class ExecutionSemantics { kIdempotent, kAtMostOnce };

struct CustomerRule {
  std::string name;
  /// Relative weight of the customer's fair share, at least 1.
  std::uint32_t share = 1;
  /// Lower-case hexadecimal SHA-256 of the customer's bearer token.
  std::string token_sha256;
  /// Largest number of requests that may wait at one entry.
  std::uint32_t max_queued = limits::kDefaultCustomerQueueLimit;
  std::string asked_by;
};

struct ZoneRule {
  std::string name;
  bool out_of_service = false;
  std::string asked_by;
};

struct TargetRule {
  std::string name;
  bool is_model = true;
  ExecutionSemantics execution_semantics = ExecutionSemantics::kIdempotent;
  /// Time in which an idempotency key is remembered; only for kAtMostOnce.
  std::chrono::seconds key_retention{0};
  /// Only backend servers with this tag run the target; empty means all that serve it.
  std::string backend_tag;
  std::string asked_by;
};

/// An accepted set of rules. Immutable once built; share it as `shared_ptr<const>`.
struct Configuration {
  /// Offset of the log record that carried the rules; -1 before any was accepted.
  std::int64_t offset = -1;
  std::string text;
  std::map<CustomerId, CustomerRule> customers;
  std::map<ZoneId, ZoneRule> zones;
  std::map<TargetId, TargetRule> targets;
  /// Customers by the digest of their token. A lookup by a presented token's digest needs no
  /// constant time: whoever presents a token can't choose the bytes of its SHA-256, so how far two
  /// digests agree tells nothing about the token.
  std::map<std::string, CustomerId, std::less<>> customers_by_token;

  /// The customer whose token has this digest, or nullptr. Thread safe.
  /// The digest found is compared in constant time.
  /// \param token_sha256  Lower-case hexadecimal SHA-256 of the presented token.
  [[nodiscard]] const CustomerRule* CustomerByToken(std::string_view token_sha256) const;
  /// True if operators have taken the availability zone out. Thread safe.
  [[nodiscard]] bool IsZoneOutOfService(ZoneId zone) const;
  /// Rule of a target, or nullptr. Thread safe.
  [[nodiscard]] const TargetRule* Target(TargetId target) const;
  /// Share of a customer, 1 if it is unknown. Thread safe.
  [[nodiscard]] std::uint32_t Share(CustomerId customer) const;
};

/// One fault in a rules file.
struct RuleError {
  /// Line, counted from 1.
  int line = 0;
  /// What is wrong; what is allowed.
  std::string message;
};

struct ParsedRules {
  Configuration configuration;
  /// Every fault in the file, in order of lines. The configuration is only valid if this is empty.
  std::vector<RuleError> errors;
};

/// Parses a whole rules file and reports every fault at once. Never fails otherwise. Thread safe.
/// \param text  UTF-8 text, one rule a line.
ParsedRules ParseRules(std::string_view text);

/// Formats faults as `FILE:LINE: what is wrong; what is allowed`, a line each. Thread safe.
std::string FormatRuleErrors(std::string_view file, std::span<const RuleError> errors);

}  // namespace lagoonwind
