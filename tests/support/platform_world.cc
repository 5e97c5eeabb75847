#include "platform_world.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kCallerPort = 18001;
constexpr int kReadinessPort = 18002;
constexpr int kPeerPort = 18003;
/// Must match deploy/system.toml.
constexpr int kMetricsPort = 9180;
constexpr milliseconds kPollInterval{10};
constexpr int kMaxPolls = 1500;
constexpr int kStreamEvents = 4;
constexpr std::size_t kMaxServerBodyBytes = 8UL << 20U;
constexpr std::string_view kEngineService = "model";

/// \return A loopback address that depends on the process id, so that tests can run in parallel.
std::string IpOf(int number) {
  constexpr int kOctetValues = 250;
  const int pid = getpid();
  return absl::StrCat("127.", 1 + pid / kOctetValues % kOctetValues, ".", 1 + pid % kOctetValues,
                      ".", number);
}

/// Suspends the coroutine until its I/O context is destroyed.
asio::awaitable<void> Never() {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           asio::steady_timer::time_point::max());
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Pause(milliseconds time) {
  if (time > milliseconds{0}) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

bool IsUnframed(ServerMode mode) {
  return mode == ServerMode::kUnframed || mode == ServerMode::kBreakUnframed;
}

json RouteOf(const char* name, const char* prefix, const char* kind, const char* service) {
  return {{"name", name},      {"host", "shop"},  {"path_prefix", prefix},
          {"type", kind},      {"slo_ms", 600},   {"backend", service},
          {"max_attempts", 3}, {"public", false}, {"resumable", false}};
}

}  // namespace

PlatformWorld::PlatformWorld() : store_(io_) {
  std::string pattern = (std::filesystem::temp_directory_path() / "lagoonwind-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  (void)http::Listen(store_, *http::ParseEndpoint("127.0.0.1:0"));
  store_address_ = store_address();
  const http::Handler handler = [this](http::Request request) {
    return HandleStore(std::move(request));
  };
  asio::co_spawn(io_, http::Serve(store_, handler, 1UL << 20U), asio::detached);
  thread_ = std::jthread([this] { io_.run(); });
}

PlatformWorld::~PlatformWorld() {
  gateways_.clear();
  io_.stop();
  thread_.join();
  // The threads of engines use other members.
  servers_.clear();
  if (!keeps_files_) {
    std::filesystem::remove_all(directory_);
  }
}

std::filesystem::path PlatformWorld::LogPath(int number) const {
  return directory_ / absl::StrCat("gateway-", number, ".log");
}

std::string PlatformWorld::KeepFiles() {
  keeps_files_ = true;
  return directory_.string();
}

std::string PlatformWorld::store_address() const {
  return http::FormatEndpoint(store_.local_endpoint());
}

PlatformWorld::Incarnation::Incarnation(const http::Tcp::endpoint& endpoint,
                                        const http::Handler& handler)
    : acceptor(io) {
  if (const absl::Status status = http::Listen(acceptor, endpoint); !status.ok()) {
    throw std::runtime_error(status.ToString());
  }
  asio::co_spawn(io, http::Serve(acceptor, handler, kMaxServerBodyBytes), asio::detached);
  thread = std::thread([this] { io.run(); });
}

PlatformWorld::Incarnation::~Incarnation() {
  io.stop();
  thread.join();
}

void PlatformWorld::AddServer(const std::string& name, const std::string& service) {
  const std::string address =
      service == kEngineService ? OpenEngine(name, service) : OpenServer(name);
  Register({.name = name, .service = service, .address = address});
}

std::string PlatformWorld::OpenServer(const std::string& name) {
  auto server = std::make_unique<Server>();
  server->name = name;
  server->acceptor = std::make_unique<http::Tcp::acceptor>(io_);
  (void)http::Listen(*server->acceptor, *http::ParseEndpoint("127.0.0.1:0"));
  std::string address = http::FormatEndpoint(server->acceptor->local_endpoint());
  http::Tcp::acceptor& acceptor = *server->acceptor;
  std::size_t index = 0;
  {
    const std::scoped_lock lock(mutex_);
    index = servers_.size();
    servers_.push_back(std::move(server));
  }
  asio::co_spawn(io_, http::Serve(acceptor, HandlerOfServer(index), kMaxServerBodyBytes),
                 asio::detached);
  return address;
}

std::string PlatformWorld::OpenEngine(const std::string& name, const std::string& service) {
  auto server = std::make_unique<Server>();
  server->name = name;
  server->port_reservation = std::make_unique<http::Tcp::socket>(io_, http::Tcp::v4());
  // Lets the incarnations bind to the port too.
  server->port_reservation->set_option(http::Tcp::socket::reuse_address(true));
  server->port_reservation->bind(*http::ParseEndpoint("127.0.0.1:0"));
  const auto endpoint = server->port_reservation->local_endpoint();
  server->registration = {
      .name = name, .service = service, .address = http::FormatEndpoint(endpoint)};
  const std::scoped_lock lock(mutex_);
  server->incarnation = std::make_unique<Incarnation>(endpoint, HandlerOfServer(servers_.size()));
  servers_.push_back(std::move(server));
  return http::FormatEndpoint(endpoint);
}

http::Handler PlatformWorld::HandlerOfServer(std::size_t index) {
  return [this, index](http::Request request) { return HandleServer(index, std::move(request)); };
}

void PlatformWorld::Crash(std::size_t index) {
  const std::scoped_lock lock(mutex_);
  ++crash_count_;
  // No other handler of the engine runs any more.
  servers_[index]->incarnation->io.stop();
  asio::co_spawn(io_, RestartAfterCrash(index), asio::detached);
}

asio::awaitable<void> PlatformWorld::RestartAfterCrash(std::size_t index) {
  std::unique_ptr<Incarnation> crashed;
  milliseconds restart_time{0};
  {
    const std::scoped_lock lock(mutex_);
    crashed = std::move(servers_[index]->incarnation);
    restart_time = restart_time_;
  }
  // Not under the lock, as the handler that crashed may still hold it.
  crashed.reset();
  co_await Pause(restart_time);
  Registration registration;
  {
    const std::scoped_lock lock(mutex_);
    Server& server = *servers_[index];
    server.incarnation = std::make_unique<Incarnation>(server.port_reservation->local_endpoint(),
                                                       HandlerOfServer(index));
    ++server.registration->born;
    server.registration->name = server.name;
    registration = *server.registration;
  }
  Register(registration);
}

void PlatformWorld::Register(const Registration& registration) {
  json record{{"backend", registration.service}, {"addr", registration.address},
              {"zone", registration.zone},       {"slots", 8},
              {"state", registration.state},     {"cold_left_ms", 0},
              {"seq", registration.sequence},    {"born", registration.born}};
  if (!registration.version.empty()) {
    record["version"] = registration.version;
  }
  Put("keyed.servers", registration.name, record.dump());
}

void PlatformWorld::SetProcessingTime(milliseconds time) {
  const std::scoped_lock lock(mutex_);
  processing_time_ = time;
}

void PlatformWorld::SetProcessingTimes(
    std::function<milliseconds(const http::Request&)> processing_times) {
  const std::scoped_lock lock(mutex_);
  processing_times_ = std::move(processing_times);
}

void PlatformWorld::SetMode(const std::string& name, ServerMode mode) {
  const std::scoped_lock lock(mutex_);
  for (auto& server : servers_) {
    server->mode = server->name == name ? mode : server->mode;
  }
}

void PlatformWorld::Rename(const std::string& name, const std::string& new_name) {
  const std::scoped_lock lock(mutex_);
  for (auto& server : servers_) {
    server->name = server->name == name ? new_name : server->name;
  }
}

void PlatformWorld::Put(const std::string& topic, const std::string& key,
                        const std::string& value) {
  const std::scoped_lock lock(mutex_);
  records_.push_back({.topic = topic, .key = key, .value = value});
}

void PlatformWorld::Delete(const std::string& topic, const std::string& key) {
  Put(topic, key, "");
}

void PlatformWorld::SetStoreDown(bool down) {
  const std::scoped_lock lock(mutex_);
  store_down_ = down;
}

void PlatformWorld::HoldStoreReads(std::string topic) {
  const std::scoped_lock lock(mutex_);
  held_topic_ = std::move(topic);
}

void PlatformWorld::SetDeadlySegment(std::string segment_id) {
  const std::scoped_lock lock(mutex_);
  deadly_segment_ = std::move(segment_id);
}

void PlatformWorld::SetRestartTime(milliseconds time) {
  const std::scoped_lock lock(mutex_);
  restart_time_ = time;
}

int PlatformWorld::crash_count() const {
  const std::scoped_lock lock(mutex_);
  return crash_count_;
}

bool PlatformWorld::AllEnginesUp() const {
  const std::scoped_lock lock(mutex_);
  return std::ranges::all_of(servers_, [](const auto& server) {
    return !server->registration || (server->incarnation && !server->incarnation->io.stopped());
  });
}

bool PlatformWorld::IsDeadly(const Server& server, const http::Request& request) const {
  if (deadly_segment_.empty() || !server.registration) {
    return false;
  }
  const std::vector<std::string> entries =
      absl::StrSplit(std::string(http::FindField(request.fields, "X-Prompt-Prefix")), ',');
  // The last segment belongs to the request itself.
  return std::any_of(entries.begin(), std::prev(entries.end()), [&](const std::string& entry) {
    return entry.starts_with(deadly_segment_ + ":");
  });
}

void PlatformWorld::Configure(int version, const ConfigurationOptions& options) {
  json plan = RouteOf("plan", "/plan/", "streaming", "model");
  plan["resumable"] = true;
  json look = RouteOf("look", "/look/", "idempotent", "desk");
  look["public"] = true;
  json routes{plan, RouteOf("chat", "/chat/", "streaming", "model"),
              RouteOf("book", "/book/", "mutating", "desk"), look};
  if (!options.added_prefix.empty()) {
    look["name"] = "added";
    look["path_prefix"] = options.added_prefix;
    routes.push_back(look);
  }
  for (json& route : routes) {
    route["timeout_ms"] = options.route_timeout.count();
  }
  Put("keyed.op", "config",
      json{{"version", version},
           {"routes", routes},
           {"services",
            {{{"name", "model"}, {"engine", {{"slots", 8}, {"kv_capacity", 100000}}}},
             {{"name", "desk"}}}},
           {"limits",
            {{"max_header_bytes", 4000},
             {"max_body_bytes", options.max_body_bytes},
             {"idle_timeout_ms", options.idle_timeout.count()}}},
           {"tenants", {{{"name", "erie"}, {"api_keys", {"key1"}}}}}}
          .dump());
}

http::Response PlatformWorld::Stream(const http::Request& request, ServerMode mode,
                                     milliseconds pause) {
  constexpr int kEventsBeforeBreak = 2;
  const bool breaks = mode == ServerMode::kBreakStream || mode == ServerMode::kBreakUnframed ||
                      mode == ServerMode::kRefuseResumption || mode == ServerMode::kEndInsideEvent;
  const std::string last(http::FindField(request.fields, "Last-Event-Id"));
  auto next = std::make_shared<int>(last.empty() ? 1 : std::stoi(last) + 1);
  auto sent = std::make_shared<int>(0);
  http::Response response{
      .status = 200, .content_type = "text/event-stream", .close_delimited = IsUnframed(mode)};
  response.next_chunk = [next, sent, breaks, mode,
                         pause]() -> asio::awaitable<absl::StatusOr<std::string>> {
    if (*next > kStreamEvents || *sent > kEventsBeforeBreak) {
      co_return std::string();
    }
    const bool at_break = breaks && *sent == kEventsBeforeBreak;
    if (at_break && mode != ServerMode::kEndInsideEvent) {
      co_return absl::AbortedError("stream aborted by the test");
    }
    co_await Pause(pause);
    *sent += breaks ? 1 : 0;
    const int id = (*next)++;
    co_return at_break ? absl::StrCat("id: ", id, "\ndata: ev")
                       : absl::StrCat("id: ", id, "\ndata: event ", id, "\n\n");
  };
  return response;
}

asio::awaitable<http::Response> PlatformWorld::HandleServer(std::size_t index,
                                                            http::Request request) {
  ServerMode mode = ServerMode::kRespond;
  std::string name;
  bool instance_matches = false;
  bool deadly = false;
  bool sends_head = false;
  milliseconds processing_time{0};
  {
    const std::scoped_lock lock(mutex_);
    mode = servers_[index]->mode;
    name = servers_[index]->name;
    processing_time = processing_times_ ? processing_times_(request) : processing_time_;
    const auto instance = http::FindField(request.fields, "X-Expect-Instance");
    instance_matches = instance.empty() || instance == name;
    deadly = IsDeadly(*servers_[index], request);
    sends_head = deadly && deadly_requests_++ % 2 == 1;
    received_.push_back({.server = name,
                         .request = request,
                         .executed = instance_matches && mode != ServerMode::kNotRun,
                         .framed = !IsUnframed(mode),
                         .broken_off = mode == ServerMode::kBreakUnframed,
                         .arrived = std::chrono::steady_clock::now(),
                         .processing_time = processing_time});
  }
  co_await Pause(processing_time);
  const std::string id(http::FindField(request.fields, "X-Attempt-Id"));
  const http::Field echo{.name = "X-Attempt-Id", .value = id};
  if (!instance_matches) {
    co_return http::Response{.status = 421, .fields = {echo}};
  }
  if (mode == ServerMode::kNotRun) {
    co_return http::Response{.status = 503, .fields = {echo, {.name = "X-Not-Run", .value = "1"}}};
  }
  if (mode == ServerMode::kHang || mode == ServerMode::kLoseResponse) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(mode == ServerMode::kHang ? std::chrono::hours(1) : kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    http::Response truncated{.status = 200};
    truncated.next_chunk = []() -> asio::awaitable<absl::StatusOr<std::string>> {
      co_return absl::AbortedError("response aborted by the test");
    };
    co_return truncated;
  }
  if (deadly && !sends_head) {
    Crash(index);
    co_await Never();
  }
  const http::Field server_seal{.name = "X-Server-Seal", .value = absl::StrCat(name, ".", id)};
  if (deadly) {
    http::Response response{
        .status = 200, .content_type = "text/event-stream", .fields = {echo, server_seal}};
    response.next_chunk = [this, index]() -> asio::awaitable<absl::StatusOr<std::string>> {
      Crash(index);
      co_await Never();
      co_return absl::AbortedError("the engine crashed");
    };
    co_return response;
  }
  const bool streams = request.target.starts_with("/plan/") || request.target.starts_with("/chat/");
  if (mode == ServerMode::kRefuseResumption &&
      !http::FindField(request.fields, "Last-Event-Id").empty()) {
    co_return http::Response{
        .status = 404, .fields = {echo, server_seal}, .body = "no such event\n\n"};
  }
  if (mode == ServerMode::kEndless) {
    http::Response response{.status = 200,
                            .content_type = streams ? "text/event-stream" : "text/plain",
                            .fields = {echo, server_seal}};
    response.next_chunk = []() -> asio::awaitable<absl::StatusOr<std::string>> {
      constexpr std::size_t kEndlessChunkBytes = 64UL << 10U;
      co_return std::string(kEndlessChunkBytes, 'x');
    };
    co_return response;
  }
  if (mode != ServerMode::kFail && streams) {
    auto response = Stream(request, mode, processing_time);
    response.fields = {echo, server_seal};
    co_return response;
  }
  std::string body = absl::StrCat("answer to ", id);
  if (mode == ServerMode::kBreakUnframed) {
    body.resize(body.size() / 2);
  }
  co_return http::Response{.status = mode == ServerMode::kFail ? 500U : 200U,
                           .content_type = "text/plain",
                           .fields = {echo, server_seal},
                           .body = std::move(body),
                           .close_delimited = IsUnframed(mode)};
}

std::string PlatformWorld::CallerAddress(int number) {
  return absl::StrCat(IpOf(number), ":", kCallerPort);
}

std::string PlatformWorld::ReadinessAddress(int number) {
  return absl::StrCat(IpOf(number), ":", kReadinessPort);
}

std::string PlatformWorld::MetricsAddress(int number) {
  return absl::StrCat(IpOf(number), ":", kMetricsPort);
}

std::string PlatformWorld::PeerAddress(int number) {
  return absl::StrCat(IpOf(number), ":", kPeerPort);
}

unsigned PlatformWorld::Readiness(int number) {
  asio::io_context io;
  unsigned status = 0;
  http::Request request{.target = "/api/ready"};
  asio::co_spawn(io, http::Fetch(ReadinessAddress(number), request, milliseconds(1000)),
                 [&](const std::exception_ptr&, const absl::StatusOr<http::Response>& response) {
                   status = response.ok() ? response->status : 0;
                 });
  io.run();
  return status;
}

bool PlatformWorld::Await(const std::function<bool()>& condition) {
  for (int i = 0; i < kMaxPolls; ++i) {
    if (condition()) {
      return true;
    }
    asio::io_context io;
    asio::steady_timer timer(io, kPollInterval);
    timer.wait();
  }
  return false;
}

Process& PlatformWorld::StartGateway(int number, bool await_ready) {
  const std::string ip = IpOf(number);
  json settings{
      {"node_name", absl::StrCat("edge-", number)},
      {"zone", "z1"},
      {"ip", ip},
      {"listen", {{"front", CallerAddress(number)}, {"ready", ReadinessAddress(number)}}},
      {"port_range", {kPeerPort, kPeerPort + 10}},
      {"seeds", {absl::StrCat(IpOf(1), ":1"), absl::StrCat(IpOf(2), ":1")}},
      {"limits", {{"ram_mb", memory_megabytes_}, {"cpu_share", 1}, {"max_fds", max_descriptors_}}},
      {"bounds", {{"grace_s", 4}, {"retry_ratio", 0.2}, {"retry_slack", 54}}},
      {"platform", {{"addr", store_address_}}}};
  if (rollouts_enabled_) {
    settings["bounds"].update({{"canary_share", 0.1}, {"canary_slack", 50}, {"rollback_ms", 5000}});
  }
  const auto path = directory_ / absl::StrCat("node-", number, ".json");
  std::ofstream(path) << settings.dump();
  setenv("LAGOONWIND_BOOT", path.c_str(), 1);
  gateways_.push_back(std::make_unique<Process>(
      absl::StrCat("gateway-", number),
      std::vector<std::string>{absl::StrCat(LAGOONWIND_BUILD_DIR, "/lagoonwindd"), "--platform"},
      LogPath(number)));
  if (await_ready) {
    Await([&] { return Readiness(number) == 200; });
  }
  return *gateways_.back();
}

std::vector<ReceivedRequest> PlatformWorld::ReceivedRequests() const {
  const std::scoped_lock lock(mutex_);
  return received_;
}

}  // namespace lagoonwind::testing
