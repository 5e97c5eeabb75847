#include "peers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "clock.h"
#include "lagoonwind/http.h"
#include "spawn.h"

namespace lagoonwind::gateway {
namespace {

using ErrorCode = boost::system::error_code;
using nlohmann::json;

/// Interval between reports; short compared with the time in which engines' queues change.
constexpr milliseconds kReportInterval{80};
/// The report interval is at least this long per live peer; bounds the rate of received datagrams.
constexpr milliseconds kIntervalPerPeer{6};
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
/// Interval between searches for a peer with newer records.
constexpr milliseconds kCopyInterval{250};
constexpr milliseconds kCopyTimeout{1500};
constexpr std::string_view kRecordsPath = "/records";
/// Membership changes rarely, so only every twelfth report lists peers.
constexpr std::uint64_t kReportsPerPeerList = 12;
/// Largest number of peer addresses in one report.
constexpr std::size_t kMaxListedPeers = 32;

const std::array<std::pair<const char*, Topic>, 2> kCopiedTopics{
    {{"operator", Topic::kOperator}, {"servers", Topic::kServers}}};

RecordPage ParsePage(const json& topic) {
  RecordPage page{.next_offset = topic.at("next_offset")};
  for (const auto& [key, value] : topic.at("records").items()) {
    page.records.push_back({.key = key, .value = value.get<std::string>()});
  }
  return page;
}

}  // namespace

Peers::Peers(asio::io_context& io, Options options)
    : io_(io), options_(std::move(options)), socket_(io), acceptor_(io) {
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
  Spawn(io_, options_.log, "receive_reports", ReceiveReports());
  Spawn(io_, options_.log, "send_reports", SendReports());
  Spawn(io_, options_.log, "register", Register());
  Spawn(io_, options_.log, "copy_records", CopyNewerRecords());
  Spawn(io_, options_.log, "serve_records", ServeRecords());
  return absl::OkStatus();
}

void Peers::AddPeer(const std::string& address) {
  if (address != options_.settings.ip && http::ParseEndpoint(absl::StrCat(address, ":1")).ok()) {
    peers_[address].last_listed = Now();
  }
}

int Peers::live_count() const {
  return static_cast<int>(
      std::ranges::count_if(peers_, [](const auto& item) { return item.second.is_up; }));
}

int Peers::fleet_size() const {
  const Time now = Now();
  const auto is_member = [&](const auto& item) {
    const Peer& peer = item.second;
    return now - std::max(peer.last_received, peer.last_listed) < kFleetMemberTtl;
  };
  return static_cast<int>(std::ranges::count_if(peers_, is_member)) + 1;
}

bool Peers::IsOwner(std::uint64_t key, int owners) const {
  const std::uint64_t own_hash = CombineHashes(key, StableHash(options_.settings.ip));
  const auto preceding = std::ranges::count_if(peers_, [&](const auto& item) {
    return item.second.is_up && !item.second.leaving &&
           CombineHashes(key, StableHash(item.first)) > own_hash;
  });
  return preceding < owners;
}

void Peers::HandleReport(std::string_view datagram, const std::string& address) {
  const auto report = wire::DecodeGatewayReport(datagram);
  if (!report.ok()) {
    options_.log.Write(Severity::kFailure, "peer_report_not_understood",
                       {{"peer", address}, {"reason", report.status().ToString()}});
    return;
  }
  if (report->sender == options_.incarnation) {
    return;
  }
  Peer& peer = peers_[address];
  if (!peer.is_up || peer.incarnation != report->sender) {
    options_.log.Write(Severity::kState, "peer_up", {{"peer", address}});
  }
  peer.is_up = true;
  peer.incarnation = report->sender;
  peer.last_received = Now();
  peer.operator_offset = report->operator_offset;
  peer.servers_offset = report->servers_offset;
  peer.leaving = report->leaving;
  options_.fleet.PeerReachedStore(report->store_available_for, peer.last_received);
  for (const std::string& other : report->known_peers) {
    if (!peers_.contains(other)) {
      AddPeer(other);
    }
  }
  options_.on_report(*report);
}

asio::awaitable<void> Peers::ReceiveReports() {
  for (;;) {
    Udp::endpoint sender;
    ErrorCode error;
    const std::size_t size = co_await socket_.async_receive_from(
        asio::buffer(receive_buffer_), sender, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      HandleReport({receive_buffer_.data(), size}, sender.address().to_string());
    }
  }
}

void Peers::UpdateLiveness(Time now) {
  for (auto& [address, peer] : peers_) {
    if (peer.is_up && now - peer.last_received > kPeerTimeout) {
      peer.is_up = false;
      options_.log.Write(
          Severity::kState, "peer_silent",
          {{"peer", address}, {"silent_ms", Milliseconds(now - peer.last_received)}});
    }
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    const Peer& peer = it->second;
    if (now - std::max(peer.last_received, peer.last_listed) > kPeerExpiry) {
      peers_.erase(it++);
    } else {
      ++it;
    }
  }
}

void Peers::SendToPeers(const std::string& datagram, Time now) {
  for (auto& [address, peer] : peers_) {
    if (!peer.is_up && now - peer.last_sent < kDownPeerReportInterval) {
      continue;
    }
    peer.last_sent = now;
    ErrorCode error;
    socket_.send_to(asio::buffer(datagram),
                    Udp::endpoint(asio::ip::make_address(address), options_.settings.peer_port), 0,
                    error);
    // A lost report is superseded by the next one.
    sent_bytes_ += error ? 0 : datagram.size();
  }
}

asio::awaitable<void> Peers::SendReports() {
  asio::steady_timer timer(io_);
  socket_.non_blocking(true);
  for (;;) {
    const Time now = Now();
    UpdateLiveness(now);
    wire::GatewayReport report{.sender = options_.incarnation,
                               .operator_offset = options_.fleet.offset(Topic::kOperator),
                               .servers_offset = options_.fleet.offset(Topic::kServers),
                               .store_available_for = std::chrono::duration_cast<milliseconds>(
                                   options_.fleet.StoreReachableFor(now)),
                               .leaving = leaving_};
    const bool list_peers = report_count_++ % kReportsPerPeerList == 0;
    for (const auto& [address, peer] : peers_) {
      if (list_peers && peer.is_up && report.known_peers.size() < kMaxListedPeers) {
        report.known_peers.push_back(address);
      }
    }
    options_.fill_report(report);
    SendToPeers(wire::EncodeGatewayReport(report), now);
    timer.expires_after(std::max(kReportInterval, kIntervalPerPeer * live_count()));
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
    }
    timer.expires_after(registered && page.ok() ? kPeerListInterval : std::chrono::seconds(1));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::string Peers::RecordsJson() const {
  json topics;
  for (const auto& [name, topic] : kCopiedTopics) {
    topics[name] = {{"next_offset", options_.fleet.offset(topic)},
                    {"records", options_.fleet.records(topic)}};
  }
  return topics.dump(-1, ' ', false, json::error_handler_t::replace);
}

asio::awaitable<void> Peers::ServeRecords() {
  const http::Handler handler = [this](http::Request request) -> asio::awaitable<http::Response> {
    if (request.target != kRecordsPath) {
      co_return http::Response{.status = 404};
    }
    co_return http::Response{
        .status = 200, .content_type = "application/json", .body = RecordsJson()};
  };
  co_await http::Serve(acceptor_, handler, 0);
}

std::string Peers::FindNewerPeer() const {
  std::string newest;
  std::int64_t offset = options_.fleet.offset(Topic::kOperator);
  for (const auto& [address, peer] : peers_) {
    if (peer.is_up && peer.operator_offset > offset) {
      newest = address;
      offset = peer.operator_offset;
    }
  }
  if (!newest.empty()) {
    return newest;
  }
  offset = options_.fleet.offset(Topic::kServers);
  for (const auto& [address, peer] : peers_) {
    if (peer.is_up && peer.servers_offset > offset) {
      newest = address;
      offset = peer.servers_offset;
    }
  }
  return newest;
}

asio::awaitable<absl::Status> Peers::CopyFrom(std::string address) {
  http::Request request{.target = std::string(kRecordsPath)};
  const std::string endpoint = absl::StrCat(address, ":", options_.settings.peer_port);
  const auto response = co_await http::Fetch(endpoint, std::move(request), kCopyTimeout);
  if (!response.ok()) {
    co_return response.status();
  }
  const json body = json::parse(response->body, nullptr, false);
  try {
    for (const auto& [name, topic] : kCopiedTopics) {
      options_.fleet.Apply(topic, ParsePage(body.at(name)), true, "peer", Now());
    }
  } catch (const json::exception& error) {
    co_return absl::DataLossError(error.what());
  }
  co_return absl::OkStatus();
}

asio::awaitable<void> Peers::CopyNewerRecords() {
  asio::steady_timer timer(io_);
  std::string previous_newer;
  for (;;) {
    // A peer counts as newer only if it still is after one interval: normally the store sends new
    // records to all gateways within that time.
    const std::string newer = FindNewerPeer();
    if (!newer.empty() && !previous_newer.empty()) {
      const absl::Status copied = co_await CopyFrom(newer);
      options_.log.Write(Severity::kState, "records_copied",
                         {{"peer", newer},
                          {"outcome", copied.ToString()},
                          {"operator_offset", options_.fleet.offset(Topic::kOperator)},
                          {"servers_offset", options_.fleet.offset(Topic::kServers)}});
    }
    previous_newer = newer;
    timer.expires_after(kCopyInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace lagoonwind::gateway
