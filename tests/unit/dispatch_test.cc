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
constexpr CustomerId kHot{2};

Time At(int ms) { return Time{seconds(100)} + milliseconds(ms); }

/// A fleet of engines, and the models that decisions read.
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

/// Sends requests of one customer until one is refused. Returns how many were sent.
int Fill(Fleet& fleet, CustomerId customer, Time now, std::int64_t output = 50,
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

TEST_CASE("a burst is spread over engines, and refused once it would begin too late") {
  Fleet fleet(3);
  const int sent = Fill(fleet, kLight, At(0));
  // Each engine takes what it reads within the objective: at most 600 ms at 50 tokens a ms.
  CHECK(sent >= 3 * 3);
  CHECK(sent * 3000 <= 3 * 600 * 50);
  const Prompt prompt = PromptOf(1, 0, 2, 3000);
  const DispatchDecision refused = fleet.Decide(RequestOf(kLight, prompt), At(0));
  CHECK(refused.verdict != DispatchVerdict::kSend);
  CHECK(refused.retry_after >= milliseconds(300));
  // Room again once the engines have read.
  for (const auto& [server, sequence] : fleet.sent) {
    fleet.load.RecordFirstByte(server, sequence, At(600));
  }
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(1000)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("a large prompt isn't refused for its own reading time") {
  Fleet fleet(1);
  const Prompt large = PromptOf(1, 0, 2, 39000);
  CHECK(fleet.Decide(RequestOf(kLight, large), At(0)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("a hot customer leaves room for those below their share") {
  Fleet fleet(3);
  // The light customer had a little, the hot one asks for all there is.
  const Prompt small = PromptOf(1, 0, 2, 500);
  fleet.share.RecordRequested(kLight, 500, At(0));
  fleet.share.RecordAdmitted(kLight, 500, At(0));
  CHECK(Fill(fleet, kHot, At(0)) > 0);
  const DispatchDecision light = fleet.Decide(RequestOf(kLight, small), At(10));
  CHECK(light.verdict == DispatchVerdict::kSend);
}

TEST_CASE("a hot customer's long answers leave slots to light customers") {
  Fleet fleet(2);
  fleet.share.RecordRequested(kLight, 500, At(0));
  fleet.share.RecordAdmitted(kLight, 500, At(0));
  // Tiny prompts, so that only slots bind.
  const int sent = Fill(fleet, kHot, At(0), 280, 10);
  CHECK(sent > 2 * 10);
  CHECK(sent < 2 * 50);
  const Prompt feed = PromptOf(1, 0, 2, 10, 280);
  CHECK(fleet.Decide(RequestOf(kLight, feed), At(500)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("long answers leave slots to short ones") {
  Fleet fleet(1);
  const int feeds = Fill(fleet, kLight, At(0), 280, 10);
  CHECK(feeds < 64);
  const Prompt plan = PromptOf(1, 0, 2, 10, 20);
  CHECK(fleet.Decide(RequestOf(kLight, plan), At(500)).verdict == DispatchVerdict::kSend);
}

TEST_CASE("a hot part of prompts is read once while its engine has room") {
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

TEST_CASE("a hot part of prompts moves before its engine answers late") {
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

TEST_CASE("a light customer whose cheapest engine is full goes to one with room") {
  Fleet fleet(2);
  // The first engine keeps the part, and its slots are taken by long answers.
  const Prompt kept = PromptOf(1, 3000, 2, 10, 280);
  const ServerId holder = fleet.candidates.front().server;
  for (int i = 0; i < 64; ++i) {
    fleet.load.RecordFirstByte(holder, fleet.load.RecordSent(holder, kept, At(0)), At(100));
  }
  fleet.share.RecordRequested(kHot, 200000, At(100));
  fleet.share.RecordAdmitted(kHot, 100000, At(100));
  const DispatchDecision light = fleet.Decide(RequestOf(kLight, kept), At(200));
  CHECK(light.verdict == DispatchVerdict::kSend);
  CHECK(light.server == fleet.candidates.back().server);
  // For a customer that has its share, the part isn't read a second time.
  CHECK(fleet.Decide(RequestOf(kHot, kept), At(200)).verdict == DispatchVerdict::kNoCapacity);
}

TEST_CASE("a part of prompts that many ask for is read by several engines") {
  Fleet fleet(4);
  const Prompt prompt = PromptOf(1, 4000, 2, 10);
  const ServerId holder = fleet.candidates.front().server;
  for (int i = 0; i < 40; ++i) {
    const auto sent = fleet.load.RecordSent(holder, prompt, At(50 * i));
    fleet.load.RecordFirstByte(holder, sent, At(50 * i + 20));
    fleet.load.RecordEnd(holder, sent, At(50 * i + 40));
  }
  // 150 ms to read at the engine that keeps the part, nothing elsewhere.
  fleet.load.RecordSent(holder, PromptOf(7, 0, 8, 7500), At(2000));
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(2000)).server != holder);
}

TEST_CASE("a part of prompts that few ask for stays with its engine while all are busy") {
  Fleet fleet(4);
  const Prompt prompt = PromptOf(1, 4000, 2, 10);
  const ServerId holder = fleet.candidates.front().server;
  fleet.load.RecordFirstByte(holder, fleet.load.RecordSent(holder, prompt, At(0)), At(100));
  for (const auto& candidate : fleet.candidates) {
    const std::int64_t backlog = candidate.server == holder ? 20000 : 7500;
    fleet.load.RecordSent(candidate.server, PromptOf(7, 0, candidate.server.value + 10, backlog),
                          At(100));
  }
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(100)).server == holder);
}

TEST_CASE("gateways that know nothing of each other send the same part to the same engine") {
  Fleet one(8);
  Fleet other(8);
  for (std::uint64_t part = 1; part < 20; ++part) {
    const Prompt prompt = PromptOf(part, 4000, 999, 500);
    CHECK(one.Decide(RequestOf(kLight, prompt), At(0), 1).server ==
          other.Decide(RequestOf(kLight, prompt), At(0), 2).server);
  }
}

TEST_CASE("what can't end in time is refused at once") {
  Fleet fleet(1);
  const Prompt prompt = PromptOf(1, 0, 2, 1000, 1000);
  DispatchRequest request = RequestOf(kLight, prompt);
  request.time_left = seconds(2);
  CHECK(fleet.Decide(request, At(0)).verdict == DispatchVerdict::kCannotMeetDeadline);
}

TEST_CASE("engines that fail are passed over, unless there is no other") {
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

TEST_CASE("a cold engine gets no more than it bears, though it is the least loaded") {
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

TEST_CASE("a plain request is judged by the shorter of objective and timeout") {
  Fleet fleet(2);
  DispatchRequest request{.customer = kLight,
                          .objective = milliseconds(1000),
                          .time_left = milliseconds(390),
                          .timeout = milliseconds(400)};
  CHECK(fleet.Decide(request, At(0)).verdict == DispatchVerdict::kSend);
  request.time_left = milliseconds(20);
  CHECK(fleet.Decide(request, At(0)).verdict == DispatchVerdict::kCannotMeetDeadline);
}

TEST_CASE("plain requests go to the backend server with the fewest running") {
  Fleet fleet(3);
  fleet.outstanding = {2, 0, 1};
  const DispatchRequest request{.customer = kLight,
                                .objective = milliseconds(300),
                                .time_left = seconds(1),
                                .timeout = seconds(1)};
  CHECK(fleet.Decide(request, At(0)).server == fleet.candidates[1].server);
}

TEST_CASE("without a backend server a request is refused") {
  Fleet fleet(0);
  const Prompt prompt = PromptOf(1, 0, 2, 1000);
  CHECK(fleet.Decide(RequestOf(kLight, prompt), At(0)).verdict == DispatchVerdict::kNoServer);
}

}  // namespace lagoonwind::policy
