#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <mutex>
#include <nlohmann/json.hpp>

#include "lagoonwind/limits.h"
#include "lagoonwind/platform.h"

namespace lagoonwind::platform {
namespace {

using http::asio::awaitable;
using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotModified = 304;

absl::Status ToStatus(const http::Response& response) {
  return absl::AbortedError(absl::StrCat("the platform returned status ", response.status));
}

/// Client of the log's HTTP interface.
class HttpLogService final : public LogService {
 public:
  explicit HttpLogService(std::string address) : address_(std::move(address)) {}

  awaitable<absl::StatusOr<std::int64_t>> Append(std::string stream,
                                                 std::vector<std::string> records) override {
    http::Request request{.method = "POST",
                          .target = absl::StrCat("/streams/", stream, "/records"),
                          .content_type = "application/json",
                          .body = json{{"records", records}}.dump()};
    const auto response =
        co_await http::Fetch(address_, std::move(request), limits::kPlatformTimeout);
    if (!response.ok()) {
      co_return response.status();
    }
    if (response->status != kOk) {
      co_return ToStatus(*response);
    }
    const json body = json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.value("offset", json()).is_number_integer()) {
      co_return absl::DataLossError("the log returned a malformed response");
    }
    co_return body["offset"].get<std::int64_t>();
  }

  awaitable<absl::StatusOr<LogPage>> Read(std::string stream, std::int64_t from) override {
    http::Request request{.target = absl::StrCat("/streams/", stream, "/records?from=", from,
                                                 "&max=", limits::kMaxLogReadRecords)};
    const auto response =
        co_await http::Fetch(address_, std::move(request), limits::kPlatformTimeout);
    if (!response.ok()) {
      co_return response.status();
    }
    if (response->status != kOk) {
      co_return ToStatus(*response);
    }
    co_return Parse(response->body);
  }

 private:
  static absl::StatusOr<LogPage> Parse(const std::string& text) {
    try {
      const json body = json::parse(text);
      LogPage read{.first_offset = body.at("first"), .next_offset = body.at("next")};
      std::ranges::transform(
          body.at("records"), std::back_inserter(read.records), [](const json& record) {
            return LogRecord{.offset = record.at("offset"), .data = record.at("data")};
          });
      return read;
    } catch (const json::exception& error) {
      return absl::DataLossError(error.what());
    }
  }

  std::string address_;
};

/// Client of the host list's HTTP interface. Caches the last list and revalidates it by its ETag.
class HttpHostList final : public HostList {
 public:
  explicit HttpHostList(std::string address) : address_(std::move(address)) {}

  awaitable<absl::StatusOr<std::vector<policy::Member>>> Read() override {
    http::Request request{.target = "/hosts"};
    std::vector<policy::Member> cached;
    {
      const std::scoped_lock lock(mutex_);
      cached = members_;
      if (!etag_.empty()) {
        request.fields.push_back({.name = "If-None-Match", .value = etag_});
      }
    }
    const auto response =
        co_await http::Fetch(address_, std::move(request), limits::kPlatformTimeout);
    if (!response.ok()) {
      co_return response.status();
    }
    if (response->status == kNotModified) {
      co_return cached;
    }
    if (response->status != kOk) {
      co_return ToStatus(*response);
    }
    auto members = Parse(response->body);
    if (members.ok()) {
      const std::scoped_lock lock(mutex_);
      etag_ = std::string(http::FindField(response->fields, "ETag"));
      members_ = *members;
    }
    co_return members;
  }

 private:
  static absl::StatusOr<std::vector<policy::Member>> Parse(const std::string& text) {
    try {
      std::vector<policy::Member> members;
      std::ranges::transform(json::parse(text).at("hosts"), std::back_inserter(members), ToMember);
      return members;
    } catch (const json::exception& error) {
      return absl::DataLossError(error.what());
    }
  }

  static policy::Member ToMember(const json& host) {
    const std::string name = host.at("name");
    const std::string zone = host.at("zone");
    const bool is_entry = host.at("role").get<std::string>() == "entry";
    return policy::Member{.id = HandleOf<MemberId>(name),
                          .name = name,
                          .role = is_entry ? policy::Role::kEntry : policy::Role::kAgent,
                          .zone = HandleOf<ZoneId>(zone),
                          .address = host.at("address"),
                          .leaving = host.at("leaving")};
  }

  std::string address_;
  std::mutex mutex_;
  /// ETag and content of the last complete response.
  std::string etag_;
  std::vector<policy::Member> members_;
};

}  // namespace

std::unique_ptr<LogService> MakeHttpLogService(std::string address) {
  return std::make_unique<HttpLogService>(std::move(address));
}

std::unique_ptr<HostList> MakeHttpHostList(std::string address) {
  return std::make_unique<HttpHostList>(std::move(address));
}

}  // namespace lagoonwind::platform
