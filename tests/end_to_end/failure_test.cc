#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "fleet.h"

namespace lagoonwind::testing {
namespace {

using nlohmann::json;

constexpr int kCallerThreads = 6;
constexpr int kKeysPerThread = 40;
constexpr int kMaxAttempts = 12;

/// Concurrent callers that book with distinct idempotency keys, retrying at the next entry, and the
/// outcomes that they were given. The public members may be read after AwaitCompletion.
class ConcurrentCallers {
 public:
  explicit ConcurrentCallers(std::vector<std::string> entry_addresses)
      : entry_addresses_(std::move(entry_addresses)) {}

  void Start() {
    for (int i = 0; i < kCallerThreads; ++i) {
      threads_.emplace_back([this, i] { BookAllKeys(i); });
    }
  }
  void AwaitCompletion() { threads_.clear(); }

  /// Waits until this many calls have ended, with whatever outcome.
  void AwaitResponses(int count) const {
    for (int count_now = response_count_.load(); count_now < count;
         count_now = response_count_.load()) {
      response_count_.wait(count_now);
    }
  }
  [[nodiscard]] int response_count() const { return response_count_; }

  /// Request ids of responses with outcome `not-run`.
  std::set<std::string> not_run_ids;
  /// Idempotency keys of bookings with outcome `complete`.
  std::set<std::string> completed_keys;
  /// Complete responses that belong to the idempotency key of another request.
  int mixed_up_responses = 0;

 private:
  void BookAllKeys(int thread_index) {
    for (int i = 0; i < kKeysPerThread; ++i) {
      const std::string key = "key-" + std::to_string(thread_index) + "-" + std::to_string(i);
      for (int attempt = 0; attempt < kMaxAttempts && !Book(thread_index + attempt, key);
           ++attempt) {
      }
    }
  }

  /// \return True if the booking is complete.
  bool Book(int entry_index, const std::string& key) {
    const auto response = FetchNow(
        entry_addresses_[static_cast<std::size_t>(entry_index) % entry_addresses_.size()],
        http::Request{
            .method = "POST",
            .target = "/services/bookings/runs",
            .content_type = "application/json",
            .fields = {{"Authorization", "Bearer token-saltline-erie"}, {"Idempotency-Key", key}},
            .body = R"({"machine": 4})"},
        std::chrono::seconds(8));
    const bool complete = response.ok() && RecordOutcome(*response, key);
    ++response_count_;
    response_count_.notify_all();
    return complete;
  }

  bool RecordOutcome(const http::Response& response, const std::string& key) {
    const auto outcome = http::FindField(response.fields, "Lagoonwind-Outcome");
    const std::scoped_lock lock(mutex_);
    if (outcome == "not-run") {
      not_run_ids.emplace(http::FindField(response.fields, "Lagoonwind-Request-Id"));
    }
    if (outcome != "complete") {
      return false;
    }
    completed_keys.insert(key);
    mixed_up_responses += json::parse(response.body).at("key") == key ? 0 : 1;
    return true;
  }

  std::vector<std::string> entry_addresses_;
  std::atomic<int> response_count_{0};
  std::mutex mutex_;
  std::vector<std::jthread> threads_;
};

/// Pauses a process until two further calls have ended, then resumes it and waits for ten more.
void PauseAndResume(Fleet& fleet, const std::string& name, const ConcurrentCallers& callers) {
  fleet.process(name).Signal(SIGSTOP);
  callers.AwaitResponses(callers.response_count() + 2);
  fleet.process(name).Signal(SIGCONT);
  callers.AwaitResponses(callers.response_count() + 10);
}

void KillAndRestart(Fleet& fleet, const std::string& name, const ConcurrentCallers& callers) {
  fleet.process(name).Kill();
  callers.AwaitResponses(callers.response_count() + 2);
  fleet.RestartDaemon(name);
  callers.AwaitResponses(callers.response_count() + 10);
}

TEST_CASE(
    "killed and paused processes: no key is executed twice, and no not-run request was executed") {
  Fleet fleet(LocalFleetOptions(LAGOONWIND_BUILD_DIR, LAGOONWIND_BUILD_DIR "/failure_test",
                                LocalRules(LAGOONWIND_SOURCE_DIR)));
  fleet.AwaitReady();
  ConcurrentCallers callers(fleet.entry_addresses());
  callers.Start();
  callers.AwaitResponses(10);
  // agent-4 and agent-5 serve bookings-1 and bookings-2.
  KillAndRestart(fleet, "agent-4", callers);
  PauseAndResume(fleet, "agent-5", callers);
  PauseAndResume(fleet, "entry-2", callers);
  KillAndRestart(fleet, "entry-1", callers);
  PauseAndResume(fleet, "bookings-1", callers);
  PauseAndResume(fleet, "platform", callers);
  callers.AwaitCompletion();

  std::map<std::string, int> executions_per_key;
  std::set<std::string> executed_ids;
  for (const std::string backend : {"bookings-1", "bookings-2"}) {
    for (const auto& execution : fleet.Executions(backend)) {
      CHECK(++executions_per_key[execution.at("key")] == 1);
      executed_ids.insert(execution.at("id"));
    }
  }
  for (const auto& id : callers.not_run_ids) {
    CHECK(!executed_ids.contains(id));
  }
  for (const auto& key : callers.completed_keys) {
    CHECK(executions_per_key.contains(key));
  }
  CHECK(callers.mixed_up_responses == 0);
  CHECK(callers.completed_keys.size() > kCallerThreads * kKeysPerThread / 2);
  MESSAGE(callers.response_count()
          << " responses, " << callers.completed_keys.size() << " keys completed of "
          << executions_per_key.size() << " executed, " << callers.not_run_ids.size()
          << " requests reported as not run");
  CHECK(fleet.Drain());
}

}  // namespace
}  // namespace lagoonwind::testing
