// Default behaviour of the adapter's interfaces, for platforms without roll-outs.
#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {
namespace {

constexpr const char* kEndOffsetUrl = "lagoonwind/end-offset";

}  // namespace

asio::awaitable<absl::Status> RecordStore::WriteAt(Topic /*topic*/, Record /*record*/,
                                                   std::int64_t /*end*/) {
  co_return absl::UnimplementedError("the store has no conditional writes");
}

Record RecordCodec::EncodeRolloutStatus(const RolloutStatusRecord& /*status*/) const { return {}; }

absl::StatusOr<RolloutStatusRecord> RecordCodec::DecodeRolloutStatus(
    const Record& /*record*/) const {
  return absl::NotFoundError("the platform has no roll-outs");
}

void SetEndOffset(absl::Status& status, std::int64_t end) {
  status.SetPayload(kEndOffsetUrl, absl::Cord(absl::StrCat(end)));
}

std::optional<std::int64_t> EndOffsetOf(const absl::Status& status) {
  const auto payload = status.GetPayload(kEndOffsetUrl);
  if (!payload) {
    return std::nullopt;
  }
  const std::string text(*payload);
  std::int64_t end = 0;
  return absl::SimpleAtoi(text, &end) ? std::optional(end) : std::nullopt;
}

}  // namespace lagoonwind::gateway
