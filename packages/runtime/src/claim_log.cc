#include "claim_log.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <iterator>
#include <utility>

#include "lagoonwind/wire.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;

std::string StreamName(std::uint32_t stream) { return absl::StrCat("claims-", stream); }

std::int64_t UnixMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace

ClaimLog::ClaimLog(asio::io_context& io, platform::LogService& log, PolicyRunner& policy)
    : io_(io), log_(log), policy_(policy) {}

void ClaimLog::Append(const policy::AppendClaim& append) {
  {
    const std::scoped_lock lock(mutex_);
    Stream& stream = streams_.at(append.stream);
    stream.pending.push_back(append.record);
    if (std::exchange(stream.append_in_flight, true)) {
      return;
    }
  }
  asio::co_spawn(io_, RunAppends(append.stream), asio::detached);
}

void ClaimLog::Read(const policy::ReadClaims& read) {
  asio::co_spawn(io_, RunRead(read), asio::detached);
}

bool ClaimLog::idle() const {
  const std::scoped_lock lock(mutex_);
  return std::ranges::none_of(streams_, &Stream::append_in_flight);
}

asio::awaitable<void> ClaimLog::RunAppends(std::uint32_t stream) {
  for (Batch batch = TakeBatch(stream); !batch.empty(); batch = TakeBatch(stream)) {
    std::vector<std::string> records;
    std::ranges::transform(batch, std::back_inserter(records),
                           [now = UnixMicroseconds()](const policy::ClaimRecord& record) {
                             return wire::EncodeClaim(record, now);
                           });
    const auto first = co_await log_.Append(StreamName(stream), std::move(records));
    PostResults(stream, batch, first);
  }
}

ClaimLog::Batch ClaimLog::TakeBatch(std::uint32_t stream) {
  const std::scoped_lock lock(mutex_);
  auto& pending = streams_.at(stream).pending;
  const auto count = static_cast<std::ptrdiff_t>(std::min(pending.size(), limits::kMaxClaimBatch));
  Batch batch(pending.begin(), pending.begin() + count);
  pending.erase(pending.begin(), pending.begin() + count);
  streams_.at(stream).append_in_flight = !batch.empty();
  return batch;
}

void ClaimLog::PostResults(std::uint32_t stream, const Batch& batch,
                           const absl::StatusOr<std::int64_t>& first) {
  if (!first.ok()) {
    LOG(WARNING) << "event=claim_append_failed stream=" << stream << " records=" << batch.size()
                 << " reason=\"" << first.status().message() << "\"";
  }
  std::int64_t offset = first.ok() ? *first : 0;
  for (const auto& record : batch) {
    if (first.ok()) {
      policy_.Post(policy::ClaimAppended{
          .stream = stream, .nonce = record.nonce, .kind = record.kind, .offset = offset++});
    } else {
      policy_.Post(policy::ClaimAppendFailed{.stream = stream,
                                             .nonce = record.nonce,
                                             .kind = record.kind,
                                             .certain = absl::IsUnavailable(first.status())});
    }
  }
}

asio::awaitable<void> ClaimLog::RunRead(policy::ReadClaims read) {
  const auto result = co_await log_.Read(StreamName(read.stream), read.from);
  if (!result.ok()) {
    policy_.Post(policy::ClaimsReadFailed{.stream = read.stream});
    co_return;
  }
  policy::ClaimsRead event{.stream = read.stream,
                           .first_offset = result->first_offset,
                           .next_offset = result->next_offset};
  std::ranges::transform(result->records, std::back_inserter(event.records),
                         [now = UnixMicroseconds()](const platform::LogRecord& record) {
                           return wire::DecodeClaim(record.offset, record.data, now);
                         });
  policy_.Post(std::move(event));
}

}  // namespace lagoonwind::runtime
