#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "lagoonwind/http.h"
#include "lagoonwind/users_platform.h"

namespace lagoonwind::users_platform {
namespace {

namespace asio = http::asio;
using gateway::Record;
using gateway::RecordPage;
using gateway::Topic;
using nlohmann::json;

/// A store that lists one record per page, in the order of their keys.
class PagedStore {
 public:
  struct Options {
    /// True if each response is the first page.
    bool repeats = false;
  };

  explicit PagedStore(std::map<std::string, std::string> records)
      : PagedStore(std::move(records), Options()) {}
  PagedStore(std::map<std::string, std::string> records, Options options)
      : records_(std::move(records)), options_(options) {
    (void)http::Listen(acceptor_, *http::ParseEndpoint("127.0.0.1:0"));
    const http::Handler handler = [this](http::Request request) -> asio::awaitable<http::Response> {
      co_return Respond(request);
    };
    asio::co_spawn(io_, http::Serve(acceptor_, handler, 0), asio::detached);
  }

  absl::StatusOr<RecordPage> ReadNewest() {
    const auto store = MakeRecordStore(http::FormatEndpoint(acceptor_.local_endpoint()));
    std::optional<absl::StatusOr<RecordPage>> result;
    asio::co_spawn(io_, store->ReadNewest(Topic::kServers),
                   [&](const std::exception_ptr&, absl::StatusOr<RecordPage> page) {
                     result = std::move(page);
                     io_.stop();
                   });
    io_.run();
    return *std::move(result);
  }

 private:
  http::Response Respond(const http::Request& request) {
    if (++calls_ > kMaxCalls) {
      return {.status = 503};
    }
    const bool is_first = options_.repeats || request.target.find("&after=") == std::string::npos;
    const auto next = is_first
                          ? records_.begin()
                          : records_.upper_bound(http::QueryParameter(request.target, "after"));
    json items = json::array();
    if (next != records_.end()) {
      items.push_back({{"key", next->first}, {"value", absl::Base64Escape(next->second)}});
    }
    const bool has_more = next != records_.end() && std::next(next) != records_.end();
    return {.status = 200,
            .content_type = "application/json",
            .body = json{{"items", items}, {"has_more", has_more}, {"end", 9}}.dump()};
  }

  static constexpr int kMaxCalls = 40;

  asio::io_context io_;
  http::Tcp::acceptor acceptor_{io_};
  std::map<std::string, std::string> records_;
  Options options_;
  int calls_ = 0;
};

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
  return out;
}

}  // namespace

TEST_CASE("no page of records is skipped or repeated, whatever the keys hold") {
  std::map<std::string, std::string> records;
  for (const char* key : {"", "a b", "a%7eb", "a&b", "a+b", "a=b", "a#b", "a?b", "a\r\nb", "a\tb",
                          "a\"b", "a\\b", "a/b", "a\xc3\xa9", "\x01", "b", "~"}) {
    records[key] = "value";
  }
  PagedStore store(records);
  const auto page = store.ReadNewest();
  REQUIRE(page.ok());
  REQUIRE(page->records.size() == records.size());
  auto expected = records.begin();
  for (const Record& record : page->records) {
    CHECK(record.key == (expected++)->first);
  }
  CHECK(page->next_offset == 9);
}

TEST_CASE("a store that repeats a page is not read for ever") {
  PagedStore store({{"a", "value"}, {"b", "value"}}, {.repeats = true});
  CHECK(absl::IsDataLoss(store.ReadNewest().status()));
}

TEST_CASE("a record without a valid key does not hide the records after it") {
  const std::string sound = EncodeRecord({.key = "k", .value = "v"});
  for (const std::string& content :
       {std::string(),
        std::string("\x05"
                    "abc"),
        std::string("\xff"), std::string("\0", 1), std::string("\0value", 6)}) {
    CAPTURE(content);
    const std::string odd = BigEndian(content.size(), 4) + content;
    const std::string body = absl::StrCat(BigEndian(13, 8), BigEndian(0, 8), sound, odd, sound);
    const auto page = DecodeRecordPage(body, 10);
    REQUIRE(page.ok());
    CHECK(page->next_offset == 13);
    REQUIRE(page->records.size() == 3);
    CHECK(page->records[0].key == "k");
    CHECK(page->records[1].key.empty());
    CHECK(page->records[2].key == "k");
    CHECK(page->records[2].value == "v");
  }
}

}  // namespace lagoonwind::users_platform
