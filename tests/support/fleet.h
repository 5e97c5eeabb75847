#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lagoonwind/http.h"
#include "process.h"

/// \file
/// A fleet of real processes on loopback, for end-to-end tests and the local fleet.
namespace lagoonwind::testing {

/// Sends one request and waits for the whole answer.
absl::StatusOr<http::Response> FetchNow(
    const std::string& address, http::Request request,
    std::chrono::milliseconds timeout = std::chrono::seconds(20));

struct BackendSpec {
  std::string name;
  /// "engine" or "service".
  std::string kind;
  std::string zone;
  /// Further options of the stand-in.
  std::vector<std::string> options;
};

struct EntrySpec {
  std::string name;
  std::string zone;
};

struct FleetOptions {
  /// Directory with lagoonwindd and standin.
  std::filesystem::path programs;
  /// Directory for settings, logs and addresses; made anew.
  std::filesystem::path work;
  std::string rules;
  std::vector<EntrySpec> entries;
  std::vector<BackendSpec> backends;
};

/// Two entries, three model engines and two booking services in three zones.
FleetOptions LocalFleetOptions(std::filesystem::path programs, std::filesystem::path work,
                               std::string rules);

/// Rules of the local fleet.
/// \param source  Directory of the repository.
std::string LocalRules(const std::filesystem::path& source);

/// The processes of one fleet. Throws std::runtime_error if one doesn't come up. Not thread safe.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);

  [[nodiscard]] std::vector<std::string> entry_addresses() const;
  [[nodiscard]] const std::string& platform_address() const { return platform_address_; }
  /// Address of a daemon's operators' port.
  [[nodiscard]] std::string operator_address(const std::string& daemon) const;
  [[nodiscard]] std::string backend_address(const std::string& backend) const;

  /// Process of a daemon, a backend server, or "platform".
  Process& process(const std::string& name) { return processes_.at(name); }
  /// Starts a daemon again with its old addresses.
  void RestartDaemon(const std::string& name);
  /// Publishes the host list to the platform.
  void PublishHosts();
  /// Waits until every entry is linked to every agent and has the configuration.
  void AwaitReady();
  /// Waits until a daemon's status fits. False if it never did.
  [[nodiscard]] bool AwaitStatus(const std::string& daemon,
                                 const std::function<bool(const nlohmann::json&)>& condition) const;
  /// Names of all daemons.
  [[nodiscard]] std::vector<std::string> daemons() const;
  /// Sends SIGTERM to the daemons and waits. \return True if all exited with 0.
  bool Drain();
  /// Everything that a backend server ran.
  [[nodiscard]] nlohmann::json Executions(const std::string& backend) const;
  /// The description that fleet.json holds.
  [[nodiscard]] nlohmann::json Describe() const;

 private:
  struct Daemon {
    std::string role;
    std::string zone;
    std::string backend;
    nlohmann::json addresses;
  };

  std::string StartStandIn(const std::string& name, const std::string& kind,
                           const std::vector<std::string>& options);
  void StartDaemon(const std::string& name);
  void WriteSettings(const std::string& name) const;
  [[nodiscard]] std::string AwaitFile(const std::filesystem::path& file,
                                      const std::string& process) const;

  FleetOptions options_;
  std::string platform_address_;
  std::map<std::string, std::string> backend_addresses_;
  std::map<std::string, Daemon> daemons_;
  std::map<std::string, Process> processes_;
};

}  // namespace lagoonwind::testing
