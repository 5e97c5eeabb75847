#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

#include "lagoonwind/rules_diff.h"
#include "lagoonwind/rules_history.h"

namespace lagoonwind {
namespace {

constexpr std::uint32_t kSeed = 20261204;

std::string ZoneText(std::string_view name) {
  return "zone " + std::string(name) + " out # asked by: " + std::string(name) + "\n";
}

/// An append-only stream; replay may start after its oldest records.
struct Stream {
  std::vector<std::string> records;

  std::int64_t Append(std::string record) {
    records.push_back(std::move(record));
    return static_cast<std::int64_t>(records.size()) - 1;
  }
  void ReplayInto(RulesHistory& history, std::int64_t first) const {
    history.SetFirstAvailable(first);
    for (auto i = history.next(); i < static_cast<std::int64_t>(records.size()); ++i) {
      history.Replay(i, records[static_cast<std::size_t>(i)]);
    }
  }
};

/// An operator that reads the rules and appends a proposal, twice if the first append's response is
/// lost.
struct SimulatedOperator {
  std::string name;
  bool append_response_lost = false;
  int step = 0;
  std::int64_t base = kNoBase;

  [[nodiscard]] int steps() const { return append_response_lost ? 3 : 2; }
  void Step(Stream& stream) {
    if (step++ == 0) {
      RulesHistory history;
      stream.ReplayInto(history, 0);
      base = history.current()->offset;
      return;
    }
    stream.Append(EncodeProposal({.base = base, .nonce = name, .text = ZoneText(name)}));
  }
};

/// Calls `check` with the stream of every interleaving of the operators' steps. \return Their
/// number.
template <class Check>
int ForEachInterleaving(const std::vector<SimulatedOperator>& operators, const Stream& stream,
                        const Check& check) {
  int count = 0;
  bool all_done = true;
  for (std::size_t i = 0; i < operators.size(); ++i) {
    if (operators[i].step < operators[i].steps()) {
      all_done = false;
      auto next = operators;
      Stream next_stream = stream;
      next[i].Step(next_stream);
      count += ForEachInterleaving(next, next_stream, check);
    }
  }
  if (all_done) {
    check(operators, stream);
    return 1;
  }
  return count;
}

TEST_CASE(
    "in every interleaving of operators, each base accepts one proposal and all get a verdict") {
  const std::vector<SimulatedOperator> operators{{.name = "a", .append_response_lost = true},
                                                 {.name = "b"},
                                                 {.name = "c", .append_response_lost = true}};
  const auto check = [](const std::vector<SimulatedOperator>& all, const Stream& stream) {
    RulesHistory history;
    stream.ReplayInto(history, 0);
    std::map<std::int64_t, int> winners;
    std::map<std::string, int> accepted;
    for (const auto& record : history.evaluated()) {
      if (record.verdict == Verdict::kAccepted) {
        ++winners[record.base];
        ++accepted[record.nonce];
      }
    }
    const bool one_winner =
        std::ranges::all_of(winners, [](auto& item) { return item.second == 1; });
    const bool accepted_once =
        std::ranges::all_of(accepted, [](auto& item) { return item.second == 1; });
    if (!one_winner || !accepted_once || history.evaluated().size() != stream.records.size() ||
        winners[kNoBase] != 1) {
      FAIL_CHECK(
          "an interleaving has a base without exactly one accepted proposal, or a missing verdict");
    }
    static_cast<void>(all);
  };
  CHECK(ForEachInterleaving(operators, {}, check) == 560);
}

/// A random stream of proposals on valid and stale bases, malformed records and snapshots.
/// `offset_in_force[i]` is the offset of the configuration in force before record i.
struct RandomStream {
  Stream stream;
  std::vector<std::int64_t> offset_in_force{kNoBase};
  std::vector<std::int64_t> snapshot_applied_ends;

  explicit RandomStream(std::mt19937& random, int length) {
    RulesHistory writer;
    for (int i = 0; i < length; ++i) {
      // The writer of a snapshot may have read only a prefix of the stream.
      if (random() % 3 == 0) {
        stream.ReplayInto(writer, 0);
      }
      const std::int64_t offset = stream.Append(Next(random, writer));
      RulesHistory full;
      stream.ReplayInto(full, 0);
      offset_in_force.push_back(full.current()->offset);
      if (last_applied_end_ >= 0) {
        snapshot_applied_ends.resize(static_cast<std::size_t>(offset) + 1, -1);
        snapshot_applied_ends.back() = last_applied_end_;
      }
    }
  }

 private:
  std::string Next(std::mt19937& random, const RulesHistory& writer) {
    last_applied_end_ = -1;
    switch (random() % 6) {
      case 0:
        return "junk";
      case 1:
        return EncodeProposal({.base = offset_in_force.back(), .nonce = "bad", .text = "nonsense"});
      case 2:
        return EncodeProposal(
            {.base = offset_in_force.back() - 1, .nonce = "late", .text = ZoneText("l")});
      case 3:
        if (writer.current()->offset >= 0) {
          last_applied_end_ = writer.applied_end();
          return EncodeSnapshot({.offset = writer.current()->offset,
                                 .applied_end = writer.applied_end(),
                                 .text = writer.current()->text});
        }
        [[fallthrough]];
      default:
        return EncodeProposal({.base = offset_in_force.back(),
                               .nonce = "n",
                               .text = ZoneText(std::to_string(random() % 9))});
    }
  }

  std::int64_t last_applied_end_ = -1;
};

TEST_CASE(
    "a stream without its oldest records gives the configuration of the whole stream or none") {
  std::mt19937 random(kSeed);
  int gap_free_replays = 0;
  for (int round = 0; round < 150; ++round) {
    const RandomStream generated(random, 24);
    RulesHistory full;
    generated.stream.ReplayInto(full, 0);
    for (std::int64_t first = 1; first < 24; ++first) {
      RulesHistory cut;
      generated.stream.ReplayInto(cut, first);
      const bool snapshot_available =
          std::ranges::any_of(generated.snapshot_applied_ends,
                              [&](std::int64_t applied_end) { return applied_end >= first; });
      CHECK((!snapshot_available || cut.gap_free()));
      if (cut.gap_free()) {
        ++gap_free_replays;
        CHECK(cut.current()->offset == full.current()->offset);
        CHECK(cut.current()->text == full.current()->text);
      } else {
        CHECK(cut.current()->offset == kNoBase);
      }
      for (const auto& record : cut.evaluated()) {
        const auto same =
            std::ranges::find(full.evaluated(), record.offset, &EvaluatedRecord::offset);
        CHECK((record.verdict == Verdict::kMalformed || record.verdict == same->verdict));
      }
    }
  }
  CHECK(gap_free_replays > 500);
}

TEST_CASE("a process that adopts a peer's configuration at any point reaches the peer's state") {
  std::mt19937 random(kSeed + 1);
  for (int round = 0; round < 150; ++round) {
    const RandomStream generated(random, 16);
    RulesHistory full;
    generated.stream.ReplayInto(full, 0);
    RulesHistory peer;
    RulesHistory joiner;
    std::int64_t in_force = kNoBase;
    for (std::int64_t i = 0; i < 16; ++i) {
      peer.Replay(i, generated.stream.records[static_cast<std::size_t>(i)]);
      if (random() % 4 == 0) {
        joiner.Adopt(peer.current(), peer.applied_end());
      } else if (random() % 4 == 0) {
        generated.stream.ReplayInto(joiner, static_cast<std::int64_t>(random() % 4));
      }
      CHECK(joiner.current()->offset >= in_force);
      in_force = joiner.current()->offset;
    }
    joiner.Adopt(peer.current(), peer.applied_end());
    CHECK(joiner.current()->offset == full.current()->offset);
    // A late older version has no effect.
    CHECK_FALSE(joiner.Adopt(std::make_shared<Configuration>(), 1));
    CHECK(joiner.current()->offset == full.current()->offset);
  }
}

TEST_CASE("a forced proposal recovers a stream without snapshots to the same state everywhere") {
  Stream stream;
  stream.Append(EncodeProposal({.nonce = "a", .text = ZoneText("a")}));
  stream.Append(EncodeProposal({.base = 0, .nonce = "b", .text = ZoneText("b")}));
  RulesHistory cut;
  stream.ReplayInto(cut, 1);
  CHECK_FALSE(cut.gap_free());
  stream.Append(EncodeProposal({.base = kAnyBase, .nonce = "c", .text = ZoneText("c")}));
  RulesHistory full;
  stream.ReplayInto(full, 0);
  stream.ReplayInto(cut, 1);
  CHECK(full.current()->offset == 2);
  CHECK(cut.current()->offset == 2);
}

}  // namespace
}  // namespace lagoonwind
