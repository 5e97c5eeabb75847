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
/// Parser for the rules file that operators write, and the typed configuration that it yields:
/// customers with their fair shares and bearer tokens, availability zones in or out of service, and
/// the models and services that callers may request.
namespace lagoonwind {

/// Whether requests for a target may be executed more than once.
enum class ExecutionSemantics { kIdempotent, kAtMostOnce };

struct CustomerRule {
  std::string name;
  /// Relative weight of the customer's fair share, at least 1.
  std::uint32_t share = 1;
  /// Lower-case hexadecimal SHA-256 of the customer's bearer token.
  std::string token_sha256;
  /// Maximum number of the customer's requests that may wait at one entry.
  std::uint32_t max_queued = limits::kDefaultCustomerQueueLimit;
  /// Who asked for the rule, from the comment `# asked by: NAME`.
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
  /// How long an idempotency key is remembered; used with kAtMostOnce only. 0 selects the default.
  std::chrono::seconds key_retention{0};
  /// Only backend servers with this tag execute requests for the target; if empty, all that serve
  /// it.
  std::string backend_tag;
  std::string asked_by;
};

/// A set of rules in typed form. Immutable once built; shared as `shared_ptr<const>`.
struct Configuration {
  /// Offset of the log record that contains the rules; -1 if no rules have been accepted yet.
  std::int64_t offset = -1;
  std::string text;
  std::map<CustomerId, CustomerRule> customers;
  std::map<ZoneId, ZoneRule> zones;
  std::map<TargetId, TargetRule> targets;
  /// Customers by the SHA-256 of their token. The lookup does not need constant time: a caller
  /// cannot choose the bytes of its token's SHA-256, so the length of a matching prefix reveals
  /// nothing about any token.
  std::map<std::string, CustomerId, std::less<>> customers_by_token;

  /// Returns the customer whose token has this digest, or nullptr. Compares the digest of the
  /// customer found in constant time. Thread safe.
  /// \param token_sha256  Lower-case hexadecimal SHA-256 of the presented token.
  [[nodiscard]] const CustomerRule* CustomerByToken(std::string_view token_sha256) const;
  /// Returns true if operators have taken the availability zone out of service. Thread safe.
  [[nodiscard]] bool IsZoneOutOfService(ZoneId zone) const;
  /// Returns the rule of a target, or nullptr. Thread safe.
  [[nodiscard]] const TargetRule* Target(TargetId target) const;
  /// Returns the weight of a customer's fair share; 1 for an unknown customer. Thread safe.
  [[nodiscard]] std::uint32_t Share(CustomerId customer) const;
};

/// An error in a rules file.
struct RuleError {
  /// Line number, starting at 1.
  int line = 0;
  /// What is wrong and what is allowed, separated by a semicolon.
  std::string message;
};

/// Result of parsing a rules file.
struct ParsedRules {
  Configuration configuration;
  /// All errors in the file, in line order. The configuration is valid only if this is empty.
  std::vector<RuleError> errors;
};

/// Parses a whole rules file and reports all errors at once. Thread safe.
/// \param text  UTF-8 text, one rule per line.
ParsedRules ParseRules(std::string_view text);

/// Formats errors as `FILE:LINE: what is wrong; what is allowed`, one per line. Thread safe.
std::string FormatRuleErrors(std::string_view file, std::span<const RuleError> errors);

}  // namespace lagoonwind
