#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fault_proxy.h"
#include "platform_world.h"
#include "soak_plan.h"

namespace lagoonwind::testing {

/// Gateways as processes, stand-ins of the platform, a proxy before each of these, and what a plan
/// does to them. Not thread safe.
class SoakWorld {
 public:
  SoakWorld(int gateways, int servers);
  ~SoakWorld();
  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  /// Plays all steps in real time.
  void Play(const std::vector<Step>& plan);
  /// Ends all troubles, and waits until every gateway serves. \return What doesn't, one line each.
  std::vector<std::string> Heal();
  /// Stops all gateways. \return What didn't end as it should.
  std::vector<std::string> StopAll();
  /// What backend servers saw, without the requests that Heal sent.
  [[nodiscard]] std::vector<ReceivedRequest> Seen() const;
  PlatformWorld& platform() { return platform_; }

 private:
  struct Server {
    std::string name;
    std::string service;
    std::unique_ptr<FaultProxy> proxy;
    int starts = 1;
  };

  void Begin(const Step& step);
  void End(const Step& step);
  void BeginGateway(const Step& step);
  void BeginServer(const Step& step);
  void Register(const Server& server, const char* state = "ready");
  void StartGateway(int index);
  [[nodiscard]] bool Serves(int gateway);
  /// Processes that ended though nobody ended them.
  void NoteEnded();

  PlatformWorld platform_;
  http::asio::io_context io_;
  http::asio::executor_work_guard<http::asio::io_context::executor_type> work_;
  std::unique_ptr<FaultProxy> store_proxy_;
  std::vector<Server> servers_;
  std::vector<Process*> gateways_;
  /// What each step of the plan stopped or killed.
  std::map<const Step*, Process*> stopped_;
  std::vector<std::string> findings_;
  int version_ = 1;
  int probes_ = 0;
  std::jthread thread_;
};

}  // namespace lagoonwind::testing
