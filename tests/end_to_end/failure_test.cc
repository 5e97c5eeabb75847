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

constexpr int kThreads = 6;
constexpr int kKeysOfThread = 40;
constexpr int kMostTries = 12;

/// What all callers were told.
class Callers {
 public:
  explicit Callers(std::vector<std::string> entries) : entries_(std::move(entries)) {}

  void Start() {
    for (int i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this, i] { Send(i); });
    }
  }
  void Join() { threads_.clear(); }

  /// Waits until so many calls have been answered, whatever the answer.
  void AwaitAnswered(int count) const {
    for (int seen = answered_.load(); seen < count; seen = answered_.load()) {
      answered_.wait(seen);
    }
  }
  [[nodiscard]] int answered() const { return answered_; }

  std::set<std::string> not_run;
  std::set<std::string> complete_keys;
  int crossed = 0;

 private:
  void Send(int thread) {
    for (int i = 0; i < kKeysOfThread; ++i) {
      const std::string key = "key-" + std::to_string(thread) + "-" + std::to_string(i);
      for (int tries = 0; tries < kMostTries && !Book(thread + tries, key); ++tries) {
      }
    }
  }

  /// \return True if the booking is complete.
  bool Book(int entry, const std::string& key) {
    const auto answer = FetchNow(
        entries_[static_cast<std::size_t>(entry) % entries_.size()],
        http::Request{
            .method = "POST",
            .target = "/services/bookings/runs",
            .content_type = "application/json",
            .fields = {{"Authorization", "Bearer token-saltline-erie"}, {"Idempotency-Key", key}},
            .body = R"({"machine": 4})"},
        std::chrono::seconds(8));
    const bool complete = answer.ok() && Note(*answer, key);
    ++answered_;
    answered_.notify_all();
    return complete;
  }

  bool Note(const http::Response& answer, const std::string& key) {
    const auto outcome = http::FindField(answer.fields, "Lagoonwind-Outcome");
    const std::scoped_lock lock(mutex_);
    if (outcome == "not-run") {
      not_run.emplace(http::FindField(answer.fields, "Lagoonwind-Request-Id"));
    }
    if (outcome != "complete") {
      return false;
    }
    complete_keys.insert(key);
    crossed += json::parse(answer.body).at("key") == key ? 0 : 1;
    return true;
  }

  std::vector<std::string> entries_;
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::vector<std::jthread> threads_;
};

/// Stops a process, lets callers go on without it, and lets it run again.
void Freeze(Fleet& fleet, const std::string& name, const Callers& callers) {
  fleet.process(name).Signal(SIGSTOP);
  callers.AwaitAnswered(callers.answered() + 2);
  fleet.process(name).Signal(SIGCONT);
  callers.AwaitAnswered(callers.answered() + 10);
}

void KillAndRestart(Fleet& fleet, const std::string& name, const Callers& callers) {
  fleet.process(name).Kill();
  callers.AwaitAnswered(callers.answered() + 2);
  fleet.RestartDaemon(name);
  callers.AwaitAnswered(callers.answered() + 10);
}

TEST_CASE("kills and freezes of real processes: no key runs twice, every not-run is true") {
  Fleet fleet(LocalFleetOptions(LAGOONWIND_BUILD_DIR, LAGOONWIND_BUILD_DIR "/failure_test",
                                LocalRules(LAGOONWIND_SOURCE_DIR)));
  fleet.AwaitReady();
  Callers callers(fleet.entry_addresses());
  callers.Start();
  callers.AwaitAnswered(10);
  // Beside bookings-1 and bookings-2 stand agent-4 and agent-5.
  KillAndRestart(fleet, "agent-4", callers);
  Freeze(fleet, "agent-5", callers);
  Freeze(fleet, "entry-2", callers);
  KillAndRestart(fleet, "entry-1", callers);
  Freeze(fleet, "bookings-1", callers);
  Freeze(fleet, "platform", callers);
  callers.Join();

  std::map<std::string, int> runs_of_key;
  std::set<std::string> ran;
  for (const std::string backend : {"bookings-1", "bookings-2"}) {
    for (const auto& run : fleet.Executions(backend)) {
      CHECK(++runs_of_key[run.at("key")] == 1);
      ran.insert(run.at("id"));
    }
  }
  for (const auto& id : callers.not_run) {
    CHECK(!ran.contains(id));
  }
  for (const auto& key : callers.complete_keys) {
    CHECK(runs_of_key.contains(key));
  }
  CHECK(callers.crossed == 0);
  CHECK(callers.complete_keys.size() > kThreads * kKeysOfThread / 2);
  MESSAGE(callers.answered() << " answers, " << callers.complete_keys.size() << " keys complete of "
                             << runs_of_key.size() << " that ran, " << callers.not_run.size()
                             << " not run");
  CHECK(fleet.Drain());
}

}  // namespace
}  // namespace lagoonwind::testing
