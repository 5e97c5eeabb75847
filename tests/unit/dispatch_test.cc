#include "lagoonwind/dispatch.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <vector>

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr CustomerId kLight{1};
constexpr CustomerId kHeavy{2};

Time At(int ms) { return Time{seconds(100)} + milliseconds(ms); }

/// A fleet of engines and the state that decisions depend on.
struct Fleet {
  explicit Fleet(int engines) {
    for (int i = 0; i < engines; ++i) {
      candidates.push_back({.server = ServerId{static_cast<std::uint64_t>(i + 1)},
                            .concurrency_limit = 64,
                            .kv_cache_tokens = 260000});
    }
    outstanding.assign(candidates.size(), 0);
  }

  DispatchDecision Decide(const DispatchRequest& request, Time now, std::uint64_t seed = 1) {
    return dispatcher.Decide(request, candidates, outstanding, seed, now);
  }

  EngineLoad load{EngineLoadOptions{.prefill_rate = 50000}};
  CustomerShare share{seconds(4)};
  ServerHealth health;
  ColdStartLimiter cold;
  Dispatcher dispatcher{load, share, health, cold};
  std::vector<Candidate> candidates;
  std::vector<int> outstanding;
  std::vector<std::pair<ServerId, EngineLoad::RequestNumber>> sent;
};

Prompt PromptOf(std::uint64_t shared, std::int64_t shared_tokens, std::uint64_t own,
                std::int64_t own_tokens, std::int64_t output = 50) {
  return {.input_tokens = shared_tokens + own_tokens,
          .max_output_tokens = output,
          .segments = {{.id = shared, .tokens = shared_tokens}, {.id = own, .tokens = own_tokens}}};
}

DispatchRequest RequestOf(CustomerId customer, const Prompt& prompt) {
  return {.customer = customer,
          .prompt = &prompt,
          .objective = milliseconds(600),
          .time_left = seconds(5),
          .timeout = seconds(5)};
}

/// Sends requests of one customer until one is refused. Returns the number sent.
int SendUntilRefused(Fleet& fleet, CustomerId customer, Time now, std::int64_t output = 50,
                     std::int64_t tokens = 3000) {
  int sent = 0;
  for (std::uint64_t i = 0; i < 10000; ++i) {
    const Prompt prompt = PromptOf(100 + i, 0, 20000 + i, tokens, output);
    const DispatchDecision decision = fleet.Decide(RequestOf(customer, prompt), now);
    fleet.share.RecordRequested(customer, prompt.input_tokens, now);
    if (decision.verdict != DispatchVerdict::kSend) {
      return sent;
    }
    fleet.share.RecordAdmitted(customer, prompt.input_tokens, now);
    fleet.sent.emplace_back(decision.server, fleet.load.RecordSent(decision.server, prompt, now));
    ++sent;
  }
  return sent;
}

}  // namespace

TEST_CASE("a burst is spread over engines, and refused once responses would begin too late") {
  Fleet fleet(3);
  const int sent = SendUntilRefused(fleet, kLight, At(0));
  // Each engine accepts what it can prefill within the objective: at most 600 ms at 50 tokens per
  // ms.
  CHECK(sent >= 3 * 3);
  CHECK(sent * 3000 <= 3 * 600 * 50);
  const Prompt prompt = PromptOf(1, 0, 2, 3000);
  const DispatchDecision refused = fleet.Decide(RequestOf(kLight, prompt), At(0));
  CHECK(refused.verdict != DispatchVerdict::kSend);
  CHECK(refused.retry_after >= milliseconds(300));
  // Requests are accepted again once the engines have prefilled the burst.
  for (const auto& [server, number] : fleet.sent) {
    fleet.load.RecordFirstByte(server, number, At(600));
  }
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(1000)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("a large prompt is not refused for its own prefill time") {
  Fleet fleet(1);
  const Prompt large = PromptOf(1, 0, 2, 39000);
  CHECK(fleet.Decide(RequestOf(kLight, large), At(0)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("a heavy customer leaves capacity to those below their fair share") {
  Fleet fleet(3);
  // The light customer has used little; the heavy one requests all capacity.
  const Prompt small = PromptOf(1, 0, 2, 500);
  fleet.share.RecordRequested(kLight, 500, At(0));
  fleet.share.RecordAdmitted(kLight, 500, At(0));
  CHECK(SendUntilRefused(fleet, kHeavy, At(0)) > 0);
  const DispatchDecision light = fleet.Decide(RequestOf(kLight, small), At(10));
  CHECK(light.verdict == DispatchVerdict::kSend);
}

TEST_CASE("a heavy customer's long responses leave slots to light customers") {
  Fleet fleet(2);
  fleet.share.RecordRequested(kLight, 500, At(0));
  fleet.share.RecordAdmitted(kLight, 500, At(0));
  // Tiny prompts, so that only the concurrency limit applies.
  const int sent = SendUntilRefused(fleet, kHeavy, At(0), 280, 10);
  CHECK(sent > 2 * 10);
  CHECK(sent < 2 * 50);
  const Prompt long_response = PromptOf(1, 0, 2, 10, 280);
  CHECK(fleet.Decide(RequestOf(kLight, long_response), At(500)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("long responses leave slots to short ones") {
  Fleet fleet(1);
  const int long_responses = SendUntilRefused(fleet, kLight, At(0), 280, 10);
  CHECK(long_responses < 64);
  const Prompt short_response = PromptOf(1, 0, 2, 10, 20);
  CHECK(fleet.Decide(RequestOf(kLight, short_response), At(500)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("a popular segment is prefilled once while its engine has capacity") {
  Fleet fleet(4);
  ServerId first;
  for (std::uint64_t i = 0; i < 5; ++i) {
    const Prompt prompt = PromptOf(1, 4000, 100 + i, 500);
    const auto decision = fleet.Decide(RequestOf(kLight, prompt), At(static_cast<int>(i) * 100));
    REQUIRE(decision.verdict == DispatchVerdict::kSend);
    fleet.load.RecordSent(decision.server, prompt, At(static_cast<int>(i) * 100));
    first = i == 0 ? decision.server : first;
    CHECK(decision.server == first);
  }
}

TEST_CASE("a popular segment moves to other engines before its engine misses the objective") {
  Fleet fleet(4);
  for (std::uint64_t i = 0; i < 60; ++i) {
    const Prompt prompt = PromptOf(1, 6000, 100 + i, 1500);
    const auto decision = fleet.Decide(RequestOf(kLight, prompt), At(0));
    REQUIRE(decision.verdict == DispatchVerdict::kSend);
    CHECK(decision.estimate.queueing_delay + decision.estimate.prefill_time < milliseconds(600));
    fleet.load.RecordSent(decision.server, prompt, At(0));
    if (i == 35) {
      return;
    }
  }
}

TEST_CASE(
    "a light customer's request goes to an engine with capacity if the cheapest one is full") {
  Fleet fleet(2);
  // The first engine caches the segment, and long responses occupy its slots.
  const Prompt cached_prompt = PromptOf(1, 3000, 2, 10, 280);
  const ServerId caching_engine = fleet.candidates.front().server;
  for (int i = 0; i < 64; ++i) {
    fleet.load.RecordFirstByte(
        caching_engine, fleet.load.RecordSent(caching_engine, cached_prompt, At(0)), At(100));
  }
  fleet.share.RecordRequested(kHeavy, 200000, At(100));
  fleet.share.RecordAdmitted(kHeavy, 100000, At(100));
  const DispatchDecision light = fleet.Decide(RequestOf(kLight, cached_prompt), At(200));
  CHECK(light.verdict == DispatchVerdict::kSend);
  CHECK(light.server == fleet.candidates.back().server);
  // For a customer at its fair share, the segment is not prefilled a second time.
  CHECK(fleet.Decide(RequestOf(kHeavy, cached_prompt), At(200)).verdict ==
        DispatchVerdict::kNoCapacity);
}

TEST_CASE("a segment of many requests is prefilled by several engines") {
  Fleet fleet(4);
  const Prompt prompt = PromptOf(1, 4000, 2, 10);
  const ServerId caching_engine = fleet.candidates.front().server;
  for (int i = 0; i < 40; ++i) {
    const auto sent = fleet.load.RecordSent(caching_engine, prompt, At(50 * i));
    fleet.load.RecordFirstByte(caching_engine, sent, At(50 * i + 20));
    fleet.load.RecordEnd(caching_engine, sent, At(50 * i + 40));
  }
  // 150 ms of prefill are queued at the engine that caches the segment, none elsewhere.
  fleet.load.RecordSent(caching_engine, PromptOf(7, 0, 8, 7500), At(2000));
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(2000)).server != caching_engine);
}

TEST_CASE("a segment of few requests stays on its engine while all engines are busy") {
  Fleet fleet(4);
  const Prompt prompt = PromptOf(1, 4000, 2, 10);
  const ServerId caching_engine = fleet.candidates.front().server;
  fleet.load.RecordFirstByte(caching_engine, fleet.load.RecordSent(caching_engine, prompt, At(0)),
                             At(100));
  for (const auto& candidate : fleet.candidates) {
    const std::int64_t backlog = candidate.server == caching_engine ? 20000 : 7500;
    fleet.load.RecordSent(candidate.server, PromptOf(7, 0, candidate.server.value + 10, backlog),
                          At(100));
  }
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(100)).server == caching_engine);
}

TEST_CASE("gateways without reports from each other send the same segment to the same engine") {
  Fleet first(8);
  Fleet second(8);
  for (std::uint64_t segment = 1; segment < 20; ++segment) {
    const Prompt prompt = PromptOf(segment, 4000, 999, 500);
    CHECK(first.Decide(RequestOf(kLight, prompt), At(0), 1).server ==
          second.Decide(RequestOf(kLight, prompt), At(0), 2).server);
  }
}

TEST_CASE("a request that cannot meet its deadline is refused") {
  Fleet fleet(1);
  const Prompt prompt = PromptOf(1, 0, 2, 1000, 1000);
  DispatchRequest request = RequestOf(kLight, prompt);
  request.time_left = seconds(2);
  CHECK(fleet.Decide(request, At(0)).verdict == DispatchVerdict::kCannotMeetDeadline);
}

TEST_CASE("a long response is not refused on an idle engine if the caller expects a short one") {
  Fleet fleet(1);
  Prompt prompt = PromptOf(1, 0, 2, 1000, 1000);
  DispatchRequest request = RequestOf(kLight, prompt);
  request.time_left = seconds(4);
  CHECK(fleet.Decide(request, At(0)).verdict == DispatchVerdict::kCannotMeetDeadline);
  prompt.expected_output_tokens = 280;
  CHECK(fleet.Decide(request, At(0)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("failing engines are ejected, unless there is no other") {
  Fleet fleet(2);
  const Prompt prompt = PromptOf(1, 0, 2, 1000);
  const ServerId first = fleet.Decide(RequestOf(kLight, prompt), At(0)).server;
  fleet.health.RecordFailure(first, At(0));
  fleet.health.RecordFailure(first, At(0));
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(1)).server != first);
  for (const Candidate& candidate : fleet.candidates) {
    fleet.health.RecordFailure(candidate.server, At(2));
    fleet.health.RecordFailure(candidate.server, At(2));
  }
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(3)).verdict == DispatchVerdict::kSend);
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(60000)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("a response that may have been broken off ends no ejection") {
  ServerHealth health;
  const ServerId server{.value = 1};
  constexpr int kFailures = 8;
  for (int i = 0; i < kFailures; ++i) {
    health.RecordFailure(server, At(i));
  }
  REQUIRE(health.IsEjected(server, At(kFailures)));
  health.RecordUnframedEnd(server);
  CHECK(health.IsEjected(server, At(kFailures)));
  health.RecordSuccess(server, At(kFailures));
  CHECK_FALSE(health.IsEjected(server, At(kFailures)));
  // It ends a run of consecutive failures, though.
  for (int i = 0; i < kFailures; ++i) {
    health.RecordFailure(server, At(kFailures + i));
    health.RecordUnframedEnd(server);
    CHECK_FALSE(health.IsEjected(server, At(kFailures + i)));
  }
}

TEST_CASE("a cold engine gets no more than its request rate, though it is the least loaded") {
  Fleet fleet(2);
  fleet.candidates[0].cold_rate_limit = 4;
  fleet.load.RecordSent(fleet.candidates[1].server, PromptOf(50, 0, 51, 10000), At(0));
  int to_cold = 0;
  for (int ms = 0; ms < 1000; ms += 20) {
    const Prompt prompt = PromptOf(1, 0, 1000 + static_cast<std::uint64_t>(ms), 100);
    const auto decision = fleet.Decide(RequestOf(kLight, prompt), At(ms));
    if (decision.verdict == DispatchVerdict::kSend &&
        decision.server == fleet.candidates[0].server) {
      fleet.cold.RecordSent(decision.server, At(ms));
      ++to_cold;
    }
  }
  CHECK(to_cold <= 5);
  CHECK(to_cold >= 1);
}

TEST_CASE(
    "a request to a plain service must have time left by the shorter of objective and timeout") {
  Fleet fleet(2);
  DispatchRequest request{.customer = kLight,
                          .objective = milliseconds(1000),
                          .time_left = milliseconds(390),
                          .timeout = milliseconds(400)};
  CHECK(fleet.Decide(request, At(0)).verdict == DispatchVerdict::kSend);
  request.time_left = milliseconds(20);
  CHECK(fleet.Decide(request, At(0)).verdict == DispatchVerdict::kCannotMeetDeadline);
}

TEST_CASE("requests to a plain service go to the backend server with the fewest running") {
  Fleet fleet(3);
  fleet.outstanding = {2, 0, 1};
  const DispatchRequest request{.customer = kLight,
                                .objective = milliseconds(300),
                                .time_left = seconds(1),
                                .timeout = seconds(1)};
  CHECK(fleet.Decide(request, At(0)).server == fleet.candidates[1].server);
}

TEST_CASE("a request is refused if there is no backend server") {
  Fleet fleet(0);
  const Prompt prompt = PromptOf(1, 0, 2, 1000);
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(0)).verdict == DispatchVerdict::kNoServer);
}

}  // namespace lagoonwind::policy
