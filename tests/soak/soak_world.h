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
  void RunPlan(const std::vector<Step>& plan);
  /// Ends all troubles, and waits until every gateway serves. \return What doesn't, one line each.
  std::vector<std::string> Recover();
  /// Stops all gateways. \return What didn't end as it should.
  std::vector<std::string> StopGateways();
  /// What backend servers saw, without the requests that Heal sent.
  [[nodiscard]] std::vector<SeenRequest> Seen() const;
  PlatformWorld& platform() { return platform_; }

 private:
  struct Server {
    std::string name;
    std::string service;
    std::unique_ptr<FaultProxy> proxy;
    int incarnation = 1;
  };

  void BeginStep(const Step& step);
  void EndStep(const Step& step);
  void BeginGatewayDisturbance(const Step& step);
  void BeginServerDisturbance(const Step& step);
  void Register(const Server& server, const char* state = "ready");
  void StartGateway(int index);
  [[nodiscard]] bool IsServing(int gateway);
  /// Processes that ended though nobody ended them.
  void RecordUnexpectedExits();

  PlatformWorld platform_;
  http::asio::io_context io_;
  http::asio::executor_work_guard<http::asio::io_context::executor_type> work_;
  std::unique_ptr<FaultProxy> store_proxy_;
  std::vector<Server> servers_;
  std::vector<Process*> gateways_;
  /// What each step of the plan stopped or killed.
  std::map<const Step*, Process*> stopped_;
  std::vector<std::string> findings_;
  int configuration_version_ = 1;
  int probe_count_ = 0;
  std::jthread thread_;
};

}  // namespace lagoonwind::testing
