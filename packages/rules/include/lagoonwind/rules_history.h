#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "lagoonwind/rules.h"

/// \file
/// Replay of the platform's stream of rules: every process reaches the same verdicts.
namespace lagoonwind {

/// Stream of the platform's log that carries the rules.
inline constexpr std::string_view kRulesStream = "rules";

/// A proposal of new rules, as a record of the log carries it.
struct RulesProposal {
  /// Offset of the configuration that the text was written against; -1 for the first.
  std::int64_t base = -1;
  /// Chosen by the proposer, to find its own record again.
  std::string nonce;
  std::string text;
};

/// Encodes a proposal as a log record. Thread safe.
std::string EncodeProposal(const RulesProposal& proposal);
/// Decodes a log record. Invalid argument if it is no proposal. Thread safe.
absl::StatusOr<RulesProposal> DecodeProposal(std::string_view record);

enum class Verdict { kAccepted, kStaleBase, kInvalidRules, kMalformed };

/// Replays proposals in the order of the log. Not thread safe.
class RulesHistory {
 public:
  /// Judges the record at `offset`; offsets must grow from call to call.
  Verdict Replay(std::int64_t offset, std::string_view record);

  /// The last accepted configuration; has offset -1 before any.
  [[nodiscard]] const std::shared_ptr<const Configuration>& current() const { return current_; }

 private:
  std::shared_ptr<const Configuration> current_ = std::make_shared<Configuration>();
};

}  // namespace lagoonwind
