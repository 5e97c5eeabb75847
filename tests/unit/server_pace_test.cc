#include "lagoonwind/server_pace.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "lagoonwind/dispatch.h"

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 10;
constexpr int kConcurrencyLimit = 64;
constexpr int kRequestsPerSecond = 1000;
constexpr int kEvenPortion = kRequestsPerSecond / kServers;
/// When the server under test starts, recovers or gets worse.
constexpr int kChangeSecond = 5;
constexpr ServerId kServer{1};

Time At(int ms) { return Time{seconds(100)} + milliseconds(ms); }

/// One gateway with the state that its decisions depend on.
struct Gateway {
  explicit Gateway(std::uint64_t salt, bool paced)
      : pace(salt), dispatcher(load, share, health, cold, paced ? &pace : nullptr) {}

  EngineLoad load{EngineLoadOptions{}};
  CustomerShare share{seconds(4)};
  ServerHealth health;
  ColdStartLimiter cold;
  ServerPace pace;
  Dispatcher dispatcher;
  std::vector<int> outstanding = std::vector<int>(kServers, 0);
};

/// How a server responds to a request at a time: the time to its first byte, or absent for a
/// failure.
using Behaviour =
    std::function<std::optional<milliseconds>(std::size_t server, int ms, std::mt19937_64& random)>;

struct Scenario {
  int gateways = 1;
  int duration_s = 20;
  Behaviour behaviour;
  /// Servers that start or recover, by second.
  std::vector<std::pair<int, std::vector<std::size_t>>> starts;
  bool paced = true;
  /// Requests per second that each gateway may send to the servers that started; 0 if unlimited.
  double cold_rate = 0;
};

struct Result {
  /// Requests sent to each server in each second.
  std::vector<std::vector<int>> sent;
  /// The server of each request.
  std::vector<std::size_t> choices;
  int refused = 0;

  /// Mean over seconds of the even portion that the server got.
  [[nodiscard]] double Portion(std::size_t server, int from_s, int to_s) const {
    double total = 0;
    for (int second = from_s; second < to_s; ++second) {
      total += sent.at(static_cast<std::size_t>(second)).at(server);
    }
    return total / (to_s - from_s) / kEvenPortion;
  }
};

struct Completion {
  int at_ms = 0;
  std::size_t gateway = 0;
  std::size_t server = 0;
  PaceOutcome outcome;
  bool operator>(const Completion& other) const { return at_ms > other.at_ms; }
};

std::optional<milliseconds> Normal(std::mt19937_64& random) {
  return milliseconds(50 + static_cast<int>(random() % 100));
}

/// Replays a load of even requests that reach the gateways at random.
Result Run(const Scenario& scenario) {
  std::mt19937_64 random(7);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < scenario.gateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(random(), scenario.paced));
    gateways.back()->pace.SetGateways(scenario.gateways);
  }
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < kServers; ++i) {
    candidates.push_back(
        {.server = ServerId{i + 1}, .same_zone = true, .concurrency_limit = kConcurrencyLimit});
  }
  const DispatchRequest request{.customer = CustomerId{1},
                                .objective = milliseconds(500),
                                .time_left = seconds(5),
                                .timeout = seconds(5)};
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> running;
  Result result;
  result.sent.assign(static_cast<std::size_t>(scenario.duration_s), std::vector<int>(kServers, 0));
  for (int ms = 0; ms < scenario.duration_s * 1000; ++ms) {
    const Time now = At(ms);
    for (const auto& [second, servers] : scenario.starts) {
      for (const std::size_t server : servers) {
        if (ms == second * 1000) {
          candidates.at(server).cold_rate_limit = scenario.cold_rate;
          for (auto& gateway : gateways) {
            gateway->pace.Begin(ServerId{server + 1}, now);
          }
        }
      }
    }
    while (!running.empty() && running.top().at_ms <= ms) {
      const Completion end = running.top();
      running.pop();
      Gateway& gateway = *gateways[end.gateway];
      --gateway.outstanding[end.server];
      gateway.pace.RecordOutcome("service", ServerId{end.server + 1}, end.outcome, now);
    }
    const std::size_t index = random() % gateways.size();
    Gateway& gateway = *gateways[index];
    for (const Candidate& candidate : candidates) {
      gateway.pace.RecordRequest(candidate.server, candidates.size(), now);
    }
    const DispatchDecision decision =
        gateway.dispatcher.Decide(request, candidates, gateway.outstanding, random(), now);
    if (decision.verdict != DispatchVerdict::kSend) {
      ++result.refused;
      continue;
    }
    const auto server = static_cast<std::size_t>(decision.server.value - 1);
    ++result.sent[static_cast<std::size_t>(ms / 1000)][server];
    result.choices.push_back(server);
    ++gateway.outstanding[server];
    gateway.pace.RecordSent(decision.server);
    gateway.cold.RecordSent(decision.server, now);
    const auto response = scenario.behaviour(server, ms, random);
    const milliseconds first_byte = response.value_or(milliseconds(50));
    running.push({.at_ms = ms + static_cast<int>(first_byte.count()),
                  .gateway = index,
                  .server = server,
                  .outcome = {.first_byte = first_byte, .failed = !response}});
  }
  return result;
}

/// The first server takes eight times as long between two times; the others are normal.
Behaviour SlowBetween(int from_ms, int to_ms) {
  return [=](std::size_t server, int ms, std::mt19937_64& random) {
    const auto normal = Normal(random);
    const bool slow = server == 0 && ms >= from_ms && ms < to_ms;
    return slow ? std::optional(*normal * 8) : normal;
  };
}

const Behaviour kAllNormal = [](std::size_t /*server*/, int /*ms*/, std::mt19937_64& random) {
  return Normal(random);
};

constexpr std::array kFleets{3, 30, 300};

}  // namespace

// Guards against flooding a server that still loads when it starts, and against leaving it idle
// once it has reached its full speed.
TEST_CASE("a server that starts slow gets little work at first and an even portion later") {
  for (const int gateways : kFleets) {
    CAPTURE(gateways);
    Scenario scenario{.gateways = gateways,
                      .duration_s = 30,
                      .behaviour = SlowBetween(kChangeSecond * 1000, kChangeSecond * 1000 + 3000),
                      .starts = {{kChangeSecond, {0}}}};
    const Result result = Run(scenario);
    CHECK(result.Portion(0, kChangeSecond, kChangeSecond + 1) < 0.3);
    CHECK(result.Portion(0, kChangeSecond, kChangeSecond + 3) < 0.4);
    CHECK(result.Portion(0, kChangeSecond + 15, 30) > 0.75);
    CHECK(result.refused == 0);
  }
}

// Guards against a server that is slower than its peers for good getting an even portion, and
// against it never being tried again.
TEST_CASE("a server that stays slow keeps a small portion, but is tried again") {
  for (const int gateways : kFleets) {
    CAPTURE(gateways);
    Scenario scenario{.gateways = gateways,
                      .behaviour = SlowBetween(kChangeSecond * 1000, 1000000),
                      .starts = {{kChangeSecond, {0}}}};
    const Result result = Run(scenario);
    CHECK(result.Portion(0, kChangeSecond + 1, 20) < 0.5);
    CHECK(result.Portion(0, 15, 20) > 0.001);
  }
}

// Guards against a recovering server that fails most requests attracting them by its idleness.
TEST_CASE("a server that fails keeps a small portion") {
  for (const int gateways : kFleets) {
    CAPTURE(gateways);
    Scenario scenario{.gateways = gateways,
                      .behaviour =
                          [](std::size_t server, int ms, std::mt19937_64& random) {
                            const bool fails = server == 0 && ms >= kChangeSecond * 1000;
                            return fails && random() % 10 < 8 ? std::nullopt : Normal(random);
                          },
                      .starts = {{kChangeSecond, {0}}}};
    const Result result = Run(scenario);
    CHECK(result.Portion(0, kChangeSecond + 1, 20) < 0.5);
    CHECK(result.Portion(0, 15, 20) > 0.001);
  }
}

// Guards against the progress of one slow start counting for the next one.
TEST_CASE("a restart in the middle of a slow start begins it again") {
  for (const int gateways : kFleets) {
    CAPTURE(gateways);
    Scenario scenario{.gateways = gateways,
                      .behaviour = kAllNormal,
                      .starts = {{kChangeSecond, {0}}, {kChangeSecond + 3, {0}}}};
    const Result result = Run(scenario);
    CHECK(result.Portion(0, kChangeSecond, kChangeSecond + 1) < 0.4);
    CHECK(result.Portion(0, kChangeSecond + 3, kChangeSecond + 4) < 0.4);
    CHECK(result.Portion(0, kChangeSecond + 10, 20) > 0.75);
  }
}

// Guards against a returning zone being flooded, against its servers staying idle, and against
// the pace raising the stated rate of cold servers.
TEST_CASE("a zone that returns is loaded step by step and within the cold limit") {
  for (const int gateways : kFleets) {
    CAPTURE(gateways);
    const std::vector<std::size_t> zone{0, 1, 2};
    Scenario scenario{
        .gateways = gateways, .behaviour = kAllNormal, .starts = {{kChangeSecond, zone}}};
    const Result result = Run(scenario);
    scenario.cold_rate = 10.0 / gateways;
    const Result cold = Run(scenario);
    for (const std::size_t server : zone) {
      CHECK(result.Portion(server, kChangeSecond, kChangeSecond + 1) < 0.4);
      CHECK(result.Portion(server, kChangeSecond + 10, 20) > 0.75);
      CHECK(cold.Portion(server, kChangeSecond + 2, 20) <= 10.5 / kEvenPortion);
    }
    CHECK(result.refused == 0);
  }
}

// Shows that the load of the cases above floods the server without the decision.
TEST_CASE("without pacing, a server that starts gets an even portion at once") {
  for (const int gateways : kFleets) {
    CAPTURE(gateways);
    const Result result = Run({.gateways = gateways,
                               .behaviour = kAllNormal,
                               .starts = {{kChangeSecond, {0}}},
                               .paced = false});
    CHECK(result.Portion(0, kChangeSecond, kChangeSecond + 1) > 0.7);
  }
}

// Guards against pacing that changes deployments in which no server starts or gets worse: noise,
// common failures, servers of different speed and short slow spells count for nothing.
TEST_CASE("servers in steady state get the same decisions with and without pacing") {
  const Behaviour steady = [](std::size_t server, int ms, std::mt19937_64& random) {
    auto response = Normal(random);
    if (random() % 50 == 0) {
      return std::optional<milliseconds>();
    }
    *response = *response * (server % 3 == 0 ? 160 : 100) / 100;
    const bool in_spell = (ms / 600 + static_cast<int>(server) * 3) % 7 == 0;
    return in_spell ? std::optional(*response * 5 / 2) : response;
  };
  for (const int gateways : kFleets) {
    CAPTURE(gateways);
    Scenario scenario{.gateways = gateways, .duration_s = 30, .behaviour = steady};
    const Result paced = Run(scenario);
    scenario.paced = false;
    CHECK(paced.choices == Run(scenario).choices);
  }
}

// Guards against a server that becomes much slower while it is in use keeping its work.
TEST_CASE("a server that becomes slow for seconds loses work and regains it") {
  const Result result =
      Run({.gateways = 3, .duration_s = 40, .behaviour = SlowBetween(5000, 15000)});
  Scenario unpaced{.gateways = 3, .duration_s = 40, .behaviour = SlowBetween(5000, 15000)};
  unpaced.paced = false;
  CHECK(result.Portion(0, 10, 15) < 0.6 * Run(unpaced).Portion(0, 10, 15));
  CHECK(result.Portion(0, 30, 40) > 0.75);
}

// Guards against a limit that holds at each gateway, but not for their sum.
TEST_CASE("the concurrent work that all gateways allow stays within the server's portion") {
  for (const int gateways : kFleets) {
    CAPTURE(gateways);
    std::mt19937_64 random(3);
    int allowed = 0;
    for (int i = 0; i < gateways; ++i) {
      ServerPace pace(random());
      pace.SetGateways(gateways);
      pace.Begin(kServer, At(0));
      for (int request = 0; request < 20; ++request) {
        pace.RecordRequest(kServer, 1, At(0));
      }
      int outstanding = 0;
      while (pace.MayTake(kServer, outstanding, kConcurrencyLimit, At(0))) {
        ++outstanding;
      }
      allowed += outstanding;
    }
    // The start fraction of the limit is 6.4; parts of requests are rounded by chance.
    CHECK(allowed >= 1);
    CHECK(allowed <= 13);
  }
}

// Guards against refusals because of a server that warms up while it has room.
TEST_CASE("a server beyond its pace takes what no other can") {
  Gateway gateway(1, true);
  const std::vector<Candidate> candidates{
      {.server = kServer, .concurrency_limit = kConcurrencyLimit},
      {.server = ServerId{2}, .concurrency_limit = kConcurrencyLimit}};
  gateway.pace.Begin(kServer, At(0));
  gateway.pace.RecordSent(kServer);
  const DispatchRequest request{
      .objective = milliseconds(500), .time_left = seconds(5), .timeout = seconds(5)};
  const auto decide = [&](std::vector<int> outstanding) {
    return gateway.dispatcher.Decide(request, candidates, outstanding, 1, At(0));
  };
  CHECK(decide({0, 10}).server == ServerId{2});
  const DispatchDecision decision = decide({0, kConcurrencyLimit});
  CHECK(decision.verdict == DispatchVerdict::kSend);
  CHECK(decision.server == kServer);
}

// Guards against a fraction of zero, values above one and evidence without peers.
TEST_CASE("the fraction stays within its bounds") {
  ServerPace pace(1);
  CHECK(pace.Fraction(kServer, At(0)) == 1);
  REQUIRE(pace.Begin(kServer, At(0)));
  CHECK_FALSE(pace.Begin(kServer, At(0)));
  for (int i = 0; i < 100; ++i) {
    pace.RecordOutcome("service", kServer, {.failed = true}, At(i * 200));
    CHECK(pace.Fraction(kServer, At(i * 200)) > 0);
  }
  CHECK(pace.Fraction(kServer, At(100 * 200)) < 0.1);
  CHECK(pace.Fraction(kServer, At(1000 * 1000)) == 1);
  for (int i = 100; i < 200; ++i) {
    pace.RecordOutcome("service", kServer, {.first_byte = milliseconds(50)}, At(i * 200));
  }
  CHECK(pace.IsIdle());
}

}  // namespace lagoonwind::policy
