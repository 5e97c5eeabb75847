#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "standin.h"

namespace lagoonwind::standins {
namespace {

namespace asio = http::asio;
using nlohmann::json;

constexpr std::string_view kStreamsPath = "/streams/";

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
  asio::awaitable<http::Response> Respond(http::Request request) override {
    const std::scoped_lock lock(mutex_);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/hosts" && request.method == "POST") {
      hosts_ = json::parse(request.body).at("hosts");
      co_return JsonResponse(200, json::object());
    }
    if (path == "/hosts") {
      const std::string etag = absl::StrCat("\"", std::hash<std::string>{}(hosts_.dump()), "\"");
      const bool unchanged = http::FindField(request.fields, "If-None-Match") == etag;
      http::Response response =
          unchanged ? http::Response{.status = 304} : JsonResponse(200, {{"hosts", hosts_}});
      response.fields.push_back({.name = "ETag", .value = etag});
      co_return response;
    }
    if (path == "/standin/runs") {
      co_return JsonResponse(200, {{"runs", json::array()}});
    }
    if (path == "/standin/counters") {
      co_return JsonResponse(200, {{"reads", reads_}, {"appends", appends_}});
    }
    if (!path.starts_with(kStreamsPath)) {
      co_return JsonResponse(404, {{"error", "no such page"}});
    }
    if (log_unavailable_) {
      co_return JsonResponse(503, {{"error", "the log is down"}});
    }
    const std::string stream_path = path.substr(kStreamsPath.size());
    Stream& stream = streams_[stream_path.substr(0, stream_path.find('/'))];
    if (request.method != "POST") {
      ++reads_;
      co_return Read(stream, request);
    }
    ++appends_;
    http::Response response = Append(stream, request);
    co_return lost_append_responses_-- > 0 ? LostResponse() : response;
  }

  /// Handles the additional faults of the platform: `refuse_log` refuses requests to the log but
  /// not to the host list; `lose_appends` drops the responses to that many appends, which are
  /// stored.
  void OnFaultsChanged(const json& body) override {
    const std::scoped_lock lock(mutex_);
    log_unavailable_ = body.is_object() && body.value("refuse_log", false);
    lost_append_responses_ = body.is_object() ? body.value("lose_appends", 0) : 0;
  }

 private:
  http::Response Append(Stream& stream, const http::Request& request) const {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("records")) {
      return JsonResponse(400, {{"error", "no records"}});
    }
    const std::int64_t offset = stream.next();
    for (const auto& record : body["records"]) {
      stream.records.push_back(record.get<std::string>());
    }
    while (stream.records.size() > options_.max_records_per_stream) {
      stream.records.pop_front();
      ++stream.first;
    }
    return JsonResponse(200, {{"offset", offset}});
  }

  static http::Response Read(const Stream& stream, const http::Request& request) {
    std::int64_t from = 0;
    std::int64_t max_count = 0;
    if (!absl::SimpleAtoi(http::QueryParameter(request.target, "from"), &from) ||
        !absl::SimpleAtoi(http::QueryParameter(request.target, "max"), &max_count)) {
      return JsonResponse(400, {{"error", "from and max are numbers"}});
    }
    json records = json::array();
    for (std::int64_t i = std::max(from, stream.first); i < stream.next() && max_count > 0;
         ++i, --max_count) {
      const auto index = static_cast<std::size_t>(i - stream.first);
      records.push_back({{"offset", i}, {"data", stream.records[index]}});
    }
    return JsonResponse(200,
                        {{"first", stream.first}, {"next", stream.next()}, {"records", records}});
  }

  PlatformOptions options_;
  std::mutex mutex_;
  std::map<std::string, Stream> streams_;
  json hosts_ = json::array();
  bool log_unavailable_ = false;
  int lost_append_responses_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t appends_ = 0;
};

}  // namespace

std::unique_ptr<StandIn> MakePlatform(const PlatformOptions& options) {
  return std::make_unique<Platform>(options);
}

}  // namespace lagoonwind::standins
