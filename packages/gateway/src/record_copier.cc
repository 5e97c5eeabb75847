#include "record_copier.h"

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
const std::array<std::pair<const char*, Topic>, 2> kCopiedTopics{
    {{"operator", Topic::kOperator}, {"servers", Topic::kServers}}};

RecordPage ParsePage(const json& topic) {
  RecordPage page{.next_offset = topic.at("next_offset")};
  for (const auto& [key, value] : topic.at("records").items()) {
    page.records.push_back({.key = key, .value = value.get<std::string>()});
  }
  return page;
}

}  // namespace

std::string RecordCopier::RecordsJson() const {
  json topics;
  for (const auto& [name, topic] : kCopiedTopics) {
    topics[name] = {{"next_offset", options_.fleet.offset(topic)},
                    {"records", options_.fleet.records(topic)}};
  }
  return topics.dump(-1, ' ', false, json::error_handler_t::replace);
}

asio::awaitable<void> RecordCopier::ServeRecords() {
  const http::Handler handler = [this](http::Request request) -> asio::awaitable<http::Response> {
    if (request.target != kRecordsPath) {
      co_return http::Response{.status = 404};
    }
    co_return http::Response{
        .status = 200, .content_type = "application/json", .body = RecordsJson()};
  };
  co_await http::Serve(options_.acceptor, handler, 0);
}

asio::awaitable<absl::Status> RecordCopier::CopyFrom(std::string address) {
  http::Request request{.target = std::string(kRecordsPath)};
  const std::string endpoint = absl::StrCat(address, ":", options_.peer_port);
  const auto response = co_await http::Fetch(endpoint, std::move(request), kCopyTimeout);
  if (!response.ok()) {
    co_return response.status();
  }
  const json body = json::parse(response->body, nullptr, false);
  try {
    for (const auto& [name, topic] : kCopiedTopics) {
      options_.fleet.Apply(topic, ParsePage(body.at(name)), true, "peer", Now());
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
