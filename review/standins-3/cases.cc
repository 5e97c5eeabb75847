// The cases of the review that the bench can't play. Usage: cases NAME RECORD; TROUBLE=0 leaves out
// the disruption. Exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <thread>

#include "deployment.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
/// Bounds of pakthong-weave-grown, as in the settings.
constexpr milliseconds kContactTime{4000};
constexpr milliseconds kDrainTime{3000};
/// Time for which a worker serves beyond `drain_ms`.
constexpr milliseconds kLinger{1500};
constexpr milliseconds kHeartbeat{1200};
constexpr int kGateways = 2;
constexpr int kWorkers = 10;
constexpr int kFirstWorkerIp = 20;
constexpr milliseconds kClientPause{60};

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

/// A store, ten workers, two gateways and their clients.
class Deployment {
 public:
  explicit Deployment(std::string directory) : directory_(std::move(directory)) {}
  /// \return False if the gateways didn't become ready.
  bool Start(const std::vector<std::string>& keys) {
    store.Put("keyed.op", "config", Configuration(1, keys));
    for (int i = 0; i < kWorkers; ++i) {
      workers.push_back(std::make_unique<Worker>(
          store, arrivals, record, "d-" + std::to_string(i + 1), LoopbackIp(kFirstWorkerIp + i)));
      workers.back()->Start(UnixMilliseconds());
      std::thread([worker = workers.back().get()] {
        for (;;) {
          Sleep(kHeartbeat);
          worker->Beat();
        }
      }).detach();
    }
    for (int number = 1; number <= kGateways; ++number) {
      gateways_.emplace_back(number, store.address(), directory_);
    }
    return std::ranges::all_of(gateways_, &GatewayProcess::AwaitReady);
  }
  void StopGateways() { std::ranges::for_each(gateways_, &GatewayProcess::Kill); }
  void StartClients(const std::string& path, const std::string& key) {
    for (const GatewayProcess& gateway : gateways_) {
      clients.Start(gateway, "c" + std::to_string(++client_count_), path, key, kClientPause);
    }
  }

  Record record;
  Store store{LoopbackIp(10)};
  Arrivals arrivals;
  Clients clients;
  std::vector<std::unique_ptr<Worker>> workers;

 private:
  std::string directory_;
  std::vector<GatewayProcess> gateways_;
  int client_count_ = 0;
};

/// Lets a worker leave: it drains, serves for `drain_ms` and a little longer, and ends.
/// \return When the store acknowledged that it is draining.
Clock::time_point Drain(Deployment& deployment, Worker& worker) {
  const Clock::time_point acknowledged = worker.Report("draining");
  deployment.record.Add(acknowledged, "worker " + worker.id() + " drains, acknowledged");
  Sleep(kDrainTime + kLinger);
  worker.Stop();
  worker.Deregister();
  return acknowledged;
}

/// Requests that reached the worker later than `drain_ms` after `acknowledged`.
int LateArrivals(const Deployment& deployment, const Worker& worker,
                 Clock::time_point acknowledged) {
  const auto arrivals = deployment.arrivals.All();
  return static_cast<int>(std::ranges::count_if(arrivals, [&](const Arrival& arrival) {
    return arrival.worker == worker.id() && arrival.ran && arrival.at > acknowledged + kDrainTime;
  }));
}

/// Bookings that were sent later than `drain_ms` after `acknowledged`, reached the worker and got
/// no success.
int LostBookings(const Deployment& deployment, const Worker& worker,
                 Clock::time_point acknowledged) {
  std::set<std::string> at_worker;
  for (const Arrival& arrival : deployment.arrivals.All()) {
    if (arrival.worker == worker.id()) {
      at_worker.insert(arrival.id);
    }
  }
  const auto answers = deployment.clients.All();
  return static_cast<int>(std::ranges::count_if(answers, [&](const Answer& answer) {
    return answer.sent > acknowledged + kDrainTime && answer.status != 200 &&
           at_worker.contains(answer.id);
  }));
}

int Conclude(Deployment& deployment, const std::string& result, bool broken) {
  deployment.clients.Stop();
  AddTraffic(deployment.record, deployment.clients, deployment.arrivals);
  deployment.record.Add(result + (broken ? ": the rule was broken" : ": the rule held"));
  std::cout << result << (broken ? ": broken" : ": held") << std::endl;
  return broken ? kBroken : kHeld;
}

/// A worker goes down and up by turns, under its id, while the time of day of its machine jumps
/// back, so that its last start bears an earlier time than the one before. Later it leaves.
int RunClockStep(Deployment& deployment) {
  constexpr std::int64_t kStepMs = 2000;
  constexpr milliseconds kHalfTurn{700};
  constexpr int kTurns = 4;
  constexpr int kClientsPerGateway = 12;
  const std::string key = "key-a";
  if (!deployment.Start({key})) {
    return kNotRun;
  }
  for (int i = 0; i < kClientsPerGateway; ++i) {
    deployment.StartClients("/book/", key);
  }
  Sleep(kContactTime);
  Worker& worker = *deployment.workers.front();
  for (int turn = 1; turn <= kTurns; ++turn) {
    worker.Stop();
    Sleep(kHalfTurn);
    const bool stepped = HasTrouble() && turn == kTurns;
    if (stepped) {
      deployment.record.Add("the time of day at " + worker.id() + " has jumped back by 2 s");
    }
    worker.Start(UnixMilliseconds() - (stepped ? kStepMs : 0));
    Sleep(kHalfTurn);
  }
  Sleep(kContactTime);
  const Clock::time_point drained = Drain(deployment, worker);
  Sleep(milliseconds(1000));
  const int late = LateArrivals(deployment, worker, drained);
  return Conclude(deployment,
                  "DRAIN: " + std::to_string(late) + " requests reached the worker that left, " +
                      std::to_string(LostBookings(deployment, worker, drained)) +
                      " of them lost as it exited",
                  late > 0);
}

int RunCase(const std::string& name, const std::string& record_path) {
  const std::map<std::string, std::function<int(Deployment&)>> cases{{"clock-step", RunClockStep}};
  const auto found = cases.find(name);
  if (found == cases.end()) {
    return kNotRun;
  }
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  const std::string directory = mkdtemp(pattern.data());
  int result = kNotRun;
  // Not destroyed, as its detached threads use it until the process ends.
  auto* deployment = new Deployment(directory);
  result = found->second(*deployment);
  deployment->StopGateways();
  deployment->record.Write(record_path);
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory);
  } else {
    std::cout << directory << std::endl;
  }
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    std::cerr << "usage: cases NAME RECORD" << std::endl;
    return review::kNotRun;
  }
  std::_Exit(review::RunCase(argv[1], argv[2]));
}
