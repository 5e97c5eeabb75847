#include "peers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock.h"
#include "lagoonwind/http.h"
#include "spawn.h"

namespace lagoonwind::gateway {
namespace {

using ErrorCode = boost::system::error_code;
using nlohmann::json;

/// Time without a report after which a peer is considered down.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1500);
/// Interval between reports to a peer that is down.
constexpr Duration kDownPeerReportInterval = std::chrono::seconds(1);
/// Time since a peer was last received or listed for which it counts towards the fleet's size.
constexpr Duration kFleetMemberTtl = std::chrono::seconds(20);
/// Time since a peer was last received or listed after which it is forgotten.
constexpr Duration kPeerExpiry = std::chrono::seconds(120);
/// Interval between reads of the list of gateways in the store.
constexpr std::chrono::seconds kPeerListInterval{30};
/// Pause after a failed registration, and between checks for a restored store.
constexpr std::chrono::seconds kRegistrationRetryPause{1};
/// Membership changes rarely, so only every twelfth report lists peers.
constexpr std::int64_t kReportsPerPeerList = 12;
/// Of the reports that a relay distributes, every third one states the sender's status, unless it
/// has changed.
constexpr std::int64_t kReportsPerStatus = 3;
/// Largest number of peer addresses in one report.
constexpr std::size_t kMaxListedPeers = 32;
/// Largest number of peers; bounds the effect of malformed reports.
constexpr std::size_t kMaxPeers = 4096;
/// Relayed reports per datagram, in bytes; below the maximum size of a datagram.
constexpr std::size_t kMaxBundleBytes = 32UL << 10U;

/// True if the report tells nothing that an earlier one did not.
bool IsEmpty(const wire::GatewayReport& report) {
  return !report.status && report.known_peers.empty() && report.engines.empty() &&
         report.segments.empty() && report.customers.empty() && report.crashes.empty() &&
         report.crash_victims.empty() && report.segment_responses.empty() &&
         !report.quarantined_segments && report.quarantined_requests.empty() &&
         report.request_responses.empty();
}

std::unique_ptr<policy::ReportRouter> MakeRouter(const Settings& settings) {
  const policy::RoutingPeer self{.id = HandleOf<policy::GatewayId>(settings.ip),
                                 .zone = HandleOf<ZoneId>(settings.zone),
                                 .cpu_cores = settings.cpu_cores};
  return policy::MakeZoneRelayRouter({.self = self});
}

/// Time after the start within which a peer is heard if there is any: a few intervals of reports.
constexpr Duration kFirstPeerWait = std::chrono::milliseconds(500);

}  // namespace

Peers::Peers(asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      socket_(io),
      acceptor_(io),
      copier_({.peer_port = options_.settings.peer_port,
               .acceptor = acceptor_,
               .fleet = options_.fleet,
               .suspects = options_.suspects,
               .log = options_.log,
               .find_newer_peer = [this] { return FindNewerPeer(); },
               .find_live_peer = [this](int number) { return FindLivePeer(number); }}),
      router_(MakeRouter(options_.settings)),
      created_(Now()) {
  std::ranges::for_each(options_.settings.seeds, [this](const auto& seed) { AddPeer(seed); });
}

absl::Status Peers::Start() {
  const auto endpoint =
      http::ParseEndpoint(absl::StrCat(options_.settings.ip, ":", options_.settings.peer_port));
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  ErrorCode error;
  socket_.open(Udp::v4(), error);
  if (!error) {
    socket_.bind(Udp::endpoint(endpoint->address(), endpoint->port()), error);
  }
  if (error) {
    return absl::UnavailableError(absl::StrCat("cannot open the peer port: ", error.message()));
  }
  absl::Status listening = http::Listen(acceptor_, *endpoint);
  if (!listening.ok()) {
    return listening;
  }
  StartService("receive_reports", [this] { return ReceiveReports(); });
  StartService("send_reports", [this] { return SendReports(); });
  StartService("register", [this] { return Register(); });
  StartService("copy_records", [this] { return copier_.CopyNewerRecords(); });
  StartService("copy_evidence", [this] { return copier_.CopyEvidence(); });
  StartService("serve_records", [this] { return copier_.ServeRecords(); });
  return absl::OkStatus();
}

void Peers::StartService(const char* name, std::function<asio::awaitable<void>()> service) {
  Spawn(io_, options_.log, name, KeepRunning(options_.log, name, std::move(service)));
}

Peers::Peer* Peers::FindOrAddPeer(const std::string& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) {
    return &found->second;
  }
  ErrorCode error;
  const auto ip = asio::ip::make_address(address, error);
  if (error || address == options_.settings.ip || peers_.size() >= kMaxPeers) {
    return nullptr;
  }
  Peer& peer = peers_[address];
  peer.id = HandleOf<policy::GatewayId>(address);
  peer.endpoint = Udp::endpoint(ip, options_.settings.peer_port);
  return &peer;
}

void Peers::AddPeer(const std::string& address) {
  if (Peer* peer = FindOrAddPeer(address); peer != nullptr) {
    peer->last_listed = Now();
  }
}

std::vector<Incarnation> Peers::Members() const {
  std::vector<Incarnation> members;
  const Time now = Now();
  for (const auto& [address, peer] : peers_) {
    if (now - std::max(peer.last_received, peer.last_listed) < kFleetMemberTtl) {
      members.push_back(peer.incarnation.valid() ? peer.incarnation : Incarnation{peer.id.value});
    }
  }
  return members;
}

int Peers::CountFleet() const { return static_cast<int>(Members().size()) + 1; }

bool Peers::IsOwner(std::uint64_t key, int owners) const {
  const std::uint64_t own_hash = CombineHashes(key, StableHash(options_.settings.ip));
  const auto preceding = std::ranges::count_if(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.is_up && !peer.leaving && CombineHashes(key, peer.id.value) > own_hash;
  });
  return preceding < owners;
}

void Peers::HandleDatagram(std::string_view datagram, const std::string& address) {
  auto report = wire::DecodeGatewayReport(datagram);
  if (!report.ok()) {
    options_.log.Write(Severity::kFailure, "peer_report_not_understood",
                       {{"peer", address}, {"reason", report.status().ToString()}});
    return;
  }
  if (report->sender == options_.incarnation) {
    return;
  }
  Peer* peer = FindOrAddPeer(address);
  if (peer == nullptr) {
    return;
  }
  ApplyReport(*report, *peer);
  const auto own_id = HandleOf<policy::GatewayId>(options_.settings.ip);
  const policy::DatagramInfo info{
      .sender = peer->id,
      .sender_zone = peer->zone,
      .hears_us = std::ranges::find(report->heard, own_id) != report->heard.end(),
      .wants_relay = report->wants_relay,
      .is_bundle = !report->heard.empty()};
  router_->RecordDatagram(info, Now());
  if (report->wants_relay) {
    zone_reports_.emplace_back(datagram);
  }
  const bool is_foreign_bundle =
      info.is_bundle && peer->zone != HandleOf<ZoneId>(options_.settings.zone);
  std::vector<std::string> relayed = std::move(report->relayed);
  for (std::string& encoded : relayed) {
    const auto other = wire::DecodeGatewayReport(encoded);
    if (other.ok() && other->sender != options_.incarnation) {
      ApplyRelayedReport(*other);
    }
    if (is_foreign_bundle && other.ok()) {
      foreign_reports_.push_back(std::move(encoded));
    }
  }
  if (is_foreign_bundle) {
    // The relay's own report is not among the relayed ones.
    report->relayed.clear();
    report->heard.clear();
    foreign_reports_.push_back(wire::EncodeGatewayReport(*report));
  }
}

void Peers::ApplyRelayedReport(const wire::GatewayReport& report) {
  if (report.status) {
    addresses_[report.sender] = report.status->address;
  }
  // A sender whose address is unknown states it in one of its next reports.
  const auto address = addresses_.find(report.sender);
  Peer* peer = address == addresses_.end() ? nullptr : FindOrAddPeer(address->second);
  if (peer != nullptr) {
    ApplyReport(report, *peer);
  }
}

void Peers::ApplyReport(const wire::GatewayReport& report, Peer& peer) {
  const bool restarted = peer.incarnation != report.sender;
  if (!restarted && report.number > 0 && report.number <= peer.last_number) {
    return;
  }
  if (!peer.is_up || restarted) {
    options_.log.Write(Severity::kState, "peer_up",
                       {{"peer", peer.endpoint.address().to_string()}});
  }
  live_count_ += peer.is_up ? 0 : 1;
  peer.is_up = true;
  peer.incarnation = report.sender;
  peer.last_number = report.number;
  peer.last_received = Now();
  if (report.status) {
    peer.zone = HandleOf<ZoneId>(report.status->zone);
    peer.cpu_cores = report.status->cpu_cores;
    peer.operator_position = {.generation = report.status->operator_generation,
                              .offset = report.status->operator_offset};
    peer.servers_position = {.generation = report.status->servers_generation,
                             .offset = report.status->servers_offset};
    peer.configuration_version = report.status->configuration_version;
    peer.held_evacuations = report.status->held_evacuations;
    peer.leaving = report.status->leaving;
    options_.fleet.PeerReachedStore(report.status->store_available_for,
                                    report.status->servers_generation, peer.last_received);
  }
  std::ranges::for_each(report.known_peers, [this](const std::string& other) {
    if (!peers_.contains(other)) {
      AddPeer(other);
    }
  });
  options_.on_report(report);
}

asio::awaitable<void> Peers::ReceiveReports() {
  for (;;) {
    Udp::endpoint sender;
    ErrorCode error;
    const std::size_t size = co_await socket_.async_receive_from(
        asio::buffer(receive_buffer_), sender, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      HandleDatagram({receive_buffer_.data(), size}, sender.address().to_string());
    }
  }
}

void Peers::UpdateLiveness(Time now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    if (peer.is_up && now - peer.last_received > kPeerTimeout) {
      peer.is_up = false;
      options_.log.Write(
          Severity::kState, "peer_silent",
          {{"peer", it->first}, {"silent_ms", Milliseconds(now - peer.last_received)}});
    }
    if (now - std::max(peer.last_received, peer.last_listed) > kPeerExpiry) {
      addresses_.erase(peer.incarnation);
      peers_.erase(it++);
    } else {
      ++it;
    }
  }
  live_count_ = static_cast<int>(
      std::ranges::count_if(peers_, [](const auto& item) { return item.second.is_up; }));
  fleet_size_ = CountFleet();
}

void Peers::Send(const std::string& datagram, Peer& peer, Time now) {
  peer.last_sent = now;
  ErrorCode error;
  socket_.send_to(asio::buffer(datagram), peer.endpoint, 0, error);
  // A lost report is superseded by the next one.
  sent_bytes_ += error ? 0 : datagram.size();
}

void Peers::SendTo(std::span<const policy::GatewayId> recipients,
                   std::span<const std::string> datagrams, Time now) {
  for (auto& [address, peer] : peers_) {
    if (std::ranges::find(recipients, peer.id) != recipients.end()) {
      for (const std::string& datagram : datagrams) {
        Send(datagram, peer, now);
      }
    }
  }
}

wire::GatewayReport Peers::MakeReport(const policy::ReportPlan& plan, Time now) {
  wire::GatewayReport report{.sender = options_.incarnation, .number = ++report_count_};
  const FleetState& fleet = options_.fleet;
  wire::GatewayStatus status{
      .operator_offset = fleet.offset(Topic::kOperator),
      .servers_offset = fleet.offset(Topic::kServers),
      .operator_generation = fleet.position(Topic::kOperator).generation,
      .servers_generation = fleet.position(Topic::kServers).generation,
      .configuration_version = fleet.configuration_version(),
      .held_evacuations = fleet.held_digest(),
      .store_available_for = std::chrono::duration_cast<milliseconds>(fleet.StoreReachableFor(now)),
      .leaving = leaving_,
      .address = options_.settings.ip,
      .zone = options_.settings.zone,
      .cpu_cores = options_.settings.cpu_cores};
  const bool changed = status.operator_offset != last_status_.operator_offset ||
                       status.servers_offset != last_status_.servers_offset ||
                       status.operator_generation != last_status_.operator_generation ||
                       status.servers_generation != last_status_.servers_generation ||
                       status.configuration_version != last_status_.configuration_version ||
                       status.held_evacuations != last_status_.held_evacuations ||
                       status.leaving != last_status_.leaving ||
                       (status.store_available_for == milliseconds(0)) !=
                           (last_status_.store_available_for == milliseconds(0));
  if (changed || !plan.relay || report_count_ % kReportsPerStatus == 0) {
    last_status_ = status;
    report.status = std::move(status);
  }
  const bool list_peers = report_count_ % kReportsPerPeerList == 1;
  for (const auto& [address, peer] : peers_) {
    if (list_peers && peer.is_up && report.known_peers.size() < kMaxListedPeers) {
      report.known_peers.push_back(address);
    }
  }
  options_.fill_report(report);
  return report;
}

std::vector<std::string> Peers::EncodeBundles(wire::GatewayReport report,
                                              std::span<const std::string> relayed, Time now) {
  report.heard = router_->HeardGateways(now);
  // Tells recipients that this is a bundle even if nobody is heard.
  report.heard.push_back(HandleOf<policy::GatewayId>(options_.settings.ip));
  std::vector<std::string> datagrams;
  std::size_t bytes = 0;
  for (const std::string& encoded : relayed) {
    if (bytes + encoded.size() > kMaxBundleBytes && !report.relayed.empty()) {
      datagrams.push_back(wire::EncodeGatewayReport(report));
      report.relayed.clear();
      bytes = 0;
    }
    bytes += encoded.size();
    report.relayed.push_back(encoded);
  }
  datagrams.push_back(wire::EncodeGatewayReport(report));
  return datagrams;
}

void Peers::SendRound(Time now) {
  std::vector<policy::RoutingPeer> live;
  for (const auto& [address, peer] : peers_) {
    if (peer.is_up) {
      live.push_back(
          {.id = peer.id, .zone = peer.zone, .cpu_cores = peer.cpu_cores, .leaving = peer.leaving});
    }
  }
  const policy::ReportPlan plan = router_->Plan(live, now);
  wire::GatewayReport report = MakeReport(plan, now);
  const std::vector<std::string> own{wire::EncodeGatewayReport(report)};
  SendTo(plan.own_report, own, now);
  for (auto& [address, peer] : peers_) {
    if (!peer.is_up && now - peer.last_sent >= kDownPeerReportInterval) {
      Send(own.front(), peer, now);
    }
  }
  if (plan.relay && !IsEmpty(report)) {
    report.wants_relay = true;
    const std::vector<std::string> request{wire::EncodeGatewayReport(report)};
    SendTo(std::span(&*plan.relay, 1), request, now);
    report.wants_relay = false;
  }
  std::vector<std::string> relayed = std::exchange(zone_reports_, {});
  if (!plan.zone_reports.empty()) {
    SendTo(plan.zone_reports, EncodeBundles(report, relayed, now), now);
  }
  std::ranges::move(std::exchange(foreign_reports_, {}), std::back_inserter(relayed));
  if (!plan.all_reports.empty()) {
    SendTo(plan.all_reports, EncodeBundles(std::move(report), relayed, now), now);
  }
}

asio::awaitable<void> Peers::SendReports() {
  asio::steady_timer timer(io_);
  socket_.non_blocking(true);
  for (;;) {
    const Time now = Now();
    UpdateLiveness(now);
    SendRound(now);
    timer.expires_after(router_->Interval());
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> Peers::Register() {
  asio::steady_timer timer(io_);
  bool registered = false;
  for (;;) {
    if (!registered) {
      Record record{.key = options_.settings.ip,
                    .value = json{{"port", options_.settings.peer_port}}.dump()};
      const absl::Status written = co_await options_.store.Write(Topic::kPeers, std::move(record));
      registered = written.ok();
      if (!registered) {
        options_.log.Write(Severity::kState, "registration_failed",
                           {{"reason", written.ToString()}});
      }
    }
    const auto page = co_await options_.store.ReadNewest(Topic::kPeers);
    if (page.ok()) {
      std::ranges::for_each(page->records, [this](const Record& record) {
        if (!peers_.contains(record.key)) {
          AddPeer(record.key);
        }
      });
      // A restored store may lack the record.
      registered = std::ranges::find(page->records, options_.settings.ip, &Record::key) !=
                   page->records.end();
    }
    if (registered && page.ok()) {
      co_await AwaitPeerListRead();
    } else {
      timer.expires_after(kRegistrationRetryPause);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
}

asio::awaitable<void> Peers::AwaitPeerListRead() {
  asio::steady_timer timer(io_);
  const Time until = Now() + kPeerListInterval;
  const std::int64_t generation = options_.fleet.position(Topic::kServers).generation;
  while (Now() < until && options_.fleet.position(Topic::kServers).generation == generation) {
    timer.expires_after(kRegistrationRetryPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

bool Peers::HasNewerRecords(const Peer& peer, Time now) const {
  const FleetState& fleet = options_.fleet;
  const auto is_newer = [&](Topic topic, StorePosition position) {
    position.generation = fleet.ResolveGeneration(topic, position.generation);
    return fleet.IsNewer(topic, position, now);
  };
  return is_newer(Topic::kOperator, peer.operator_position) ||
         is_newer(Topic::kServers, peer.servers_position) ||
         peer.configuration_version > fleet.configuration_version() ||
         fleet.MissesEvacuations(peer.operator_position.generation, peer.held_evacuations);
}

bool Peers::KnowsEvidence(Time now) const {
  const bool is_alone = live_count_ == 0 && now - created_ >= kFirstPeerWait;
  return is_alone || copier_.KnowsEvidence(now);
}

std::string Peers::FindLivePeer(int number) const {
  // Each gateway begins with another peer.
  const std::uint64_t own_hash = StableHash(options_.settings.ip);
  std::vector<std::pair<std::uint64_t, std::string>> live;
  for (const auto& [address, peer] : peers_) {
    if (peer.is_up) {
      live.emplace_back(CombineHashes(own_hash, peer.id.value), address);
    }
  }
  std::ranges::sort(live);
  return live.empty() ? std::string() : live[static_cast<std::size_t>(number) % live.size()].second;
}

std::string Peers::FindNewerPeer() const {
  const Time now = Now();
  const auto own_zone = HandleOf<ZoneId>(options_.settings.zone);
  const std::uint64_t own_hash = StableHash(options_.settings.ip);
  std::string newest;
  // Peers of the own zone first, and each gateway another one, so that no peer has to serve all.
  std::pair<bool, std::uint64_t> best{};
  for (const auto& [address, peer] : peers_) {
    const std::pair rank{peer.zone == own_zone, CombineHashes(own_hash, peer.id.value)};
    if (peer.is_up && HasNewerRecords(peer, now) && (newest.empty() || rank > best)) {
      newest = address;
      best = rank;
    }
  }
  return newest;
}

}  // namespace lagoonwind::gateway
