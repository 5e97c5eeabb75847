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
/// Fraction of the capacity above which token generation slows down, and the slowdown added per
/// further multiple of the capacity; at full capacity, a token takes 1.6 times as long.
constexpr double kSlowdownThreshold = 0.6;
constexpr double kSlowdownSlope = 1.5;
constexpr std::string_view kCrashPrompt = "crash-the-engine";

/// Text of one token. It depends on the prompt, so that a response delivered to the wrong request
/// is detected.
std::string TokenText(std::size_t prompt_hash, int index) {
  constexpr std::size_t kHashModulus = 100'000;
  return absl::StrCat("t", prompt_hash % kHashModulus, ".", index, " ");
}

class Engine final : public StandIn {
 public:
  explicit Engine(EngineOptions options) : options_(std::move(options)) { BeginIncarnation(); }

 protected:
  asio::awaitable<http::Response> Respond(http::Request request) override {
    if (request.target == "/standin/runs") {
      json body = executions_.ToJson();
      body["crashes"] = crashes_.load();
      co_return JsonResponse(200, body);
    }
    if (request.target == "/health") {
      co_return JsonResponse(
          200, {{"instance", absl::StrCat("engine-", started_at_.load(), "-", incarnation_.load())},
                {"targets", options_.models},
                {"running", running_.load()}});
    }
    const json body = json::parse(request.body, nullptr, false);
    if (request.target != "/v1/chat/completions" || !body.is_object()) {
      co_return JsonResponse(404, {{"error", "no such page"}});
    }
    co_return co_await Complete(request, body);
  }

  /// Handles the additional faults of an engine: `cold` starts the warm-up anew; `crash` crashes
  /// the engine.
  void OnFaultsChanged(const json& body) override {
    if (body.is_object() && body.value("cold", false)) {
      warm_up_started_at_ = Clock::now().time_since_epoch().count();
    }
    if (body.is_object() && body.value("crash", false)) {
      Crash();
    }
  }

 private:
  /// Progress of one completion request.
  struct Generation {
    std::uint64_t incarnation = 0;
    std::size_t execution = 0;
    std::size_t prompt_hash = 0;
    int token_count = 0;
    int next_token = 0;
  };

  /// Starts a new incarnation, cold and without running requests; generations of the previous one
  /// fail at their next token.
  void BeginIncarnation() {
    ++incarnation_;
    running_ = 0;
    const auto now = Clock::now().time_since_epoch().count();
    started_at_ = now;
    warm_up_started_at_ = now;
  }

  void Crash() {
    ++crashes_;
    BeginIncarnation();
  }

  [[nodiscard]] std::uint32_t Capacity() const {
    const Clock::time_point warm_up_start{Clock::duration(warm_up_started_at_.load())};
    const std::chrono::duration<double> warm_time = Clock::now() - warm_up_start;
    const std::chrono::duration<double> warm_up = options_.warm_up;
    const double warm_fraction =
        warm_up.count() <= 0 ? 1 : std::min(1.0, warm_time.count() / warm_up.count());
    const double added_capacity = warm_fraction * (options_.capacity - options_.cold_capacity);
    return options_.cold_capacity + static_cast<std::uint32_t>(added_capacity);
  }

  /// Factor by which the time per token grows with the load; 1 up to the threshold.
  [[nodiscard]] double Slowdown() const {
    const double load = static_cast<double>(running_) / std::max(Capacity(), 1U);
    return load <= kSlowdownThreshold ? 1 : 1 + kSlowdownSlope * (load - kSlowdownThreshold);
  }

  asio::awaitable<http::Response> Complete(const http::Request& request, const json& body) {
    const std::size_t execution = executions_.Start(request);
    if (++running_ > Capacity() || request.body.find(kCrashPrompt) != std::string::npos) {
      Crash();
    }
    auto generation = std::make_shared<Generation>(
        Generation{.incarnation = incarnation_,
                   .execution = execution,
                   .prompt_hash = std::hash<std::string>{}(body.value("messages", json()).dump()),
                   .token_count = body.value("max_tokens", kDefaultMaxTokens)});
    if (!body.value("stream", false)) {
      co_return co_await CompleteWithoutStreaming(*generation);
    }
    http::Response response{.status = 200, .content_type = "text/event-stream"};
    auto* engine = this;
    response.next_chunk = [engine, generation] { return engine->NextEvent(generation); };
    co_return response;
  }

  asio::awaitable<absl::StatusOr<std::string>> NextToken(Generation& generation) {
    const std::chrono::duration<double> token_interval(Slowdown() / options_.tokens_per_second);
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::duration_cast<Clock::duration>(token_interval));
    co_await timer.async_wait(asio::use_awaitable);
    if (generation.incarnation != incarnation_) {
      co_return absl::AbortedError("the engine crashed");
    }
    co_return TokenText(generation.prompt_hash, generation.next_token++);
  }

  void Finish(const Generation& generation) {
    executions_.Finish(generation.execution);
    if (generation.incarnation == incarnation_) {
      --running_;
    }
  }

  asio::awaitable<absl::StatusOr<std::string>> NextEvent(std::shared_ptr<Generation> generation) {
    if (generation->next_token > generation->token_count) {
      co_return "";
    }
    if (generation->next_token == generation->token_count) {
      ++generation->next_token;
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

  asio::awaitable<http::Response> CompleteWithoutStreaming(Generation generation) {
    std::string text;
    while (generation.next_token < generation.token_count) {
      const auto token = co_await NextToken(generation);
      if (!token.ok()) {
        http::Response interrupted{.status = 200, .content_type = "application/json"};
        interrupted.next_chunk = []() -> asio::awaitable<absl::StatusOr<std::string>> {
          co_return absl::AbortedError("the engine crashed");
        };
        co_return interrupted;
      }
      text += *token;
    }
    Finish(generation);
    const json message{{"role", "assistant"}, {"content", text}};
    co_return JsonResponse(200, {{"choices", {{{"index", 0}, {"message", message}}}},
                                 {"usage", {{"completion_tokens", generation.token_count}}}});
  }

  EngineOptions options_;
  ExecutionLog executions_;
  std::atomic<std::uint64_t> incarnation_{0};
  std::atomic<std::uint32_t> running_{0};
  std::atomic<std::uint32_t> crashes_{0};
  std::atomic<Clock::rep> started_at_{0};
  std::atomic<Clock::rep> warm_up_started_at_{0};
};

}  // namespace

std::unique_ptr<StandIn> MakeEngine(const EngineOptions& options) {
  return std::make_unique<Engine>(options);
}

}  // namespace lagoonwind::standins
