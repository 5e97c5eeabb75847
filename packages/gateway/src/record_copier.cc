#include "record_copier.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "clock.h"
#include "lagoonwind/http.h"

namespace lagoonwind::gateway {
namespace {

using nlohmann::json;

/// Interval between searches for a peer with newer records.
constexpr milliseconds kCopyInterval{250};
constexpr milliseconds kCopyTimeout{1500};
constexpr std::string_view kRecordsPath = "/records";
constexpr unsigned kNotFound = 404;
const std::array<std::pair<const char*, Topic>, 2> kCopiedTopics{
    {{"operator", Topic::kOperator}, {"servers", Topic::kServers}}};

/// Decodes a topic: either all of its records, or the changes since the requested offset.
RecordPage ParsePage(const json& topic) {
  RecordPage page{.next_offset = topic.at("next_offset")};
  if (topic.contains("changes")) {
    for (const json& change : topic.at("changes")) {
      Record record{.key = change.at("key")};
      if (const auto value = change.find("value"); value != change.end()) {
        record.value = value->get<std::string>();
      }
      page.records.push_back(std::move(record));
    }
    return page;
  }
  for (const auto& [key, value] : topic.at("records").items()) {
    page.records.push_back({.key = key, .value = value.get<std::string>()});
  }
  return page;
}

json ChangesJson(const RecordPage& page) {
  json changes = json::array();
  for (const Record& record : page.records) {
    json change{{"key", record.key}};
    if (record.value) {
      change["value"] = *record.value;
    }
    changes.push_back(std::move(change));
  }
  return {{"next_offset", page.next_offset}, {"changes", std::move(changes)}};
}

}  // namespace

std::string RecordCopier::RecordsJson(std::string_view target) const {
  json topics;
  for (const auto& [name, topic] : kCopiedTopics) {
    std::int64_t from = 0;
    const std::string parameter = http::QueryParameter(target, name);
    const bool has_offset = absl::SimpleAtoi(parameter, &from);
    const auto changes = has_offset ? options_.fleet.ChangesSince(topic, from) : std::nullopt;
    topics[name] = changes ? ChangesJson(*changes)
                           : json{{"next_offset", options_.fleet.offset(topic)},
                                  {"records", options_.fleet.records(topic)}};
  }
  return topics.dump(-1, ' ', false, json::error_handler_t::replace);
}

asio::awaitable<void> RecordCopier::ServeRecords() {
  const http::Handler handler = [this](http::Request request) -> asio::awaitable<http::Response> {
    if (request.target.substr(0, request.target.find('?')) != kRecordsPath) {
      co_return http::Response{.status = kNotFound};
    }
    co_return http::Response{
        .status = 200, .content_type = "application/json", .body = RecordsJson(request.target)};
  };
  co_await http::Serve(options_.acceptor, handler, 0);
}

asio::awaitable<absl::Status> RecordCopier::CopyFrom(std::string address) {
  const std::string endpoint = absl::StrCat(address, ":", options_.peer_port);
  std::string target = std::string(kRecordsPath);
  char separator = '?';
  for (const auto& [name, topic] : kCopiedTopics) {
    absl::StrAppend(&target, std::string(1, separator), name, "=", options_.fleet.offset(topic));
    separator = '&';
  }
  http::Request request{.target = std::move(target)};
  auto response = co_await http::Fetch(endpoint, std::move(request), kCopyTimeout);
  if (response.ok() && response->status == kNotFound) {
    // An older version, which serves only all records.
    http::Request all_records{.target = std::string(kRecordsPath)};
    response = co_await http::Fetch(endpoint, std::move(all_records), kCopyTimeout);
  }
  if (!response.ok()) {
    co_return response.status();
  }
  const json body = json::parse(response->body, nullptr, false);
  try {
    for (const auto& [name, topic] : kCopiedTopics) {
      const json& page = body.at(name);
      options_.fleet.Apply(topic, ParsePage(page), page.contains("records"), "peer", Now());
    }
  } catch (const json::exception& error) {
    co_return absl::DataLossError(error.what());
  }
  co_return absl::OkStatus();
}

asio::awaitable<void> RecordCopier::CopyNewerRecords() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::string previous_newer;
  for (;;) {
    // A peer counts as newer only if it still is after one interval: normally the store sends new
    // records to all gateways within that time.
    const std::string newer = options_.find_newer_peer();
    if (!newer.empty() && !previous_newer.empty()) {
      const absl::Status copied = co_await CopyFrom(newer);
      options_.log.Write(Severity::kState, "records_copied",
                         {{"peer", newer},
                          {"outcome", copied.ToString()},
                          {"operator_offset", options_.fleet.offset(Topic::kOperator)},
                          {"servers_offset", options_.fleet.offset(Topic::kServers)}});
    }
    previous_newer = newer;
    timer.expires_after(kCopyInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace lagoonwind::gateway
