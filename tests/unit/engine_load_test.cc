#include "lagoonwind/engine_load.h"

#include <doctest/doctest.h>

#include <chrono>

namespace lagoonwind::policy {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr ServerId kFirst{1};
constexpr ServerId kSecond{2};
constexpr Incarnation kPeer{7};

Time At(int ms) { return Time{std::chrono::seconds(100)} + milliseconds(ms); }
int Ms(Duration time) { return static_cast<int>(duration_cast<milliseconds>(time).count()); }

/// A prompt with one shared segment and one of its own.
Prompt PromptOf(std::uint64_t shared, std::int64_t shared_tokens, std::uint64_t own,
                std::int64_t own_tokens) {
  return {.input_tokens = shared_tokens + own_tokens,
          .max_output_tokens = 50,
          .segments = {{.id = shared, .tokens = shared_tokens}, {.id = own, .tokens = own_tokens}}};
}

EngineLoad MakeEngineLoad() { return EngineLoad(EngineLoadOptions{.prefill_rate = 10000}); }

}  // namespace

TEST_CASE("a prompt is queued behind prompts sent to its engine earlier") {
  EngineLoad load = MakeEngineLoad();
  load.RecordSent(kFirst, PromptOf(1, 1000, 2, 1000), At(0));
  const EngineEstimate estimate = load.Estimate(kFirst, PromptOf(3, 500, 4, 500), At(50));
  CHECK(Ms(estimate.queueing_delay) == 150);
  CHECK(Ms(estimate.prefill_time) == 100);
  CHECK(estimate.running == 1);
  CHECK(Ms(load.Estimate(kSecond, PromptOf(3, 500, 4, 500), At(50)).queueing_delay) == 0);
}

TEST_CASE("segments cached on an engine are prefilled again only on other engines") {
  EngineLoad load = MakeEngineLoad();
  load.RecordSent(kFirst, PromptOf(1, 1000, 2, 1000), At(0));
  const Prompt next_prompt = PromptOf(1, 1000, 3, 200);
  CHECK(load.Estimate(kFirst, next_prompt, At(500)).uncached_tokens == 200);
  CHECK(load.Estimate(kFirst, next_prompt, At(500)).cached_elsewhere_tokens == 0);
  CHECK(load.Estimate(kSecond, next_prompt, At(500)).uncached_tokens == 1200);
  CHECK(load.Estimate(kSecond, next_prompt, At(500)).cached_elsewhere_tokens == 1000);
}

TEST_CASE("a segment after an uncached one is prefilled too") {
  EngineLoad load = MakeEngineLoad();
  load.RecordSent(kFirst, PromptOf(1, 1000, 2, 1000), At(0));
  CHECK(load.Estimate(kFirst, PromptOf(9, 100, 2, 1000), At(10)).uncached_tokens == 1100);
}

TEST_CASE("segments are evicted by tokens prefilled later") {
  EngineLoad load = MakeEngineLoad();
  load.SetKvCacheCapacity(kFirst, 10000);
  load.RecordSent(kFirst, PromptOf(1, 1000, 2, 100), At(0));
  CHECK(load.Estimate(kFirst, PromptOf(1, 1000, 3, 100), At(10)).uncached_tokens == 100);
  for (std::uint64_t i = 0; i < 4; ++i) {
    const auto sent = load.RecordSent(kFirst, PromptOf(100 + i, 2000, 200 + i, 500), At(20));
    load.RecordEnd(kFirst, sent, At(30));
  }
  CHECK(load.Estimate(kFirst, PromptOf(1, 1000, 3, 100), At(40)).uncached_tokens == 1100);
}

TEST_CASE("the first byte of a response corrects the estimated queue") {
  EngineLoad load = MakeEngineLoad();
  const auto first = load.RecordSent(kFirst, PromptOf(1, 2000, 2, 2000), At(0));
  load.RecordSent(kFirst, PromptOf(3, 500, 4, 500), At(10));
  // The engine is faster than estimated; only the second prompt is still queued.
  load.RecordFirstByte(kFirst, first, At(100));
  CHECK(Ms(load.Estimate(kFirst, PromptOf(5, 1, 6, 1), At(100)).queueing_delay) == 100);
}

TEST_CASE("an overdue engine is expected to be slower than estimated") {
  EngineLoad load = MakeEngineLoad();
  load.RecordSent(kFirst, PromptOf(1, 100, 2, 100), At(0));
  CHECK(Ms(load.Estimate(kFirst, PromptOf(5, 1, 6, 1), At(2000)).queueing_delay) > 500);
}

TEST_CASE("a request that ends before its first byte leaves the queue") {
  EngineLoad load = MakeEngineLoad();
  const auto sent = load.RecordSent(kFirst, PromptOf(1, 2000, 2, 2000), At(0));
  load.RecordEnd(kFirst, sent, At(0));
  const EngineEstimate estimate = load.Estimate(kFirst, PromptOf(5, 1, 6, 1), At(0));
  CHECK(Ms(estimate.queueing_delay) == 0);
  CHECK(estimate.running == 0);
  CHECK(estimate.running_tokens == 0);
}

TEST_CASE("peers' attempts count once, whether reports are lost or repeated") {
  EngineLoad load = MakeEngineLoad();
  const EngineReport before{.server = kFirst, .prefill_tokens = 5000, .running = 1};
  load.MergePeerReport(kPeer, std::span(&before, 1), {}, At(0));
  CHECK(Ms(load.Estimate(kFirst, PromptOf(5, 1, 6, 1), At(0)).queueing_delay) == 0);
  const EngineReport after{
      .server = kFirst, .prefill_tokens = 6000, .running = 3, .running_tokens = 400};
  const SegmentReport segment{.server = kFirst, .prefix_hash = CombineHashes(0, 1)};
  for (int i = 0; i < 3; ++i) {
    load.MergePeerReport(kPeer, std::span(&after, 1), std::span(&segment, 1), At(10));
  }
  const EngineEstimate estimate = load.Estimate(kFirst, PromptOf(1, 300, 6, 20), At(10));
  CHECK(Ms(estimate.queueing_delay) == 100);
  CHECK(estimate.running == 3);
  CHECK(estimate.running_tokens == 400);
  CHECK(estimate.uncached_tokens == 20);
}

TEST_CASE("tokens that a peer sent while its reports were lost count as prefilled") {
  EngineLoad load = MakeEngineLoad();
  const EngineReport before{.server = kFirst, .prefill_tokens = 5000, .running = 1};
  load.MergePeerReport(kPeer, std::span(&before, 1), {}, At(0));
  // Two seconds at half of the engine's prefill rate.
  const EngineReport after{.server = kFirst, .prefill_tokens = 15000, .running = 1};
  load.MergePeerReport(kPeer, std::span(&after, 1), {}, At(2000));
  CHECK(Ms(load.Estimate(kFirst, PromptOf(5, 1, 6, 1), At(2000)).queueing_delay) == 0);
  // Tokens in a timely report count as queued, even if the engine was last reported on long before.
  load.MergePeerReport(kPeer, {}, {}, At(4000));
  const EngineReport later{.server = kFirst, .prefill_tokens = 16000, .running = 1};
  load.MergePeerReport(kPeer, std::span(&later, 1), {}, At(4100));
  CHECK(Ms(load.Estimate(kFirst, PromptOf(5, 1, 6, 1), At(4100)).queueing_delay) == 100);
}

TEST_CASE("running requests of a silent peer are no longer counted") {
  EngineLoad load = MakeEngineLoad();
  const EngineReport report{
      .server = kFirst, .prefill_tokens = 10, .running = 3, .running_tokens = 400};
  load.MergePeerReport(kPeer, std::span(&report, 1), {}, At(0));
  load.DropSilentPeers(At(60000));
  const EngineEstimate estimate = load.Estimate(kFirst, PromptOf(1, 300, 6, 20), At(60000));
  CHECK(estimate.running == 0);
  CHECK(estimate.running_tokens == 0);
}

TEST_CASE("the prefill rate is learned from responses") {
  EngineLoad load = MakeEngineLoad();
  for (int i = 0; i < 300; ++i) {
    const Time sent_at = At(i * 10000);
    const auto id = static_cast<std::uint64_t>(i);
    const auto sent =
        load.RecordSent(kFirst, PromptOf(1000 + id, 10000, 5000 + id, 10000), sent_at);
    // 20,000 tokens at 40,000 per second, plus the overhead of the first event.
    load.RecordFirstByte(kFirst, sent, sent_at + milliseconds(560));
    load.RecordEnd(kFirst, sent, sent_at + milliseconds(600));
  }
  CHECK(load.prefill_rate() > 36000);
  CHECK(load.prefill_rate() < 44000);
}

}  // namespace lagoonwind::policy
