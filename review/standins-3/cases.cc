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
#include <thread>

#include "deployment.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
/// Bounds of the settings.
constexpr milliseconds kContactTime{3000};
constexpr milliseconds kApplyTime{2000};
constexpr milliseconds kDrainTime{2000};
/// Time for which a worker serves beyond `drain_ms`.
constexpr milliseconds kLinger{1500};
constexpr milliseconds kHeartbeat{1200};
constexpr int kGateways = 2;
constexpr int kFirstWorkerIp = 20;
constexpr milliseconds kClientPause{60};

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

/// A store, three workers, two gateways and their clients.
class Deployment {
 public:
  explicit Deployment(std::string directory) : directory_(std::move(directory)) {}
  /// \return False if the gateways didn't become ready.
  bool Start(const std::vector<std::string>& keys) {
    store.Put("keyed.op", "config", Configuration(1, keys));
    for (int i = 0; i < 3; ++i) {
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

/// Requests with the key that were sent later than `apply_ms` after `acknowledged` and were run.
int RunsOfDroppedKey(const Deployment& deployment, const std::string& key,
                     Clock::time_point acknowledged) {
  std::map<std::string, bool> ran;
  for (const Arrival& arrival : deployment.arrivals.All()) {
    ran[arrival.id] = ran[arrival.id] || arrival.ran;
  }
  const auto answers = deployment.clients.All();
  return static_cast<int>(std::ranges::count_if(answers, [&](const Answer& answer) {
    return answer.key == key && answer.sent > acknowledged + kApplyTime && ran[answer.id];
  }));
}

int Conclude(Deployment& deployment, const std::string& result, bool broken) {
  deployment.clients.Stop();
  AddTraffic(deployment.record, deployment.clients, deployment.arrivals);
  deployment.record.Add(result + (broken ? ": the rule was broken" : ": the rule held"));
  std::cout << result << (broken ? ": broken" : ": held") << std::endl;
  return broken ? kBroken : kHeld;
}

/// The store is down for half a second, right after a change of the configuration, and answers none
/// of the calls that wait or come then. More than `contact_ms` after it is back a key is taken away
/// and a worker leaves.
int RunSilentStore(Deployment& deployment) {
  constexpr milliseconds kSilence{500};
  constexpr milliseconds kTimeAfterChange{200};
  constexpr milliseconds kBlindTime{4500};
  const std::string kept_key = "key-a";
  const std::string dropped_key = "key-b";
  if (!deployment.Start({kept_key, dropped_key})) {
    return kNotRun;
  }
  for (const std::string& key : {kept_key, kept_key, dropped_key}) {
    deployment.StartClients("/book/", key);
  }
  Sleep(kContactTime);
  deployment.record.Add(
      deployment.store.Put("keyed.op", "config", Configuration(2, {kept_key, dropped_key})),
      "configuration 2 acknowledged");
  Sleep(kTimeAfterChange);
  if (HasTrouble()) {
    deployment.record.Add("the store is silent");
    deployment.store.SetSilent(true);
    Sleep(kSilence);
    deployment.store.SetSilent(false);
    deployment.record.Add("the store is back");
  }
  Sleep(kContactTime + milliseconds(100));
  const Clock::time_point acknowledged =
      deployment.store.Put("keyed.op", "config", Configuration(3, {kept_key}));
  deployment.record.Add(acknowledged, "configuration 3 without " + dropped_key + " acknowledged");
  Worker& leaving = *deployment.workers.front();
  const Clock::time_point drained = Drain(deployment, leaving);
  Sleep(kBlindTime);
  const int late = LateArrivals(deployment, leaving, drained);
  const int dropped = RunsOfDroppedKey(deployment, dropped_key, acknowledged);
  deployment.record.Add("beside: " + std::to_string(late) +
                        " requests reached the worker that left later than drain_ms");
  return Conclude(deployment,
                  "CONFIG: " + std::to_string(dropped) + " requests with the dropped key ran",
                  dropped > 0);
}

/// A worker goes down and up by turns, under its id, while the time of day of its machine jumps
/// back, so that its last start bears an earlier time than the one before. Later it leaves.
int RunClockStep(Deployment& deployment) {
  constexpr std::int64_t kStepMs = 2400;
  constexpr milliseconds kTurn{800};
  const std::string key = "key-a";
  if (!deployment.Start({key})) {
    return kNotRun;
  }
  for (int i = 0; i < 3; ++i) {
    deployment.StartClients("/book/", key);
  }
  Sleep(kContactTime);
  Worker& worker = *deployment.workers.front();
  for (int turn = 1; turn <= 3; ++turn) {
    worker.Stop();
    Sleep(kTurn);
    const bool stepped = HasTrouble() && turn == 3;
    if (stepped) {
      deployment.record.Add("the time of day at " + worker.id() + " has jumped back by 2.4 s");
    }
    worker.Start(UnixMilliseconds() - (stepped ? kStepMs : 0));
    Sleep(kTurn);
  }
  Sleep(kContactTime);
  const Clock::time_point drained = Drain(deployment, worker);
  Sleep(milliseconds(1000));
  const int late = LateArrivals(deployment, worker, drained);
  return Conclude(deployment,
                  "DRAIN: " + std::to_string(late) + " requests reached the worker that left",
                  late > 0);
}

int RunCase(const std::string& name, const std::string& record_path) {
  const std::map<std::string, std::function<int(Deployment&)>> cases{
      {"silent-store", RunSilentStore}, {"clock-step", RunClockStep}};
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
