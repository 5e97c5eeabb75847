#include "lagoonwind/rules_history.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lagoonwind {
namespace {

using nlohmann::json;

/// Maximum number of records that evaluated() returns.
constexpr std::size_t kMaxEvaluated = 256;
/// Maximum number of undecided proposals kept until a snapshot is read.
constexpr std::size_t kMaxPending = 1024;

std::shared_ptr<const Configuration> ParseConfiguration(std::int64_t offset,
                                                        std::string_view text) {
  ParsedRules parsed = ParseRules(text);
  if (!parsed.errors.empty()) {
    return nullptr;
  }
  parsed.configuration.offset = offset;
  return std::make_shared<const Configuration>(std::move(parsed.configuration));
}

}  // namespace

std::string EncodeProposal(const RulesProposal& proposal) {
  return json{{"base", proposal.base}, {"nonce", proposal.nonce}, {"text", proposal.text}}.dump();
}

std::string EncodeSnapshot(const RulesSnapshot& snapshot) {
  const json body{
      {"offset", snapshot.offset}, {"through", snapshot.applied_end}, {"text", snapshot.text}};
  return json{{"snapshot", body}}.dump();
}

absl::StatusOr<std::variant<RulesProposal, RulesSnapshot>> DecodeRulesRecord(
    std::string_view record) {
  try {
    const json body = json::parse(record);
    if (body.contains("snapshot")) {
      const json& snapshot = body.at("snapshot");
      return RulesSnapshot{.offset = snapshot.at("offset"),
                           .applied_end = snapshot.at("through"),
                           .text = snapshot.at("text")};
    }
    return RulesProposal{
        .base = body.at("base"), .nonce = body.at("nonce"), .text = body.at("text")};
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

absl::StatusOr<RulesProposal> DecodeProposal(std::string_view record) {
  auto decoded = DecodeRulesRecord(record);
  if (!decoded.ok()) {
    return decoded.status();
  }
  auto* proposal = std::get_if<RulesProposal>(&*decoded);
  if (proposal == nullptr) {
    return absl::InvalidArgumentError("the record is a snapshot, not a proposal");
  }
  return std::move(*proposal);
}

std::string_view Name(Verdict verdict) {
  switch (verdict) {
    case Verdict::kAccepted:
      return "accepted";
    case Verdict::kStaleBase:
      return "stale-base";
    case Verdict::kInvalidRules:
      return "invalid-rules";
    case Verdict::kMalformed:
      return "malformed";
    case Verdict::kSnapshot:
      return "snapshot";
    case Verdict::kUndecided:
      return "undecided";
  }
  return "undecided";
}

void RulesHistory::SetFirstAvailable(std::int64_t first_offset) {
  if (first_offset <= next_) {
    return;
  }
  gap_free_ = false;
  gap_end_ = first_offset;
  next_ = first_offset;
  pending_.clear();
}

Verdict RulesHistory::Replay(std::int64_t offset, std::string_view record) {
  next_ = offset + 1;
  auto decoded = DecodeRulesRecord(record);
  Verdict verdict = Verdict::kMalformed;
  if (decoded.ok() && std::holds_alternative<RulesSnapshot>(*decoded)) {
    verdict = ApplySnapshot(offset, std::get<RulesSnapshot>(*decoded));
  } else if (decoded.ok()) {
    verdict = EvaluateProposal(offset, std::get<RulesProposal>(*decoded));
  } else {
    AppendEvaluated({.offset = offset, .in_force = current_->offset});
  }
  if (gap_free_) {
    applied_end_ = next_;
  }
  return verdict;
}

Verdict RulesHistory::EvaluateProposal(std::int64_t offset, const RulesProposal& proposal) {
  if (!gap_free_ && proposal.base != kAnyBase) {
    if (pending_.size() == kMaxPending) {
      gap_end_ = pending_.front().offset + 1;
      pending_.erase(pending_.begin());
    }
    pending_.push_back({.offset = offset, .proposal = proposal});
    return Verdict::kUndecided;
  }
  Verdict verdict = Verdict::kStaleBase;
  if (proposal.base == current_->offset || proposal.base == kAnyBase) {
    auto configuration = ParseConfiguration(offset, proposal.text);
    verdict = configuration == nullptr ? Verdict::kInvalidRules : Verdict::kAccepted;
    if (configuration != nullptr) {
      current_ = std::move(configuration);
      gap_free_ = true;
      pending_.clear();
    }
  }
  AppendEvaluated({.offset = offset,
                   .verdict = verdict,
                   .base = proposal.base,
                   .nonce = proposal.nonce,
                   .in_force = current_->offset});
  return verdict;
}

Verdict RulesHistory::ApplySnapshot(std::int64_t offset, const RulesSnapshot& snapshot) {
  const bool offsets_valid = snapshot.offset >= 0 && snapshot.offset < snapshot.applied_end &&
                             snapshot.applied_end <= offset;
  if (!offsets_valid) {
    return Verdict::kMalformed;
  }
  if (gap_free_) {
    last_snapshot_ = offset;
    return Verdict::kSnapshot;
  }
  if (snapshot.applied_end < gap_end_ || snapshot.offset < current_->offset) {
    return Verdict::kSnapshot;
  }
  auto configuration = ParseConfiguration(snapshot.offset, snapshot.text);
  if (configuration == nullptr) {
    return Verdict::kMalformed;
  }
  current_ = std::move(configuration);
  last_snapshot_ = offset;
  EvaluatePending(snapshot.applied_end);
  return Verdict::kSnapshot;
}

bool RulesHistory::Adopt(const std::shared_ptr<const Configuration>& configuration,
                         std::int64_t applied_end) {
  const bool offsets_valid =
      configuration->offset < applied_end || configuration->offset == kNoBase;
  if (!offsets_valid || applied_end <= applied_end_ || configuration->offset < current_->offset) {
    return false;
  }
  if (configuration->offset > current_->offset) {
    current_ = configuration;
  }
  if (gap_free_ || applied_end >= next_) {
    next_ = std::max(next_, applied_end);
    applied_end_ = applied_end;
    gap_free_ = true;
    pending_.clear();
  } else if (applied_end >= gap_end_) {
    EvaluatePending(applied_end);
    applied_end_ = next_;
  } else {
    applied_end_ = applied_end;
  }
  return true;
}

void RulesHistory::EvaluatePending(std::int64_t applied_end) {
  gap_free_ = true;
  const auto pending = std::exchange(pending_, {});
  for (const auto& [offset, proposal] : pending) {
    if (offset >= applied_end) {
      EvaluateProposal(offset, proposal);
    }
  }
}

void RulesHistory::AppendEvaluated(EvaluatedRecord record) {
  if (evaluated_.size() == kMaxEvaluated) {
    evaluated_.erase(evaluated_.begin());
  }
  evaluated_.push_back(std::move(record));
}

}  // namespace lagoonwind
