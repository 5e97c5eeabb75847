#include "lagoonwind/report_router.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoonwind::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kNetworkDelay = std::chrono::microseconds(1500);
constexpr double kLoss = 0.01;

/// A host's state in the simulation.
enum class HostState { kUp, kDown, kMute, kDeaf };

/// Gateways that exchange reports through routers in virtual time. A report states only when it was
/// made; its age is the age of the news that a gateway has of another.
class Exchange {
 public:
  Exchange(std::size_t gateways, std::size_t zones) : hosts_(gateways) {
    for (std::size_t i = 0; i < gateways; ++i) {
      Host& host = hosts_[i];
      host.self = {.id = HandleOf<GatewayId>("g" + std::to_string(i)),
                   .zone = HandleOf<ZoneId>("z" + std::to_string(i % zones)),
                   .cpu_cores = i / zones < 3 ? 0.5 : 0.09};
      host.router = MakeZoneRelayRouter({.self = host.self});
      host.news.resize(gateways);
      indexes_[host.self.id.value] = i;
      At(Now() + std::chrono::microseconds(random_() % 50000), [this, i] { SendRound(i); });
    }
  }

  void RunFor(Duration time) {
    const Time end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.begin();
      now_ = event->first;
      const auto action = std::move(event->second);
      events_.erase(event);
      action();
    }
    now_ = end;
  }

  void SetState(std::size_t host, HostState state) { hosts_[host].state = state; }
  /// The host to which most others of its zone send as their relay.
  [[nodiscard]] std::size_t RelayOf(ZoneId zone) const {
    std::map<std::size_t, int> votes;
    for (const Host& host : hosts_) {
      if (host.self.zone == zone && host.relay) {
        ++votes[indexes_.at(host.relay->value)];
      }
    }
    return std::ranges::max_element(votes, {}, &std::pair<const std::size_t, int>::second)->first;
  }
  [[nodiscard]] ZoneId zone(std::size_t host) const { return hosts_[host].self.zone; }

  /// Ages of the news that each host that is up has of each other one, sorted.
  [[nodiscard]] std::vector<Duration> Ages() const {
    std::vector<Duration> ages;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      for (std::size_t j = 0; j < hosts_.size(); ++j) {
        if (i != j && hosts_[i].state == HostState::kUp && hosts_[j].state == HostState::kUp) {
          ages.push_back(now_ - hosts_[i].news[j]);
        }
      }
    }
    std::ranges::sort(ages);
    return ages;
  }
  /// Mean number of datagrams that a host other than a relay handles, per second.
  [[nodiscard]] double MemberDatagramRate(Duration time) const {
    std::vector<int> counts;
    std::ranges::transform(hosts_, std::back_inserter(counts), &Host::datagrams);
    std::ranges::sort(counts);
    return counts[counts.size() / 2] / std::chrono::duration<double>(time).count();
  }
  void ResetCounts() {
    std::ranges::for_each(hosts_, [](Host& host) { host.datagrams = 0; });
  }

 private:
  struct News {
    std::size_t origin = 0;
    Time made;
  };
  struct Datagram {
    std::size_t sender = 0;
    bool wants_relay = false;
    bool is_bundle = false;
    std::vector<GatewayId> heard;
    std::vector<News> news;
  };
  struct Host {
    RoutingPeer self;
    std::unique_ptr<ReportRouter> router;
    HostState state = HostState::kUp;
    std::vector<Time> news;
    std::vector<News> zone_news;
    std::vector<News> foreign_news;
    std::optional<GatewayId> relay;
    Time down_peers_contacted_at{};
    int datagrams = 0;
  };

  [[nodiscard]] Time Now() const { return now_; }
  void At(Time time, std::function<void()> action) { events_.emplace(time, std::move(action)); }

  void Send(std::size_t sender, std::span<const GatewayId> recipients, const Datagram& datagram) {
    for (const GatewayId id : recipients) {
      ++hosts_[sender].datagrams;
      const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < kLoss;
      if (!lost && hosts_[sender].state != HostState::kMute) {
        At(now_ + kNetworkDelay,
           [this, to = indexes_.at(id.value), datagram] { Receive(to, datagram); });
      }
    }
  }

  void Receive(std::size_t to, const Datagram& datagram) {
    Host& host = hosts_[to];
    if (host.state == HostState::kDown || host.state == HostState::kDeaf) {
      return;
    }
    ++host.datagrams;
    const bool foreign = hosts_[datagram.sender].self.zone != host.self.zone;
    host.router->RecordDatagram(
        {.sender = hosts_[datagram.sender].self.id,
         .sender_zone = hosts_[datagram.sender].self.zone,
         .hears_us = std::ranges::find(datagram.heard, host.self.id) != datagram.heard.end(),
         .wants_relay = datagram.wants_relay,
         .is_bundle = datagram.is_bundle},
        now_);
    for (const News& news : datagram.news) {
      host.news[news.origin] = std::max(host.news[news.origin], news.made);
    }
    if (datagram.wants_relay) {
      host.zone_news.insert(host.zone_news.end(), datagram.news.begin(), datagram.news.end());
    }
    if (datagram.is_bundle && foreign) {
      host.foreign_news.insert(host.foreign_news.end(), datagram.news.begin(), datagram.news.end());
    }
  }

  void SendRound(std::size_t index) {
    Host& host = hosts_[index];
    At(now_ + host.router->Interval(), [this, index] { SendRound(index); });
    if (host.state == HostState::kDown) {
      return;
    }
    std::vector<RoutingPeer> peers;
    std::vector<GatewayId> down_peers;
    for (const Host& other : hosts_) {
      const bool is_up = now_ - host.news[indexes_.at(other.self.id.value)] < milliseconds(1500) ||
                         now_ < Time{} + seconds(2);
      if (other.self.id != host.self.id && is_up) {
        peers.push_back(other.self);
      } else if (other.self.id != host.self.id &&
                 now_ - host.down_peers_contacted_at > seconds(1)) {
        down_peers.push_back(other.self.id);
      }
    }
    if (!down_peers.empty()) {
      host.down_peers_contacted_at = now_;
    }
    const ReportPlan plan = host.router->Plan(peers, now_);
    host.relay = plan.relay;
    Datagram datagram{.sender = index, .news = {{.origin = index, .made = now_}}};
    Send(index, plan.own_report, datagram);
    Send(index, down_peers, datagram);
    if (plan.relay) {
      datagram.wants_relay = true;
      Send(index, std::span(&*plan.relay, 1), datagram);
      datagram.wants_relay = false;
    }
    datagram.is_bundle = true;
    datagram.heard = host.router->HeardGateways(now_);
    std::ranges::move(std::exchange(host.zone_news, {}), std::back_inserter(datagram.news));
    Send(index, plan.zone_reports, datagram);
    std::ranges::move(std::exchange(host.foreign_news, {}), std::back_inserter(datagram.news));
    Send(index, plan.all_reports, datagram);
  }

  std::mt19937_64 random_{1};
  std::vector<Host> hosts_;
  std::map<std::uint64_t, std::size_t> indexes_;
  std::multimap<Time, std::function<void()>> events_;
  Time now_{};
};

Duration Mean(const std::vector<Duration>& ages) {
  Duration sum{0};
  std::ranges::for_each(ages, [&](Duration age) { sum += age; });
  return sum / static_cast<Duration::rep>(ages.size());
}

}  // namespace

TEST_CASE("a small fleet reports in a full mesh") {
  const auto router =
      MakeZoneRelayRouter({.self = {.id = {1}, .zone = HandleOf<ZoneId>("z"), .cpu_cores = 1}});
  const std::vector<RoutingPeer> peers{{.id = {2}, .zone = HandleOf<ZoneId>("z")},
                                       {.id = {3}, .zone = HandleOf<ZoneId>("y")}};
  const ReportPlan plan = router->Plan(peers, Time{seconds(1)});
  CHECK(plan.own_report == std::vector<GatewayId>{{2}, {3}});
  CHECK(!plan.relay);
  CHECK(plan.zone_reports.empty());
  CHECK(plan.all_reports.empty());
}

TEST_CASE("gateways of an older version get reports directly") {
  const auto router = MakeZoneRelayRouter(
      {.self = {.id = {1}, .zone = HandleOf<ZoneId>("z"), .cpu_cores = 1}, .min_peers = 1});
  const std::vector<RoutingPeer> peers{{.id = {2}}};
  CHECK(router->Plan(peers, Time{seconds(1)}).own_report == std::vector<GatewayId>{{2}});
}

TEST_CASE("news in a large fleet is fresh although gateways handle few datagrams") {
  struct Size {
    std::size_t gateways;
    std::size_t zones;
    Duration age;
  };
  for (const Size& size : {Size{.gateways = 103, .zones = 6, .age = milliseconds(150)},
                           Size{.gateways = 410, .zones = 6, .age = milliseconds(300)}}) {
    CAPTURE(size.gateways);
    Exchange exchange(size.gateways, size.zones);
    exchange.RunFor(seconds(4));
    exchange.ResetCounts();
    exchange.RunFor(seconds(2));
    const std::vector<Duration> ages = exchange.Ages();
    CHECK(Mean(ages) < size.age);
    CHECK(ages.back() < seconds(1));
    CHECK(exchange.MemberDatagramRate(seconds(2)) < 60);
  }
}

TEST_CASE("a relay that is down, mute or deaf is replaced within half a second") {
  for (const HostState state : {HostState::kDown, HostState::kMute, HostState::kDeaf}) {
    CAPTURE(static_cast<int>(state));
    Exchange exchange(103, 6);
    exchange.RunFor(seconds(4));
    const std::size_t relay = exchange.RelayOf(exchange.zone(0));
    exchange.SetState(relay, state);
    exchange.RunFor(milliseconds(700));
    CHECK(Mean(exchange.Ages()) < milliseconds(250));
    exchange.RunFor(milliseconds(800));
    CHECK(Mean(exchange.Ages()) < milliseconds(150));
    CHECK(exchange.RelayOf(exchange.zone(0)) != relay);
    exchange.SetState(relay, HostState::kUp);
    exchange.RunFor(seconds(5));
    CHECK(Mean(exchange.Ages()) < milliseconds(150));
  }
}

}  // namespace lagoonwind::policy
