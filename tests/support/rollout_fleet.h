#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "lagoonwind/rollout.h"

/// \file
/// Gateways that roll out a version together, in virtual time.
namespace lagoonwind::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(20);
constexpr RolloutLimits kLimits{
    .exposure_share = 0.1, .exposure_slack = 50, .rollback_time = seconds(5)};
constexpr std::uint64_t kRoutes = 5;
inline const Time kStart{seconds(1000)};

/// What the target version does with a request.
struct Moment {
  std::uint64_t route = 0;
  Duration since_order{};
  /// Fraction of the service's attempts that the target got in the last half second.
  double load = 0;
};
struct Behaviour {
  double failure_rate = 0;
  double slowdown = 1;
};
using Version = std::function<Behaviour(const Moment&)>;

struct Setup {
  std::size_t gateways = 3;
  double requests_per_second = 300;
  Duration duration = seconds(30);
  Duration report_interval = milliseconds(200);
  double report_loss = 0;
  double old_failure_rate = 0;
  /// Fraction of responses that are streams of one to four seconds.
  double streams = 0.02;
  /// The whole fleet is eight times slower in this interval after the order.
  Duration slow_from = seconds(1000);
  Duration slow_to = seconds(1000);
  /// This many gateways neither send nor receive reports from `partition_from` on.
  std::size_t partitioned = 0;
  Duration partition_from{};
  Version target = [](const Moment&) { return Behaviour{}; };
};

struct Result {
  std::optional<RolloutState> stored;
  std::string reason;
  double stored_after_s = 0;
  double requests = 0;
  double target_sent = 0;
  double budget = 0;
  /// Time from the 50th bad response to the last attempt at the target.
  double rollback_s = 0;
  /// Attempts on old servers at the moment of completion.
  std::uint64_t running_on_old = 0;
};

class Fleet {
 public:
  Fleet(Setup setup, std::uint64_t seed) : setup_(std::move(setup)), random_(seed) {
    std::vector<Incarnation> members;
    for (std::size_t i = 0; i < setup_.gateways; ++i) {
      members.push_back(Incarnation{seed * 1000 + i + 1});
    }
    const RolloutOrder order{
        .service = "s", .target = "v2", .duration = setup_.duration, .id = seed + 7};
    for (const Incarnation member : members) {
      gateways_.emplace_back(order, kLimits, kStart, true);
      gateways_.back().SetSelf(member);
      gateways_.back().SetMembers(members, kStart);
      gateways_.back().SetServers(4, 4, kStart);
    }
    members_ = members;
  }

  Result Run() {
    for (Time now = kStart; now < kStart + setup_.duration + seconds(3) && !result_.stored;
         now += kTick) {
      Deliver(now);
      SendRequests(now);
      Report(now);
      Write(now);
    }
    return Finish();
  }

 private:
  struct End {
    Time at;
    std::size_t gateway = 0;
    RolloutVersion version = RolloutVersion::kOld;
    RolloutOutcome outcome;
    bool bad = false;
    bool operator>(const End& other) const { return at > other.at; }
  };
  struct Datagram {
    Time at;
    std::size_t from = 0;
    std::shared_ptr<const RolloutReport> report;
  };

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

  bool Partitioned(std::size_t gateway, Time now) const {
    return gateway < setup_.partitioned && now - kStart >= setup_.partition_from;
  }

  void Deliver(Time now) {
    while (!ends_.empty() && ends_.top().at <= now) {
      const End& end = ends_.top();
      gateways_[end.gateway].RecordEnd(end.version, end.outcome, now);
      bad_responses_ += end.bad ? 1 : 0;
      if (end.bad && bad_responses_ == 50) {
        fiftieth_bad_ = now;
      }
      ends_.pop();
    }
    while (!datagrams_.empty() && datagrams_.front().at <= now) {
      const Datagram& datagram = datagrams_.front();
      for (std::size_t to = 0; to < gateways_.size(); ++to) {
        if (to != datagram.from && !Partitioned(to, now) && !(Uniform() < setup_.report_loss)) {
          gateways_[to].MergePeerReport(members_[datagram.from], *datagram.report, now);
        }
      }
      datagrams_.pop_front();
    }
  }

  void SendRequests(Time now) {
    const double expected =
        setup_.requests_per_second * std::chrono::duration<double>(kTick).count();
    const int count = std::poisson_distribution<>(expected)(random_);
    int to_target = 0;
    for (int i = 0; i < count; ++i) {
      const auto gateway =
          static_cast<std::size_t>(Uniform() * static_cast<double>(gateways_.size()));
      const auto route = static_cast<std::uint64_t>(Uniform() * kRoutes);
      const RolloutVersion version = gateways_[gateway].Choose(RouteId{route + 1}, Uniform(), now);
      gateways_[gateway].RecordSent(version, now);
      result_.requests += 1;
      if (version == RolloutVersion::kTarget) {
        ++to_target;
        result_.target_sent += 1;
        last_target_ = now;
      }
      Execute(gateway, route, version, now);
    }
    recent_.emplace_back(count, to_target);
    if (recent_.size() > 25) {
      recent_.pop_front();
    }
  }

  double TargetLoad() const {
    int all = 0;
    int target = 0;
    for (const auto& [count, to_target] : recent_) {
      all += count;
      target += to_target;
    }
    return all == 0 ? 0 : static_cast<double>(target) / all;
  }

  void Execute(std::size_t gateway, std::uint64_t route, RolloutVersion version, Time now) {
    const Behaviour behaviour =
        version == RolloutVersion::kOld
            ? Behaviour{.failure_rate = setup_.old_failure_rate}
            : setup_.target({.route = route, .since_order = now - kStart, .load = TargetLoad()});
    double ms = 60 * std::exp(std::normal_distribution<>(0, 0.4)(random_));
    double stream_ms = Uniform() < setup_.streams ? 1000 + 3000 * Uniform() : 0;
    if (now - kStart >= setup_.slow_from && now - kStart < setup_.slow_to) {
      ms *= 8;
    }
    ms *= behaviour.slowdown;
    const bool failed = Uniform() < behaviour.failure_rate;
    const Duration first{static_cast<std::int64_t>(ms * 500)};
    const Duration total{static_cast<std::int64_t>((ms + stream_ms) * 1000)};
    ends_.push({.at = now + total,
                .gateway = gateway,
                .version = version,
                .outcome = {.route = RouteId{route + 1},
                            .failed = failed,
                            .first_byte = first,
                            .total = total},
                .bad = version == RolloutVersion::kTarget && (failed || behaviour.slowdown > 2)});
  }

  void Report(Time now) {
    const auto slots = static_cast<std::size_t>(setup_.report_interval / kTick);
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if ((ticks_ + i) % slots == 0) {
        gateways_[i].Update(now);
      }
      if ((ticks_ + i) % slots == 0 && !Partitioned(i, now)) {
        datagrams_.push_back(
            {now + milliseconds(200), i,
             std::make_shared<const RolloutReport>(gateways_[i].LocalReport(now))});
      }
    }
    ++ticks_;
  }

  void Write(Time now) {
    if (ticks_ % 5 != 0) {
      return;
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      const auto conclusion = gateways_[i].Conclusion(now);
      if (Partitioned(i, now) || !conclusion || result_.stored) {
        continue;
      }
      result_.stored = conclusion->state;
      result_.reason = conclusion->reason;
      result_.stored_after_s = std::chrono::duration<double>(now - kStart).count();
      for (const Rollout& gateway : gateways_) {
        result_.running_on_old += gateway.LocalReport(now).outstanding[0];
      }
    }
  }

  Result Finish() {
    // A conclusion reaches the other gateways in the next reports; until then they go on.
    const Time stored = kStart + milliseconds(static_cast<int>(result_.stored_after_s * 1000));
    if (result_.stored == RolloutState::kReverted) {
      for (Time now = stored + kTick; now < stored + seconds(5); now += kTick) {
        Deliver(now);
        SendRequests(now);
        Report(now);
      }
    }
    const double seconds_run =
        result_.stored_after_s + (result_.stored == RolloutState::kReverted ? 5 : 0);
    result_.requests +=
        setup_.requests_per_second *
        std::max(0.0, std::chrono::duration<double>(setup_.duration).count() - seconds_run);
    result_.budget = kLimits.exposure_share * result_.requests + kLimits.exposure_slack;
    if (fiftieth_bad_) {
      result_.rollback_s = std::chrono::duration<double>(last_target_ - *fiftieth_bad_).count();
    }
    return result_;
  }

  Setup setup_;
  std::mt19937_64 random_;
  std::vector<Rollout> gateways_;
  std::vector<Incarnation> members_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  std::deque<Datagram> datagrams_;
  std::deque<std::pair<int, int>> recent_;
  std::size_t ticks_ = 0;
  int bad_responses_ = 0;
  std::optional<Time> fiftieth_bad_;
  Time last_target_ = kStart;
  Result result_;
};

struct Tally {
  int runs = 0;
  int complete = 0;
  int reverted = 0;
  int over_budget = 0;
  int late_rollback = 0;
  int left_running = 0;
  double largest_use = 0;
  double slowest_rollback_s = 0;
  double latest_s = 0;
  std::string reason;
};

inline Tally RunSeeds(const Setup& setup, int seeds, std::uint64_t first = 1) {
  Tally tally;
  for (int i = 0; i < seeds; ++i) {
    const Result result = Fleet(setup, first + static_cast<std::uint64_t>(i)).Run();
    ++tally.runs;
    tally.complete += result.stored == RolloutState::kComplete ? 1 : 0;
    tally.reverted += result.stored == RolloutState::kReverted ? 1 : 0;
    tally.over_budget += result.target_sent > result.budget ? 1 : 0;
    tally.late_rollback += result.rollback_s > 5 ? 1 : 0;
    tally.left_running +=
        result.stored == RolloutState::kComplete && result.running_on_old > 0 ? 1 : 0;
    tally.largest_use = std::max(tally.largest_use, result.target_sent / result.budget);
    tally.slowest_rollback_s = std::max(tally.slowest_rollback_s, result.rollback_s);
    tally.latest_s = std::max(tally.latest_s, result.stored_after_s);
    tally.reason = result.reason;
  }
  return tally;
}

inline void Print(const std::string& name, const Setup& setup, const Tally& tally) {
  MESSAGE(name << " | " << setup.gateways << " gateways | " << setup.requests_per_second
               << "/s | runs " << tally.runs << " | complete " << tally.complete << " | reverted "
               << tally.reverted << " | over budget " << tally.over_budget << " | largest use "
               << tally.largest_use << " | slowest rollback " << tally.slowest_rollback_s
               << " s | latest conclusion " << tally.latest_s << " s | last reason "
               << tally.reason);
}

struct FleetSize {
  std::size_t gateways;
  double requests_per_second;
  int seeds;
  Duration report_interval;
};
inline const std::vector<FleetSize> kSizes{{3, 200, 20, milliseconds(200)},
                                           {30, 600, 4, milliseconds(200)},
                                           {300, 3000, 1, milliseconds(400)}};

inline Setup SetupOf(const FleetSize& size) {
  return {.gateways = size.gateways,
          .requests_per_second = size.requests_per_second,
          .report_interval = size.report_interval};
}

struct BadVersion {
  std::string name;
  Version version;
  bool in_large_fleet = false;
};
inline const std::vector<BadVersion> kBadVersions{
    {"5% failures", [](const Moment&) { return Behaviour{.failure_rate = 0.05}; }, true},
    {"30% failures", [](const Moment&) { return Behaviour{.failure_rate = 0.3}; }},
    {"one route of five fails half",
     [](const Moment& m) { return Behaviour{.failure_rate = m.route == 2 ? 0.5 : 0}; }},
    {"four times slower", [](const Moment&) { return Behaviour{.slowdown = 4}; }, true},
    {"fails above half load",
     [](const Moment& m) { return Behaviour{.failure_rate = m.load > 0.5 ? 0.3 : 0}; }},
    {"slow above half load",
     [](const Moment& m) { return Behaviour{.slowdown = m.load > 0.5 ? 4.0 : 1.0}; }, true},
    {"fails after 10 s",
     [](const Moment& m) {
       return Behaviour{.failure_rate = m.since_order > seconds(10) ? 0.3 : 0};
     }},
};

}  // namespace lagoonwind::policy
