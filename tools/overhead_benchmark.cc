#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleet.h"

/// Measures the overhead of one entry and one agent on loopback, compared with direct calls of the
/// same simulated backend servers: latency of single calls, and CPU time per token and per request
/// under load. Usage: overhead_benchmark PROGRAMS_DIR WORK_DIR
namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kLatencySamples = 1000;
constexpr int kStreams = 32;
constexpr int kTokens = 400;
constexpr int kShortCalls = 1500;
constexpr int kShortCallConcurrency = 16;
constexpr std::string_view kApiKey = "token-bench";
constexpr std::string_view kApiKeyDigest =
    "8da601c8e54ef108ed8fdd56ccbbd809588362ea0c24a1f05c719199c8376e11";
constexpr double kMicroseconds = 1e6;
constexpr unsigned kHttpOk = 200;

/// CPU time used so far by a process, in seconds, from /proc/PID/stat.
double ProcessorSeconds(int pid) {
  std::ifstream in(absl::StrCat("/proc/", pid, "/stat"));
  std::string text{std::istreambuf_iterator<char>(in), {}};
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 11;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

http::Request ServiceCall() {
  return {.method = "POST",
          .target = "/services/bookings/runs",
          .content_type = "application/json",
          .fields = {{"Authorization", absl::StrCat("Bearer ", std::string(kApiKey))}},
          .body = "{}"};
}

http::Request StreamCall(int number) {
  const json message{{"role", "user"}, {"content", absl::StrCat("prompt ", number)}};
  const json body{{"model", "crest"},
                  {"messages", json::array({message})},
                  {"max_tokens", kTokens},
                  {"stream", true}};
  http::Request request = ServiceCall();
  request.target = "/v1/chat/completions";
  request.body = body.dump();
  return request;
}

double TimedCall(const std::string& address) {
  const auto start = Clock::now();
  const auto response = FetchNow(address, ServiceCall());
  if (!response.ok() || response->status != kHttpOk) {
    std::cerr << "request failed: "
              << (response.ok() ? response->body : response.status().ToString()) << "\n";
    std::exit(1);
  }
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double Quantile(std::vector<double>& values, double quantile) {
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

/// Alternates direct calls with calls through the fleet, so that both see the same load of the
/// machine.
void PrintLatency(const std::string& direct, const std::string& entry) {
  std::vector<double> direct_times;
  std::vector<double> fleet_times;
  for (int i = 0; i < kLatencySamples; ++i) {
    direct_times.push_back(TimedCall(direct));
    fleet_times.push_back(TimedCall(entry));
  }
  for (const double quantile : {0.5, 0.95, 0.99}) {
    const double direct_time = Quantile(direct_times, quantile);
    const double fleet_time = Quantile(fleet_times, quantile);
    std::cout << absl::StrFormat("p%-3.0f direct %7.3f ms  through %7.3f ms  added %7.3f ms\n",
                                 quantile * 100, direct_time, fleet_time, fleet_time - direct_time);
  }
}

/// Makes `calls` calls, `concurrency` at a time. Exits the process with 1 if a call fails.
/// \return Time taken, in seconds.
double RunCalls(const std::string& address, int calls, int concurrency,
                const std::function<http::Request(int)>& make) {
  asio::io_context io;
  int next = 0;
  const auto worker = [&]() -> asio::awaitable<void> {
    while (next < calls) {
      http::Request request = make(next++);
      const auto response =
          co_await http::Fetch(address, std::move(request), std::chrono::seconds(60));
      if (!response.ok() || response->status != kHttpOk) {
        std::cerr << "request failed under load\n";
        std::exit(1);
      }
    }
  };
  for (int i = 0; i < concurrency; ++i) {
    asio::co_spawn(io, worker(), asio::detached);
  }
  const auto start = Clock::now();
  io.run();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Prints the CPU time that entry and agent use per unit of work.
void PrintProcessorTime(Fleet& fleet, const std::string& agent, const char* unit, double units,
                        const std::function<double()>& run) {
  const int entry_pid = fleet.process("entry-1").pid();
  const int agent_pid = fleet.process(agent).pid();
  const double entry_before = ProcessorSeconds(entry_pid);
  const double agent_before = ProcessorSeconds(agent_pid);
  const double seconds = run();
  const double entry = ProcessorSeconds(entry_pid) - entry_before;
  const double agent_time = ProcessorSeconds(agent_pid) - agent_before;
  std::cout << absl::StrFormat(
      "%.0f %s in %.2f s; CPU time of each: entry %.1f us, agent %.1f us; rate per core: entry "
      "%.0f per second, agent %.0f per second\n",
      units, unit, seconds, entry / units * kMicroseconds, agent_time / units * kMicroseconds,
      units / entry, units / agent_time);
}

void Run(const std::string& programs, const std::string& work) {
  const std::string rules = absl::StrCat(
      "zone z in # asked by: bench\ncustomer bench token sha256:", std::string(kApiKeyDigest),
      " queue 1000 # asked by: bench\n", "model crest # asked by: bench\n",
      "service bookings repeatable # asked by: bench\n");
  Fleet fleet(FleetOptions{
      .programs = programs,
      .work = work,
      .rules = rules,
      .entries = {{.name = "entry-1", .zone = "z"}},
      .backends = {
          {.name = "engine-1",
           .kind = "engine",
           .zone = "z",
           .options = {"--rate", "1000", "--bears", "512", "--cold-bears", "512"}},
          {.name = "service-1", .kind = "service", .zone = "z", .options = {"--work-ms", "0"}}}});
  fleet.AwaitReady();
  const std::string entry = fleet.entry_addresses().front();
  PrintLatency(fleet.backend_address("service-1"), entry);
  PrintProcessorTime(fleet, "agent-2", "short calls", kShortCalls, [&] {
    return RunCalls(entry, kShortCalls, kShortCallConcurrency, [](int) { return ServiceCall(); });
  });
  PrintProcessorTime(fleet, "agent-1", "tokens", static_cast<double>(kStreams) * kTokens,
                     [&] { return RunCalls(entry, kStreams, kStreams, StreamCall); });
  const double direct = RunCalls(fleet.backend_address("engine-1"), kStreams, kStreams, StreamCall);
  std::cout << absl::StrFormat("the same streams sent directly to the engine: %.2f s\n", direct);
  fleet.Drain();
}

}  // namespace
}  // namespace lagoonwind::testing

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: overhead_benchmark PROGRAMS_DIR WORK_DIR\n";
    return 2;
  }
  lagoonwind::testing::Run(argv[1], argv[2]);
  return 0;
}
