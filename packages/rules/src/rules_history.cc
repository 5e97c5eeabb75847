#include "lagoonwind/rules_history.h"

#include <nlohmann/json.hpp>

namespace lagoonwind {

using nlohmann::json;

std::string EncodeProposal(const RulesProposal& proposal) {
  return json{{"base", proposal.base}, {"nonce", proposal.nonce}, {"text", proposal.text}}.dump();
}

absl::StatusOr<RulesProposal> DecodeProposal(std::string_view record) {
  try {
    const json body = json::parse(record);
    return RulesProposal{
        .base = body.at("base"), .nonce = body.at("nonce"), .text = body.at("text")};
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

Verdict RulesHistory::Replay(std::int64_t offset, std::string_view record) {
  const auto proposal = DecodeProposal(record);
  if (!proposal.ok()) {
    return Verdict::kMalformed;
  }
  if (proposal->base != current_->offset) {
    return Verdict::kStaleBase;
  }
  ParsedRules parsed = ParseRules(proposal->text);
  if (!parsed.errors.empty()) {
    return Verdict::kInvalidRules;
  }
  parsed.configuration.offset = offset;
  current_ = std::make_shared<const Configuration>(std::move(parsed.configuration));
  return Verdict::kAccepted;
}

}  // namespace lagoonwind
