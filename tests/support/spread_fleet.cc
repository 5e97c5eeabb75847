#include "spread_fleet.h"

#include <algorithm>
#include <iterator>
#include <numeric>

#include "gossip_messages.h"
#include "lagoonwind/limits.h"
#include "lagoonwind/wire.h"

namespace lagoonwind::testing {
namespace {

constexpr std::chrono::milliseconds kTick{10};
constexpr std::chrono::milliseconds kIdleStep{100};
constexpr std::uint64_t kTopologySalt = 17;

}  // namespace

SpreadFleet::SpreadFleet(const SpreadFleetOptions& options) : options_(options) {
  processes_.resize(Index(options.entries + options.agents));
  for (int i = 0; i < size(); ++i) {
    const std::string name = "process-" + std::to_string(i);
    processes_[Index(i)].member = {
        .id = HandleOf<MemberId>(name),
        .name = name,
        .role = i < options.entries ? policy::Role::kEntry : policy::Role::kAgent,
        .zone = HandleOf<ZoneId>("z" + std::to_string(zone(i))),
        .address = name};
    hosts_.push_back(processes_[Index(i)].member);
  }
  std::vector<int> agents(Index(options.agents));
  std::iota(agents.begin(), agents.end(), options.entries);
  const auto max_links = Index(options.links == 0 ? options.agents : options.links);
  for (int entry = 0; entry < options.entries; ++entry) {
    std::ranges::sort(agents, {}, [&](int agent) {
      return CombineHashes(CombineHashes(Index(entry), Index(agent)), kTopologySalt);
    });
    for (std::size_t k = 0; k < std::min(max_links, agents.size()); ++k) {
      processes_[Index(entry)].links.push_back(links_.size());
      processes_[Index(agents[k])].links.push_back(links_.size());
      links_.push_back(Link{.entry = entry, .agent = agents[k]});
    }
  }
  Apply(options.rules);
  for (int i = 0; i < size(); ++i) {
    Restart(i);
  }
}

std::int64_t SpreadFleet::Apply(const std::string& text) {
  RulesHistory history;
  for (std::size_t i = 0; i < log_.records.size(); ++i) {
    history.Replay(static_cast<std::int64_t>(i), log_.records[i]);
  }
  log_.records.push_back(EncodeProposal(
      {.base = history.current()->offset, .nonce = std::to_string(history.next()), .text = text}));
  return history.next();
}

void SpreadFleet::PublishHosts() {
  for (int i = 0; i < size(); ++i) {
    Post(i, policy::MembersListed{.members = hosts_});
  }
}

void SpreadFleet::Run(Duration time) {
  const Time end = now_ + time;
  while (now_ < end) {
    Tick();
  }
}

Duration SpreadFleet::RunUntil(const std::function<bool()>& condition, Duration max_wait) {
  const Time start = now_;
  while (!condition() && now_ < start + max_wait) {
    Tick();
  }
  return condition() ? now_ - start : max_wait;
}

void SpreadFleet::Kill(int i) {
  Process& process = processes_[Index(i)];
  process.policy = nullptr;
  process.inbox.clear();
  process.frozen = false;
  for (const std::size_t link : process.links) {
    SetLinkState(links_[link], false);
  }
}

void SpreadFleet::Restart(int i) {
  Kill(i);
  Process& process = processes_[Index(i)];
  ++process.start_count;
  process.version = {};
  process.policy = policy::MakePolicy(
      {.role = process.member.role,
       .name = process.member.name,
       .zone = "z" + std::to_string(zone(i)),
       .incarnation = {CombineHashes(process.member.id.value, process.start_count)}});
  process.next_step = now_ + Duration(i * 1000 % 100'000);
  Post(i, policy::MembersListed{.members = hosts_});
}

void SpreadFleet::CutZone(int zone, bool cut) {
  for (int i = 0; i < size(); ++i) {
    if (this->zone(i) == zone) {
      processes_[Index(i)].zone_cut = cut;
      processes_[Index(i)].log_cut = cut;
    }
  }
}

void SpreadFleet::Post(int i, policy::Event event) {
  if (alive(i)) {
    processes_[Index(i)].inbox.push_back({.at = now_, .event = std::move(event)});
  }
}

bool SpreadFleet::AllHaveConfiguration(std::int64_t offset) const {
  return std::ranges::all_of(processes_, [&](const Process& process) {
    return process.policy == nullptr || process.frozen || process.version.offset == offset;
  });
}

void SpreadFleet::Tick() {
  now_ += kTick;
  for (auto& link : links_) {
    UpdateLink(link);
  }
  for (int i = 0; i < size(); ++i) {
    const Process& process = processes_[Index(i)];
    const bool due = std::ranges::any_of(process.inbox, [&](auto& d) { return d.at <= now_; });
    if (alive(i) && !process.frozen && (due || now_ >= process.next_step)) {
      Step(i);
    }
  }
}

bool SpreadFleet::Reachable(const Link& link) const {
  const Process& entry = processes_[Index(link.entry)];
  const Process& agent = processes_[Index(link.agent)];
  const bool both_running = entry.policy && agent.policy && !entry.frozen && !agent.frozen;
  const bool zones_connected =
      zone(link.entry) == zone(link.agent) || (!entry.zone_cut && !agent.zone_cut);
  return both_running && zones_connected && !entry.links_cut && !agent.links_cut;
}

void SpreadFleet::UpdateLink(Link& link) {
  if (Reachable(link)) {
    link.last_received = now_;
    if (!link.up) {
      SetLinkState(link, true);
    }
  } else if (link.up && now_ - link.last_received > limits::kLinkTimeout) {
    SetLinkState(link, false);
  }
  if (link.up && now_ >= link.next_ping) {
    link.next_ping = now_ + limits::kHeartbeatInterval;
    SendVersion(link.entry, link.agent);
    SendVersion(link.agent, link.entry);
  }
}

void SpreadFleet::SetLinkState(Link& link, bool up) {
  if (link.up == up) {
    return;
  }
  link.up = up;
  const auto post = [&](int to, int about) {
    const Process& other = processes_[Index(about)];
    if (up) {
      const Incarnation incarnation{CombineHashes(other.member.id.value, other.start_count)};
      Post(to, policy::LinkUp{.member = other.member, .incarnation = incarnation});
    } else {
      Post(to, policy::LinkDown{.member = other.member.id});
    }
  };
  post(link.entry, link.agent);
  post(link.agent, link.entry);
  link.next_ping = now_;
}

void SpreadFleet::SendVersion(int from, int to) {
  const auto message = runtime::MessageOf(processes_[Index(from)].version, now_);
  const MemberId id = processes_[Index(from)].member.id;
  Send(from, to, *runtime::GossipEventOf(id, message), wire::EncodeFrame(message).size());
}

void SpreadFleet::Step(int i) {
  Process& process = processes_[Index(i)];
  std::vector<policy::Event> events;
  std::vector<Delivery> later;
  for (auto& delivery : process.inbox) {
    if (delivery.at <= now_) {
      events.push_back(std::move(delivery.event));
    } else {
      later.push_back(std::move(delivery));
    }
  }
  process.inbox = std::move(later);
  process.next_step = now_ + kIdleStep;
  for (const auto& action : process.policy->Step(now_, events)) {
    Execute(i, action);
  }
}

void SpreadFleet::Execute(int i, const policy::Action& action) {
  if (const auto* version = std::get_if<policy::AnnounceVersion>(&action)) {
    regressed_ = regressed_ || version->offset < processes_[Index(i)].version.offset;
    processes_[Index(i)].version = *version;
    if (version->urgent) {
      ForEachPeer(i, [&](int to) { SendVersion(i, to); });
    }
  } else if (const auto* read = std::get_if<policy::ReadRules>(&action)) {
    Read(i, read->from);
  } else if (const auto* append = std::get_if<policy::AppendRules>(&action)) {
    if (!log_.down && !processes_[Index(i)].log_cut) {
      ++log_.appends;
      log_.records.push_back(append->record);
    }
  } else if (const auto* request = std::get_if<policy::RequestConfiguration>(&action)) {
    const auto message = runtime::MessageOf(*request);
    Send(i, IndexOf(request->member),
         *runtime::GossipEventOf(processes_[Index(i)].member.id, message),
         wire::EncodeFrame(message).size());
  } else if (const auto* text = std::get_if<policy::SendConfiguration>(&action)) {
    SendConfiguration(i, *text);
  } else if (std::holds_alternative<policy::SendLeaving>(action)) {
    const policy::MemberLeaving event{.member = processes_[Index(i)].member.id};
    ForEachPeer(i, [&](int to) { Send(i, to, event, 0); });
  }
}

void SpreadFleet::SendConfiguration(int i, const policy::SendConfiguration& text) {
  const auto message = runtime::MessageOf(text);
  Send(i, IndexOf(text.member), *runtime::GossipEventOf(processes_[Index(i)].member.id, message),
       wire::EncodeFrame(message).size());
}

void SpreadFleet::Read(int i, std::int64_t from) {
  Process& process = processes_[Index(i)];
  ++log_.reads;
  policy::RulesRead event{.ok = !log_.down && !process.log_cut};
  Duration delay = limits::kPlatformTimeout;
  if (event.ok) {
    delay = options_.log_latency;
    event.first_offset = log_.first;
    event.next_offset = static_cast<std::int64_t>(log_.records.size());
    for (auto offset = std::max(from, log_.first); offset < event.next_offset; ++offset) {
      event.records.push_back(
          {.offset = offset, .data = log_.records[static_cast<std::size_t>(offset)]});
    }
  }
  log_.records_read += event.records.size();
  process.inbox.push_back({.at = now_ + delay, .event = std::move(event)});
}

void SpreadFleet::Send(int from, int to, policy::Event event, std::size_t bytes) {
  const auto& links = processes_[Index(from)].links;
  const auto found = std::ranges::find_if(links, [&](std::size_t link) {
    return links_[link].entry == to || links_[link].agent == to;
  });
  if (found == links.end() || !links_[*found].up) {
    return;
  }
  processes_[Index(from)].bytes += bytes;
  const Process& target = processes_[Index(to)];
  if (Reachable(links_[*found]) || (target.frozen && !processes_[Index(from)].frozen)) {
    processes_[Index(to)].inbox.push_back(
        {.at = now_ + options_.latency, .event = std::move(event)});
  }
}

int SpreadFleet::IndexOf(MemberId member) const {
  const auto found = std::ranges::find_if(
      processes_, [&](const Process& process) { return process.member.id == member; });
  return static_cast<int>(found - processes_.begin());
}

template <class Visit>
void SpreadFleet::ForEachPeer(int i, const Visit& visit) {
  for (const std::size_t link : processes_[Index(i)].links) {
    visit(links_[link].entry == i ? links_[link].agent : links_[link].entry);
  }
}

}  // namespace lagoonwind::testing
