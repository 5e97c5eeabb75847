#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "standin.h"

namespace lagoonwind::standins {
namespace {

namespace asio = http::asio;
using nlohmann::json;

constexpr std::string_view kStreams = "/streams/";

struct Stream {
  std::int64_t first = 0;
  std::deque<std::string> records;

  [[nodiscard]] std::int64_t next() const {
    return first + static_cast<std::int64_t>(records.size());
  }
};

class Platform final : public StandIn {
 public:
  explicit Platform(const PlatformOptions& options) : options_(options) {}

 protected:
  asio::awaitable<http::Response> Answer(http::Request request) override {
    const std::scoped_lock lock(mutex_);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/hosts" && request.method == "POST") {
      hosts_ = json::parse(request.body).at("hosts");
      co_return Json(200, json::object());
    }
    if (path == "/hosts") {
      const std::string tag = absl::StrCat("\"", std::hash<std::string>{}(hosts_.dump()), "\"");
      const bool known = http::FindField(request.fields, "If-None-Match") == tag;
      http::Response response =
          known ? http::Response{.status = 304} : Json(200, {{"hosts", hosts_}});
      response.fields.push_back({.name = "ETag", .value = tag});
      co_return response;
    }
    if (path == "/standin/runs") {
      co_return Json(200, {{"runs", json::array()}});
    }
    if (path == "/standin/counters") {
      co_return Json(200, {{"reads", reads_}, {"appends", appends_}});
    }
    if (!path.starts_with(kStreams)) {
      co_return Json(404, {{"error", "no such page"}});
    }
    if (refuse_log_) {
      co_return Json(503, {{"error", "the log is down"}});
    }
    const std::string rest = path.substr(kStreams.size());
    Stream& stream = streams_[rest.substr(0, rest.find('/'))];
    if (request.method != "POST") {
      ++reads_;
      co_return Read(stream, request);
    }
    ++appends_;
    http::Response response = Append(stream, request);
    co_return lose_appends_-- > 0 ? LostAnswer() : response;
  }

  /// Further faults: `refuse_log` refuses the log but not the host list; `lose_appends` loses that
  /// many answers to appends.
  void OnFault(const json& body) override {
    const std::scoped_lock lock(mutex_);
    refuse_log_ = body.is_object() && body.value("refuse_log", false);
    lose_appends_ = body.is_object() ? body.value("lose_appends", 0) : 0;
  }

 private:
  http::Response Append(Stream& stream, const http::Request& request) const {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("records")) {
      return Json(400, {{"error", "no records"}});
    }
    const std::int64_t offset = stream.next();
    for (const auto& record : body["records"]) {
      stream.records.push_back(record.get<std::string>());
    }
    while (stream.records.size() > options_.retain) {
      stream.records.pop_front();
      ++stream.first;
    }
    return Json(200, {{"offset", offset}});
  }

  static http::Response Read(const Stream& stream, const http::Request& request) {
    std::int64_t from = 0;
    std::int64_t most = 0;
    if (!absl::SimpleAtoi(http::QueryParameter(request.target, "from"), &from) ||
        !absl::SimpleAtoi(http::QueryParameter(request.target, "max"), &most)) {
      return Json(400, {{"error", "from and max are numbers"}});
    }
    json records = json::array();
    for (std::int64_t i = std::max(from, stream.first); i < stream.next() && most > 0;
         ++i, --most) {
      const auto index = static_cast<std::size_t>(i - stream.first);
      records.push_back({{"offset", i}, {"data", stream.records[index]}});
    }
    return Json(200, {{"first", stream.first}, {"next", stream.next()}, {"records", records}});
  }

  PlatformOptions options_;
  std::mutex mutex_;
  std::map<std::string, Stream> streams_;
  json hosts_ = json::array();
  bool refuse_log_ = false;
  int lose_appends_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t appends_ = 0;
};

}  // namespace

std::unique_ptr<StandIn> MakePlatform(const PlatformOptions& options) {
  return std::make_unique<Platform>(options);
}

}  // namespace lagoonwind::standins
