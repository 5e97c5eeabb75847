#include "standin.h"

#include <chrono>

namespace lagoonwind::standins {
namespace {

namespace asio = http::asio;
using nlohmann::json;

std::int64_t UnixMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace

Faults ParseFaults(const std::string& body) {
  const json faults = json::parse(body, nullptr, false);
  if (!faults.is_object()) {
    return {};
  }
  return Faults{.refuse = faults.value("refuse", false),
                .delay = std::chrono::milliseconds(faults.value("hang_ms", 0)),
                .lose_responses = faults.value("lose_answers", 0)};
}

http::Response JsonResponse(unsigned status, const json& body) {
  return http::Response{.status = status, .content_type = "application/json", .body = body.dump()};
}

http::Response LostResponse() {
  http::Response response{.status = 200, .content_type = "text/plain"};
  response.next_chunk = []() -> asio::awaitable<absl::StatusOr<std::string>> {
    co_return absl::AbortedError("the answer is lost");
  };
  return response;
}

void StandIn::OnFaultsChanged(const json& /*body*/) {}

asio::awaitable<http::Response> StandIn::Handle(http::Request request) {
  if (request.target == "/standin/fault") {
    {
      const std::scoped_lock lock(mutex_);
      faults_ = ParseFaults(request.body);
    }
    OnFaultsChanged(json::parse(request.body, nullptr, false));
    co_return JsonResponse(200, json::object());
  }
  if (request.target.starts_with("/standin/")) {
    co_return co_await Respond(std::move(request));
  }
  Faults faults;
  {
    const std::scoped_lock lock(mutex_);
    faults = faults_;
    if (faults_.lose_responses > 0) {
      --faults_.lose_responses;
    }
  }
  if (faults.refuse) {
    co_return JsonResponse(503, {{"error", "refused by a fault"}});
  }
  if (faults.delay.count() > 0) {
    asio::steady_timer timer(co_await asio::this_coro::executor, faults.delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  http::Response response = co_await Respond(std::move(request));
  if (faults.lose_responses > 0) {
    co_return LostResponse();
  }
  co_return response;
}

std::size_t ExecutionLog::Start(const http::Request& request) {
  const std::scoped_lock lock(mutex_);
  executions_.push_back(
      ExecutionRecord{.id = std::string(http::FindField(request.fields, "X-Request-Id")),
                      .customer = std::string(http::FindField(request.fields, "X-Customer")),
                      .key = std::string(http::FindField(request.fields, "Idempotency-Key")),
                      .started = UnixMicroseconds()});
  return executions_.size() - 1;
}

void ExecutionLog::Finish(std::size_t execution) {
  const std::scoped_lock lock(mutex_);
  executions_[execution].finished = UnixMicroseconds();
}

json ExecutionLog::ToJson() const {
  const std::scoped_lock lock(mutex_);
  json list = json::array();
  for (const auto& execution : executions_) {
    list.push_back({{"id", execution.id},
                    {"customer", execution.customer},
                    {"key", execution.key},
                    {"started", execution.started},
                    {"finished", execution.finished ? json(*execution.finished) : json()}});
  }
  return json{{"runs", list}};
}

}  // namespace lagoonwind::standins
