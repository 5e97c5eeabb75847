// The store of PlatformWorld: topics of records, of which keyed ones keep the newest for each key.
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <iterator>
#include <nlohmann/json.hpp>

#include "platform_world.h"

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{10};
constexpr std::string_view kKeyedTopicPrefix = "keyed.";
constexpr std::size_t kLengthBytes = 4;

std::uint64_t ParseBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << 8U) | static_cast<unsigned char>(byte);
  }
  return value;
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
  return out;
}

http::Response JsonResponse(const json& body) {
  return {.status = 200, .content_type = "application/json", .body = body.dump()};
}

}  // namespace

http::Response PlatformWorld::Append(const std::string& topic, std::string_view records,
                                     const std::string& at) {
  if (topic == "keyed.op" || topic == "keyed.servers") {
    return {.status = 403};
  }
  const bool is_keyed = topic.starts_with(kKeyedTopicPrefix);
  std::vector<StoredRecord> parsed;
  while (!records.empty()) {
    const std::uint64_t length = ParseBigEndian(records.substr(0, kLengthBytes));
    if (records.size() < kLengthBytes || length > records.size() - kLengthBytes) {
      return {.status = 400};
    }
    std::string_view content = records.substr(kLengthBytes, length);
    records.remove_prefix(kLengthBytes + length);
    StoredRecord record{.topic = topic};
    if (is_keyed) {
      const std::size_t key_size = content.empty() ? 0 : static_cast<unsigned char>(content[0]);
      if (content.size() < 1 + key_size) {
        return {.status = 400};
      }
      record.key = std::string(content.substr(1, key_size));
      content.remove_prefix(1 + key_size);
    }
    record.value = std::string(content);
    parsed.push_back(std::move(record));
  }
  const auto offset = std::ranges::count(records_, topic, &StoredRecord::topic);
  if (!at.empty() && at != absl::StrCat(offset)) {
    http::Response response = JsonResponse({{"end", offset}});
    response.status = 412;
    return response;
  }
  const auto end = offset + std::ssize(parsed);
  std::ranges::move(parsed, std::back_inserter(records_));
  return JsonResponse({{"offset", offset}, {"end", end}});
}

http::Response PlatformWorld::ReadNewest(const std::string& topic) const {
  std::map<std::string, std::string> newest;
  std::map<std::string, std::int64_t> offsets;
  std::int64_t end = 0;
  for (const StoredRecord& record : records_) {
    if (record.topic == topic) {
      newest[record.key] = record.value;
      offsets[record.key] = end++;
    }
  }
  json items = json::array();
  for (const auto& [key, value] : newest) {
    if (!value.empty()) {
      items.push_back(
          {{"key", key}, {"value", absl::Base64Escape(value)}, {"offset", offsets[key]}});
    }
  }
  return JsonResponse({{"items", items}, {"has_more", false}, {"end", end}});
}

http::Response PlatformWorld::ReadFrom(const std::string& topic, std::int64_t from) const {
  const bool is_keyed = topic.starts_with(kKeyedTopicPrefix);
  std::string records;
  std::int64_t end = 0;
  for (const StoredRecord& record : records_) {
    if (record.topic != topic) {
      continue;
    }
    if (end++ >= from) {
      const std::string key =
          is_keyed ? std::string(1, static_cast<char>(record.key.size())) + record.key : "";
      records += BigEndian(key.size() + record.value.size(), kLengthBytes) + key + record.value;
    }
  }
  if (from > end) {
    return {.status = 410};
  }
  return {.status = 200,
          .content_type = "application/octet-stream",
          .body = BigEndian(static_cast<std::uint64_t>(end), 8) + BigEndian(0, 8) + records};
}

PlatformWorld::StoreCopy PlatformWorld::CopyStore() const {
  const std::scoped_lock lock(mutex_);
  return records_;
}

void PlatformWorld::RestoreStore(StoreCopy copy) {
  const std::scoped_lock lock(mutex_);
  records_ = std::move(copy);
  ++store_era_;
}

void PlatformWorld::HideStoreEra() {
  const std::scoped_lock lock(mutex_);
  states_era_ = false;
}

int PlatformWorld::refused_store_calls() const {
  const std::scoped_lock lock(mutex_);
  return refused_store_calls_;
}

asio::awaitable<http::Response> PlatformWorld::HandleStore(http::Request request) {
  std::optional<int> era;
  http::Response response = co_await HandleStoreCall(std::move(request), era);
  if (era) {
    response.fields.push_back({.name = "Store-Era", .value = absl::StrCat(*era)});
  }
  co_return response;
}

asio::awaitable<http::Response> PlatformWorld::HandleStoreCall(http::Request request,
                                                               std::optional<int>& era) {
  const std::string topic = http::QueryParameter(request.target, "topic");
  const std::string from = http::QueryParameter(request.target, "from");
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (int polls = 0;; ++polls) {
    {
      const std::scoped_lock lock(mutex_);
      era = states_era_ ? std::optional(store_era_) : std::nullopt;
      if (store_down_) {
        ++refused_store_calls_;
        co_return http::Response{.status = 503};
      }
      const bool reads_newest = request.target.starts_with("/api/log-newest");
      if (reads_newest && topic != held_topic_) {
        co_return ReadNewest(topic);
      }
      if (request.target.starts_with("/api/log-append")) {
        co_return Append(topic, request.body, http::QueryParameter(request.target, "at"));
      }
      if (!reads_newest) {
        auto page = ReadFrom(topic, std::stoll(from));
        constexpr std::size_t kEmptyPageBytes = 16;
        constexpr int kMaxLongPolls = 50;
        if (page.status != 200 || page.body.size() > kEmptyPageBytes || polls > kMaxLongPolls) {
          co_return page;
        }
      }
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace lagoonwind::testing
