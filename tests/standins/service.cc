#include <absl/strings/str_cat.h>

#include <atomic>

#include "standin.h"

namespace lagoonwind::standins {
namespace {

namespace asio = http::asio;
using nlohmann::json;

class Service final : public StandIn {
 public:
  explicit Service(ServiceOptions options) : options_(std::move(options)) {}

 protected:
  asio::awaitable<http::Response> Respond(http::Request request) override {
    if (request.target == "/standin/runs") {
      co_return JsonResponse(200, executions_.ToJson());
    }
    if (request.target == "/health") {
      co_return JsonResponse(200, {{"instance", absl::StrCat("service-", started_at_)},
                                   {"targets", options_.services},
                                   {"running", running_.load()}});
    }
    if (!request.target.starts_with("/services/")) {
      co_return JsonResponse(404, {{"error", "no such page"}});
    }
    const std::size_t execution = executions_.Start(request);
    ++running_;
    asio::steady_timer timer(co_await asio::this_coro::executor, options_.service_time);
    co_await timer.async_wait(asio::use_awaitable);
    --running_;
    executions_.Finish(execution);
    co_return JsonResponse(200, {{"run", execution},
                                 {"key", http::FindField(request.fields, "Idempotency-Key")},
                                 {"body", request.body}});
  }

 private:
  ServiceOptions options_;
  ExecutionLog executions_;
  std::atomic<std::uint32_t> running_{0};
  std::int64_t started_at_ = std::chrono::steady_clock::now().time_since_epoch().count();
};

}  // namespace

std::unique_ptr<StandIn> MakeService(const ServiceOptions& options) {
  return std::make_unique<Service>(options);
}

}  // namespace lagoonwind::standins
