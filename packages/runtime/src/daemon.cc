#include "daemon.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "digest.h"
#include "lagoonwind/limits.h"
#include "operator_api.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr std::chrono::milliseconds kDrainPollInterval{50};
/// Number of consecutive polls that must find no work left before the daemon stops.
constexpr int kRequiredIdlePolls = 2;

Incarnation NewIncarnation() {
  std::uint64_t value = 0;
  const std::string bytes = RandomBytes(sizeof(value));
  std::memcpy(&value, bytes.data(), sizeof(value));
  return Incarnation{value | 1U};
}

policy::PolicyOptions PolicyOptionsOf(const Settings& settings, Incarnation incarnation) {
  return policy::PolicyOptions{.role = settings.role,
                               .name = settings.name,
                               .zone = settings.zone,
                               .incarnation = incarnation,
                               .seed = incarnation.value,
                               .tags = settings.backend_tags};
}

LinkOptions LinkOptionsOf(const Settings& settings, Incarnation incarnation, Metrics& metrics) {
  return LinkOptions{.name = settings.name,
                     .role = settings.role,
                     .zone = settings.zone,
                     .incarnation = incarnation,
                     .key = settings.link_key,
                     .traffic = &metrics.traffic()};
}

/// One daemon: its threads, ports, platform clients and role.
class Daemon {
 public:
  explicit Daemon(const Settings& settings)
      : settings_(settings),
        incarnation_(NewIncarnation()),
        signals_(io_, SIGTERM, SIGINT),
        link_acceptor_(io_),
        operator_acceptor_(io_),
        log_(platform::MakeHttpLogService(settings.platform_address)),
        hosts_(platform::MakeHttpHostList(settings.platform_address)),
        policy_(io_, policy::MakePolicy(PolicyOptionsOf(settings, incarnation_))),
        links_(io_, LinkOptionsOf(settings, incarnation_, metrics_), policy_),
        configuration_(io_, *log_, policy_),
        context_{.settings = settings_,
                 .incarnation = incarnation_,
                 .io = io_,
                 .policy = policy_,
                 .links = links_,
                 .configuration = configuration_,
                 .log = *log_,
                 .metrics = metrics_},
        role_(settings.role == policy::Role::kEntry ? MakeEntryDaemon(context_)
                                                    : MakeAgentDaemon(context_)),
        operator_api_(context_) {}

  int Run() {
    const absl::Status started = Start();
    if (!started.ok()) {
      LOG(ERROR) << "event=start_failed reason=\"" << started.message() << "\"";
      return kExitFailed;
    }
    std::vector<std::jthread> workers;
    for (int i = 1; i < settings_.threads; ++i) {
      workers.emplace_back([this] { io_.run(); });
    }
    io_.run();
    LOG(INFO) << "event=stopped name=" << settings_.name;
    return kExitOk;
  }

 private:
  absl::Status Start() {
    links_.Start(*role_);
    policy_.Start([this](const policy::Action& action) { Execute(action); }, metrics_);
    absl::Status status = Open(link_acceptor_, settings_.link_listen);
    if (status.ok()) {
      status = Open(operator_acceptor_, settings_.operator_listen);
    }
    if (status.ok()) {
      status = role_->Start();
    }
    if (!status.ok()) {
      return status;
    }
    asio::co_spawn(io_, links_.Accept(link_acceptor_), asio::detached);
    asio::co_spawn(io_, ServeOperators(), asio::detached);
    asio::co_spawn(io_, PollHostList(), asio::detached);
    asio::co_spawn(io_, DrainOnSignal(), asio::detached);
    return WriteAddresses();
  }

  static absl::Status Open(http::Tcp::acceptor& acceptor, const std::string& address) {
    const auto endpoint = http::ParseEndpoint(address);
    return endpoint.ok() ? http::Listen(acceptor, *endpoint) : endpoint.status();
  }

  absl::Status WriteAddresses() const {
    const nlohmann::json addresses{
        {"links", http::FormatEndpoint(link_acceptor_.local_endpoint())},
        {"operator", http::FormatEndpoint(operator_acceptor_.local_endpoint())},
        {"callers", role_->caller_address()}};
    LOG(INFO) << "event=started name=" << settings_.name << " addresses=" << addresses.dump();
    if (settings_.address_file.empty()) {
      return absl::OkStatus();
    }
    const std::string partial = settings_.address_file + ".partial";
    std::ofstream(partial) << addresses.dump() << "\n";
    std::error_code error;
    std::filesystem::rename(partial, settings_.address_file, error);
    return error ? absl::UnavailableError("cannot write the address file " + settings_.address_file)
                 : absl::OkStatus();
  }

  void Execute(const policy::Action& action) {
    if (!links_.Execute(action) && !configuration_.Execute(action)) {
      role_->Execute(action);
    }
  }

  asio::awaitable<void> ServeOperators() {
    const http::Handler handler = [this](http::Request request) {
      return operator_api_.Handle(std::move(request));
    };
    co_await http::Serve(operator_acceptor_, handler, limits::kMaxBodyBytes);
  }

  asio::awaitable<void> PollHostList() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
      auto members = co_await hosts_->Read();
      std::size_t count = 0;
      if (members.ok()) {
        count = members->size();
        policy_.Post(policy::MembersListed{.members = *std::move(members)});
      }
      timer.expires_after(std::max<std::chrono::milliseconds>(
          limits::kHostListPollInterval, count * limits::kHostListPollIntervalPerHost));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<void> DrainOnSignal() {
    co_await signals_.async_wait(asio::use_awaitable);
    LOG(INFO) << "event=draining name=" << settings_.name;
    policy_.Post(policy::DrainRequested{});
    // Requires two idle polls in a row: work that moves from one table to another during a poll can
    // be missed by it, but not by the next.
    for (int idle_polls = 0; idle_polls < kRequiredIdlePolls;) {
      co_await WaitForDrainPoll();
      idle_polls = role_->Idle() && links_.Flushed() ? idle_polls + 1 : 0;
    }
    // An orderly shutdown lets peers read everything that was sent; a connection reset could make
    // them lose data.
    links_.Shutdown();
    const auto deadline = std::chrono::steady_clock::now() + limits::kLinkTimeout;
    while (!links_.empty() && std::chrono::steady_clock::now() < deadline) {
      co_await WaitForDrainPoll();
    }
    io_.stop();
  }

  static asio::awaitable<void> WaitForDrainPoll() {
    asio::steady_timer timer(co_await asio::this_coro::executor, kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }

  Settings settings_;
  Incarnation incarnation_;
  asio::io_context io_;
  asio::signal_set signals_;
  http::Tcp::acceptor link_acceptor_;
  http::Tcp::acceptor operator_acceptor_;
  std::unique_ptr<platform::LogService> log_;
  std::unique_ptr<platform::HostList> hosts_;
  Metrics metrics_;
  PolicyRunner policy_;
  LinkManager links_;
  ConfigurationStore configuration_;
  DaemonContext context_;
  std::unique_ptr<RoleDaemon> role_;
  OperatorApi operator_api_;
};

}  // namespace

int RunDaemon(const Settings& settings) { return Daemon(settings).Run(); }

}  // namespace lagoonwind::runtime
