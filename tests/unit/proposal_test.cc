#include "proposal.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <optional>
#include <random>

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;

/// In-memory log. While `remaining_faults` is above 0, an append may fail before or after it has
/// taken effect. Calls yield a random number of times, so that concurrent proposals interleave.
class FaultyLog final : public platform::LogService {
 public:
  explicit FaultyLog(unsigned seed) : random_(seed) {}

  asio::awaitable<absl::StatusOr<std::int64_t>> Append(std::string /*stream*/,
                                                       std::vector<std::string> records) override {
    co_await Interleave();
    const auto fault = remaining_faults-- > 0 ? random_() % 3 : 0;
    if (fault == 1) {
      co_return absl::UnavailableError("append failed before it took effect");
    }
    const auto offset = static_cast<std::int64_t>(stored.size());
    std::ranges::move(records, std::back_inserter(stored));
    co_await Interleave();
    if (fault == 2) {
      co_return absl::AbortedError("append took effect, but its response was lost");
    }
    co_return offset;
  }

  asio::awaitable<absl::StatusOr<platform::LogPage>> Read(std::string /*stream*/,
                                                          std::int64_t from) override {
    co_await Interleave();
    platform::LogPage page{.next_offset = static_cast<std::int64_t>(stored.size())};
    for (auto i = from; i < page.next_offset; ++i) {
      page.records.push_back({.offset = i, .data = stored[static_cast<std::size_t>(i)]});
    }
    co_return page;
  }

  std::vector<std::string> stored;
  int remaining_faults = 0;

 private:
  asio::awaitable<void> Interleave() {
    const auto executor = co_await asio::this_coro::executor;
    for (auto yields = random_() % 4; yields > 0; --yields) {
      co_await asio::post(executor, asio::use_awaitable);
    }
  }

  std::mt19937 random_;
};

TEST_CASE(
    "of concurrent proposals exactly one is accepted, and all outcomes match the log, "
    "although appends fail and their responses are lost") {
  constexpr unsigned kSeeds = 60;
  constexpr std::size_t kOperators = 3;
  asio::io_context io;
  std::vector<std::unique_ptr<FaultyLog>> logs;
  std::vector<std::array<std::optional<ProposalOutcome>, kOperators>> outcomes(kSeeds);
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    logs.push_back(std::make_unique<FaultyLog>(seed));
    logs.back()->remaining_faults = 4;
    for (std::size_t i = 0; i < kOperators; ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      asio::co_spawn(
          io,
          Propose(*logs.back(), {},
                  {.nonce = name, .text = "zone " + name + " in # asked by: x\n"}),
          [&outcomes, seed, i](const std::exception_ptr&, absl::StatusOr<ProposalOutcome> outcome) {
            if (outcome.ok()) {
              outcomes[seed][i] = *std::move(outcome);
            }
          });
    }
  }
  io.run();
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    RulesHistory history;
    for (std::size_t i = 0; i < logs[seed]->stored.size(); ++i) {
      history.Replay(static_cast<std::int64_t>(i), logs[seed]->stored[i]);
    }
    int winners = 0;
    for (const auto& outcome : outcomes[seed]) {
      REQUIRE(outcome.has_value());
      CHECK(outcome->in_force == history.current()->offset);
      CHECK((outcome->verdict == Verdict::kAccepted || outcome->changes.size() == 2));
      winners += outcome->verdict == Verdict::kAccepted ? 1 : 0;
    }
    CHECK(winners == 1);
  }
}

}  // namespace
}  // namespace lagoonwind::runtime
