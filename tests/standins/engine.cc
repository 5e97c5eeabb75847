#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>

#include "standin.h"

namespace lagoonwind::standins {
namespace {

namespace asio = http::asio;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kDefaultMaxTokens = 16;
/// Load, as a part of the bearing, above which tokens slow down, and by how much for each further
/// whole bearing; at the bearing they take 1.6 times as long.
constexpr double kKnee = 0.6;
constexpr double kSlope = 1.5;
constexpr std::string_view kCrashText = "crash-the-engine";

/// Text of one token; depends on the prompt so that crossed answers show.
std::string TokenText(std::size_t prompt_hash, int index) {
  constexpr std::size_t kMark = 100'000;
  return absl::StrCat("t", prompt_hash % kMark, ".", index, " ");
}

class Engine final : public StandIn {
 public:
  explicit Engine(EngineOptions options) : options_(std::move(options)) { Restart(); }

 protected:
  asio::awaitable<http::Response> Answer(http::Request request) override {
    if (request.target == "/standin/runs") {
      json body = runs_.ToJson();
      body["crashes"] = crashes_.load();
      co_return Json(200, body);
    }
    if (request.target == "/health") {
      co_return Json(200,
                     {{"instance", absl::StrCat("engine-", started_at_.load(), "-", epoch_.load())},
                      {"targets", options_.models},
                      {"running", running_.load()}});
    }
    const json body = json::parse(request.body, nullptr, false);
    if (request.target != "/v1/chat/completions" || !body.is_object()) {
      co_return Json(404, {{"error", "no such page"}});
    }
    co_return co_await Complete(request, body);
  }

  void OnFault(const json& body) override {
    if (body.is_object() && body.value("cold", false)) {
      warm_since_ = Clock::now().time_since_epoch().count();
    }
    if (body.is_object() && body.value("crash", false)) {
      Crash();
    }
  }

 private:
  /// One generation in progress.
  struct Generation {
    std::uint64_t epoch = 0;
    std::size_t run = 0;
    std::size_t prompt_hash = 0;
    int length = 0;
    int next = 0;
  };

  void Restart() {
    ++epoch_;
    running_ = 0;
    const auto now = Clock::now().time_since_epoch().count();
    started_at_ = now;
    warm_since_ = now;
  }

  void Crash() {
    ++crashes_;
    Restart();
  }

  [[nodiscard]] std::uint32_t Bearing() const {
    const Clock::time_point since{Clock::duration(warm_since_.load())};
    const std::chrono::duration<double> warm = Clock::now() - since;
    const std::chrono::duration<double> whole = options_.warm_up;
    const double part = whole.count() <= 0 ? 1 : std::min(1.0, warm.count() / whole.count());
    const double grown = part * (options_.bears - options_.cold_bears);
    return options_.cold_bears + static_cast<std::uint32_t>(grown);
  }

  /// Factor by which tokens slow down as the load nears the bearing.
  [[nodiscard]] double Slowdown() const {
    const double load = static_cast<double>(running_) / std::max(Bearing(), 1U);
    return load <= kKnee ? 1 : 1 + kSlope * (load - kKnee);
  }

  asio::awaitable<http::Response> Complete(const http::Request& request, const json& body) {
    const std::size_t run = runs_.Start(request);
    if (++running_ > Bearing() || request.body.find(kCrashText) != std::string::npos) {
      Crash();
    }
    auto generation = std::make_shared<Generation>(
        Generation{.epoch = epoch_,
                   .run = run,
                   .prompt_hash = std::hash<std::string>{}(body.value("messages", json()).dump()),
                   .length = body.value("max_tokens", kDefaultMaxTokens)});
    if (!body.value("stream", false)) {
      co_return co_await WholeAnswer(*generation);
    }
    http::Response response{.status = 200, .content_type = "text/event-stream"};
    auto* executor_owner = this;
    response.next_chunk = [executor_owner, generation] {
      return executor_owner->NextEvent(generation);
    };
    co_return response;
  }

  asio::awaitable<absl::StatusOr<std::string>> NextToken(Generation& generation) {
    const std::chrono::duration<double> pause(Slowdown() / options_.rate);
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::duration_cast<Clock::duration>(pause));
    co_await timer.async_wait(asio::use_awaitable);
    if (generation.epoch != epoch_) {
      co_return absl::AbortedError("the engine crashed");
    }
    co_return TokenText(generation.prompt_hash, generation.next++);
  }

  void Finish(const Generation& generation) {
    runs_.Finish(generation.run);
    if (generation.epoch == epoch_) {
      --running_;
    }
  }

  asio::awaitable<absl::StatusOr<std::string>> NextEvent(std::shared_ptr<Generation> generation) {
    if (generation->next > generation->length) {
      co_return "";
    }
    if (generation->next == generation->length) {
      ++generation->next;
      Finish(*generation);
      co_return "data: [DONE]\n\n";
    }
    const auto token = co_await NextToken(*generation);
    if (!token.ok()) {
      co_return token.status();
    }
    const json event{{"choices", {{{"index", 0}, {"delta", {{"content", *token}}}}}}};
    co_return absl::StrCat("data: ", event.dump(), "\n\n");
  }

  asio::awaitable<http::Response> WholeAnswer(Generation generation) {
    std::string text;
    while (generation.next < generation.length) {
      const auto token = co_await NextToken(generation);
      if (!token.ok()) {
        http::Response broken{.status = 200, .content_type = "application/json"};
        broken.next_chunk = []() -> asio::awaitable<absl::StatusOr<std::string>> {
          co_return absl::AbortedError("the engine crashed");
        };
        co_return broken;
      }
      text += *token;
    }
    Finish(generation);
    const json message{{"role", "assistant"}, {"content", text}};
    co_return Json(200, {{"choices", {{{"index", 0}, {"message", message}}}},
                         {"usage", {{"completion_tokens", generation.length}}}});
  }

  EngineOptions options_;
  RunList runs_;
  std::atomic<std::uint64_t> epoch_{0};
  std::atomic<std::uint32_t> running_{0};
  std::atomic<std::uint32_t> crashes_{0};
  std::atomic<Clock::rep> started_at_{0};
  std::atomic<Clock::rep> warm_since_{0};
};

}  // namespace

std::unique_ptr<StandIn> MakeEngine(const EngineOptions& options) {
  return std::make_unique<Engine>(options);
}

}  // namespace lagoonwind::standins
