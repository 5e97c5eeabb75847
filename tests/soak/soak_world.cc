#include "soak_world.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>

namespace lagoonwind::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// Time that backend servers take for a request, and between the events of a stream.
constexpr milliseconds kWorkTime{8};
/// Ids of requests that only look whether a gateway serves.
constexpr std::string_view kProbePrefix = "probe";

constexpr std::array kLinkFaults{LinkFault::kDelayed, LinkFault::kReset, LinkFault::kCutToServer,
                                 LinkFault::kCutToCaller, LinkFault::kSilent};
constexpr std::array kModes{ServerMode::kFail, ServerMode::kNotRun, ServerMode::kLoseResponse,
                            ServerMode::kHang, ServerMode::kBreakStream};

template <class Values>
auto Pick(const Values& values, int variant) {
  return values.at(static_cast<std::size_t>(variant) % values.size());
}

}  // namespace

SoakWorld::SoakWorld(int gateways, int servers) : work_(io_.get_executor()) {
  platform_.SetProcessingTime(kWorkTime);
  platform_.Configure(version_);
  store_proxy_ = std::make_unique<FaultProxy>(io_, platform_.store_address());
  platform_.SetStoreAddress(store_proxy_->address());
  for (int i = 0; i < servers; ++i) {
    const bool is_model = i % 2 == 0;
    Server server{.name = absl::StrCat("server-", i, "-1"), .service = is_model ? "model" : "desk"};
    server.proxy = std::make_unique<FaultProxy>(io_, platform_.OpenServer(server.name));
    Register(server);
    servers_.push_back(std::move(server));
  }
  thread_ = std::jthread([this] { io_.run(); });
  gateways_.resize(static_cast<std::size_t>(gateways));
  for (int i = 0; i < gateways; ++i) {
    StartGateway(i);
  }
  for (int i = 0; i < gateways; ++i) {
    PlatformWorld::Await([&] { return PlatformWorld::Readiness(i + 1) == 200; });
  }
}

SoakWorld::~SoakWorld() { io_.stop(); }

void SoakWorld::StartGateway(int index) {
  gateways_[static_cast<std::size_t>(index)] = &platform_.StartGateway(index + 1, false);
}

void SoakWorld::Register(const Server& server, const char* state) {
  platform_.Register({.name = server.name,
                      .service = server.service,
                      .address = server.proxy->address(),
                      .state = state});
}

void SoakWorld::NoteEnded() {
  for (const Process* gateway : gateways_) {
    if (gateway->running() && gateway->HasExited()) {
      findings_.push_back(absl::StrCat("ENDED ", gateway->name(), ": by itself"));
    }
  }
}

void SoakWorld::BeginGateway(const Step& step) {
  Process& gateway = *gateways_[static_cast<std::size_t>(step.subject)];
  switch (step.trouble) {
    case Trouble::kStopGateway:
      stopped_[&step] = &gateway;
      gateway.Signal(SIGTERM);
      break;
    case Trouble::kReloadGateway:
      gateway.Signal(SIGHUP);
      break;
    case Trouble::kPauseGateway:
      gateway.Signal(SIGSTOP);
      break;
    default:
      stopped_[&step] = &gateway;
      gateway.Kill();
  }
}

void SoakWorld::BeginServer(const Step& step) {
  Server& server = servers_[static_cast<std::size_t>(step.subject)];
  switch (step.trouble) {
    case Trouble::kServerLink:
      server.proxy->SetFault(Pick(kLinkFaults, step.variant));
      break;
    case Trouble::kServerMode:
      platform_.SetMode(server.name, Pick(kModes, step.variant));
      break;
    case Trouble::kRestartServer: {
      // The list shows the new one only when the trouble ends.
      server.proxy->SetFault(LinkFault::kReset);
      server.proxy->SetFault(LinkFault::kNone);
      const std::string old = server.name;
      server.name = absl::StrCat("server-", step.subject, "-", ++server.starts);
      platform_.Rename(old, server.name);
      platform_.Delete("keyed.servers", old);
      break;
    }
    case Trouble::kDrainServer:
      Register(server, "draining");
      break;
    default:
      platform_.Delete("keyed.servers", server.name);
  }
}

void SoakWorld::Begin(const Step& step) {
  switch (step.trouble) {
    case Trouble::kStopGateway:
    case Trouble::kReloadGateway:
    case Trouble::kPauseGateway:
    case Trouble::kKillGateway:
      BeginGateway(step);
      break;
    case Trouble::kNewConfiguration:
      platform_.Configure(++version_);
      break;
    case Trouble::kStoreLink:
      store_proxy_->SetFault(Pick(kLinkFaults, step.variant));
      break;
    case Trouble::kStoreDown:
      platform_.SetStoreDown(true);
      break;
    case Trouble::kAllRefuse:
      for (const Server& server : servers_) {
        platform_.SetMode(server.name, ServerMode::kNotRun);
      }
      break;
    default:
      BeginServer(step);
  }
}

void SoakWorld::End(const Step& step) {
  switch (step.trouble) {
    case Trouble::kStopGateway:
    case Trouble::kKillGateway: {
      Process* gateway = gateways_[static_cast<std::size_t>(step.subject)];
      // Another step may have started it anew meanwhile.
      if (stopped_[&step] == gateway) {
        gateway->Kill();
        StartGateway(step.subject);
      }
      break;
    }
    case Trouble::kPauseGateway:
      gateways_[static_cast<std::size_t>(step.subject)]->Signal(SIGCONT);
      break;
    case Trouble::kStoreLink:
      store_proxy_->SetFault(LinkFault::kNone);
      break;
    case Trouble::kStoreDown:
      platform_.SetStoreDown(false);
      break;
    case Trouble::kAllRefuse:
      for (const Server& server : servers_) {
        platform_.SetMode(server.name, ServerMode::kRespond);
      }
      break;
    case Trouble::kServerLink:
      servers_[static_cast<std::size_t>(step.subject)].proxy->SetFault(LinkFault::kNone);
      break;
    case Trouble::kServerMode:
      platform_.SetMode(servers_[static_cast<std::size_t>(step.subject)].name,
                        ServerMode::kRespond);
      break;
    case Trouble::kRestartServer:
    case Trouble::kVanishServer:
    case Trouble::kDrainServer:
      Register(servers_[static_cast<std::size_t>(step.subject)]);
      break;
    default:
      break;
  }
}

void SoakWorld::Play(const std::vector<Step>& plan) {
  struct Event {
    milliseconds at;
    bool begins;
    const Step* step;
  };
  std::vector<Event> events;
  for (const Step& step : plan) {
    events.push_back({step.at, true, &step});
    events.push_back({step.at + step.length, false, &step});
  }
  std::ranges::stable_sort(events, {}, &Event::at);
  const auto start = Clock::now();
  for (const Event& event : events) {
    std::this_thread::sleep_until(start + event.at);
    if (event.begins) {
      Begin(*event.step);
    } else {
      End(*event.step);
    }
  }
}

bool SoakWorld::Serves(int gateway) {
  constexpr std::array<const char*, 4> kTargets{"/plan/0", "/chat/0", "/book/0", "/look/0"};
  const std::vector<http::Field> fields{{.name = "Authorization", .value = "Bearer key1"},
                                        {.name = "X-Token-Usage", .value = "300,20"},
                                        {.name = "X-Prompt-Prefix", .value = "aa:200,bb:100"}};
  try {
    Caller caller(PlatformWorld::CallerAddress(gateway));
    return std::ranges::all_of(kTargets, [&](const char* target) {
      const std::string id = absl::StrCat(std::string(kProbePrefix), ++probes_);
      const auto answer = caller.Send("POST", target, id, fields, "probe");
      return answer.status == 200 && answer.complete;
    });
  } catch (const boost::system::system_error&) {
    // It doesn't listen yet, or closed the connection.
    return false;
  }
}

std::vector<std::string> SoakWorld::Heal() {
  NoteEnded();
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    gateways_[i]->Signal(SIGCONT);
    if (!gateways_[i]->running()) {
      StartGateway(static_cast<int>(i));
    }
  }
  store_proxy_->SetFault(LinkFault::kNone);
  platform_.SetStoreDown(false);
  for (const Server& server : servers_) {
    server.proxy->SetFault(LinkFault::kNone);
    platform_.SetMode(server.name, ServerMode::kRespond);
    Register(server);
  }
  for (int gateway = 1; gateway <= static_cast<int>(gateways_.size()); ++gateway) {
    if (!PlatformWorld::Await([&] { return Serves(gateway); })) {
      findings_.push_back(absl::StrCat("RECOVER gateway ", gateway, ": doesn't serve"));
    }
  }
  return findings_;
}

std::vector<std::string> SoakWorld::StopAll() {
  std::vector<std::string> findings;
  for (const Process* gateway : gateways_) {
    gateway->Signal(SIGTERM);
  }
  for (Process* gateway : gateways_) {
    if (!PlatformWorld::Await([&] { return gateway->HasExited(); })) {
      findings.push_back(absl::StrCat("STOP ", gateway->name(), ": still runs"));
      gateway->Kill();
    } else if (const int code = gateway->Wait(); code != 0) {
      findings.push_back(absl::StrCat("STOP ", gateway->name(), ": exit code ", code));
    }
  }
  return findings;
}

std::vector<ReceivedRequest> SoakWorld::Seen() const {
  auto seen = platform_.ReceivedRequests();
  std::erase_if(seen, [](const ReceivedRequest& one) {
    return http::FindField(one.request.fields, "X-Attempt-Id").starts_with(kProbePrefix);
  });
  return seen;
}

}  // namespace lagoonwind::testing
