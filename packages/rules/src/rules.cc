#include "lagoonwind/rules.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <ranges>

namespace lagoonwind {
namespace {

constexpr std::size_t kSha256HexDigits = 64;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint32_t kMaxShare = 1'000'000;
constexpr std::uint32_t kMaxQueue = 1'000'000;
constexpr std::string_view kTokenPrefix = "sha256:";
constexpr std::string_view kTagPrefix = "tag:";
constexpr std::string_view kAskedByPrefix = "asked by:";

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r";
  const auto first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

std::vector<std::string_view> SplitWords(std::string_view text) {
  std::vector<std::string_view> words;
  while (!(text = Trim(text)).empty()) {
    const auto end = std::min(text.find_first_of(" \t"), text.size());
    words.push_back(text.substr(0, end));
    text.remove_prefix(end);
  }
  return words;
}

bool IsName(std::string_view word) {
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !word.empty() && word.size() <= kMaxNameBytes && std::ranges::all_of(word, is_allowed);
}

bool IsSha256(std::string_view word) {
  const auto is_hex_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  return word.size() == kSha256HexDigits && std::ranges::all_of(word, is_hex_digit);
}

std::optional<std::uint32_t> ParseNumber(std::string_view word, std::uint32_t min_value,
                                         std::uint32_t max_value) {
  std::uint32_t value = 0;
  const auto* const last = word.data() + word.size();
  const auto [end, error] = std::from_chars(word.data(), last, value);
  if (error != std::errc{} || end != last || value < min_value || value > max_value) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::chrono::seconds> ParseDuration(std::string_view word) {
  if (word.size() < 2) {
    return std::nullopt;
  }
  constexpr std::uint32_t kMaxCount = 10'000;
  const auto count = ParseNumber(word.substr(0, word.size() - 1), 1, kMaxCount);
  if (!count) {
    return std::nullopt;
  }
  switch (word.back()) {
    case 's':
      return std::chrono::seconds(*count);
    case 'm':
      return std::chrono::minutes(*count);
    case 'h':
      return std::chrono::hours(*count);
    default:
      return std::nullopt;
  }
}

/// Parses a rules file line by line and collects all errors.
class Parser {
 public:
  ParsedRules Parse(std::string_view text) {
    result_.configuration.text = std::string(text);
    for (line_ = 1; !text.empty(); ++line_) {
      const auto end = std::min(text.find('\n'), text.size());
      ParseLine(text.substr(0, end));
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::move(result_);
  }

 private:
  void AddError(std::string message) {
    result_.errors.push_back(RuleError{.line = line_, .message = std::move(message)});
  }

  void ParseLine(std::string_view line) {
    const auto comment_start = line.find('#');
    const auto rule = Trim(line.substr(0, comment_start));
    if (rule.empty()) {
      return;
    }
    const auto comment = comment_start == std::string_view::npos
                             ? std::string_view{}
                             : Trim(line.substr(comment_start + 1));
    if (!comment.starts_with(kAskedByPrefix) ||
        Trim(comment.substr(kAskedByPrefix.size())).empty()) {
      AddError("the rule does not state who asked for it; end the line with '# asked by: NAME'");
      asked_by_ = {};
    } else {
      asked_by_ = Trim(comment.substr(kAskedByPrefix.size()));
    }
    ParseRule(SplitWords(rule));
  }

  void ParseRule(std::span<const std::string_view> words) {
    const auto kind = words.front();
    if (kind != "customer" && kind != "zone" && kind != "service" && kind != "model") {
      AddError(absl::StrFormat("unknown kind of rule '%s'; allowed: customer, zone, service, model",
                               kind));
      return;
    }
    if (words.size() < 2 || !IsName(words[1])) {
      AddError(absl::StrFormat(
          "%s rule without a valid name; allowed: 1 to %d characters of a-z 0-9 - _ .", kind,
          kMaxNameBytes));
      return;
    }
    const auto options = words.subspan(2);
    if (kind == "customer") {
      ParseCustomer(words[1], options);
    } else if (kind == "zone") {
      ParseZone(words[1], options);
    } else {
      ParseTarget(words[1], kind == "model", options);
    }
  }

  void ParseCustomer(std::string_view name, std::span<const std::string_view> options) {
    CustomerRule rule{.name = std::string(name)};
    if (options.size() % 2 != 0) {
      AddError("customer option without a value; allowed: share N, token sha256:HEX, queue N");
      return;
    }
    for (; !options.empty(); options = options.subspan(2)) {
      ParseCustomerOption(options[0], options[1], rule);
    }
    if (rule.token_sha256.empty()) {
      AddError("customer rule without a token; required: token sha256:HEX");
      return;
    }
    const auto id = HandleOf<CustomerId>(name);
    if (!result_.configuration.customers_by_token.try_emplace(rule.token_sha256, id).second) {
      AddError("the token already belongs to another customer; allowed: one customer per token");
      return;
    }
    Insert(result_.configuration.customers, id, std::move(rule));
  }

  void ParseCustomerOption(std::string_view key, std::string_view value, CustomerRule& rule) {
    if (key == "share" || key == "queue") {
      const std::uint32_t max_value = key == "share" ? kMaxShare : kMaxQueue;
      const auto number = ParseNumber(value, 1, max_value);
      if (!number) {
        AddError(absl::StrFormat("invalid %s '%s'; allowed: 1 to %d", key, value, max_value));
        return;
      }
      (key == "share" ? rule.share : rule.max_queued) = *number;
    } else if (key == "token") {
      if (!value.starts_with(kTokenPrefix) || !IsSha256(value.substr(kTokenPrefix.size()))) {
        AddError("invalid token; allowed: sha256: followed by 64 lower-case hexadecimal digits");
        return;
      }
      rule.token_sha256 = std::string(value.substr(kTokenPrefix.size()));
    } else {
      AddError(absl::StrFormat("unknown customer option '%s'; allowed: share, token, queue", key));
    }
  }

  void ParseZone(std::string_view name, std::span<const std::string_view> options) {
    if (options.size() != 1 || (options[0] != "in" && options[0] != "out")) {
      AddError("zone rule without a valid state; allowed: in, out");
      return;
    }
    Insert(result_.configuration.zones, HandleOf<ZoneId>(name),
           ZoneRule{.name = std::string(name), .out_of_service = options[0] == "out"});
  }

  void ParseTarget(std::string_view name, bool is_model,
                   std::span<const std::string_view> options) {
    TargetRule rule{.name = std::string(name), .is_model = is_model};
    while (!options.empty()) {
      const std::size_t consumed = ParseTargetOption(options, rule);
      if (consumed == 0) {
        return;
      }
      options = options.subspan(consumed);
    }
    Insert(result_.configuration.targets, HandleOf<TargetId>(name), std::move(rule));
  }

  /// Returns the number of words that the option consumed, 0 after an error.
  std::size_t ParseTargetOption(std::span<const std::string_view> options, TargetRule& rule) {
    const auto key = options[0];
    if (key == "repeatable") {
      return 1;
    }
    if (key == "once" && !rule.is_model) {
      return ParseAtMostOnce(options, rule);
    }
    if (key == "backends" && options.size() >= 2 && options[1].starts_with(kTagPrefix) &&
        IsName(options[1].substr(kTagPrefix.size()))) {
      rule.backend_tag = std::string(options[1].substr(kTagPrefix.size()));
      return 2;
    }
    AddError(
        absl::StrFormat("invalid option '%s'; allowed: backends tag:NAME and, for a service, "
                        "repeatable or once window DURATION",
                        key));
    return 0;
  }

  std::size_t ParseAtMostOnce(std::span<const std::string_view> options, TargetRule& rule) {
    constexpr std::size_t kWordCount = 3;
    const auto key_retention = options.size() >= kWordCount && options[1] == "window"
                                   ? ParseDuration(options[2])
                                   : std::nullopt;
    if (!key_retention) {
      AddError(
          "option once without a valid window; required: once window DURATION, where DURATION is a "
          "number followed by s, m or h");
      return 0;
    }
    rule.execution_semantics = ExecutionSemantics::kAtMostOnce;
    rule.key_retention = *key_retention;
    return kWordCount;
  }

  template <class Key, class Rule>
  void Insert(std::map<Key, Rule>& rules, Key key, Rule rule) {
    const std::string name = rule.name;
    rule.asked_by = std::string(asked_by_);
    if (!rules.try_emplace(key, std::move(rule)).second) {
      AddError(absl::StrFormat("duplicate rule for '%s'; allowed: one rule per name", name));
    }
  }

  int line_ = 0;
  std::string_view asked_by_;
  ParsedRules result_;
};

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

const CustomerRule* Configuration::CustomerByToken(std::string_view digest) const {
  const auto customer = customers_by_token.find(digest);
  if (customer == customers_by_token.end()) {
    return nullptr;
  }
  const auto rule = customers.find(customer->second);
  const bool found =
      rule != customers.end() && ConstantTimeEqual(rule->second.token_sha256, digest);
  return found ? &rule->second : nullptr;
}

bool Configuration::IsZoneOutOfService(ZoneId zone) const {
  const auto found = zones.find(zone);
  return found != zones.end() && found->second.out_of_service;
}

const TargetRule* Configuration::Target(TargetId target) const {
  const auto found = targets.find(target);
  return found == targets.end() ? nullptr : &found->second;
}

std::uint32_t Configuration::Share(CustomerId customer) const {
  const auto found = customers.find(customer);
  return found == customers.end() ? 1 : found->second.share;
}

ParsedRules ParseRules(std::string_view text) { return Parser().Parse(text); }

std::string FormatRuleErrors(std::string_view file, std::span<const RuleError> errors) {
  std::string out;
  for (const auto& error : errors) {
    absl::StrAppendFormat(&out, "%s:%d: %s\n", file, error.line, error.message);
  }
  return out;
}

}  // namespace lagoonwind
