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
/// Starts a fleet of daemons, a platform stand-in and backend server stand-ins as processes on
/// loopback addresses, for end-to-end tests and the local fleet example.
namespace lagoonwind::testing {

/// Sends one request and blocks until the whole response has arrived or the timeout expires.
absl::StatusOr<http::Response> FetchNow(
    const std::string& address, http::Request request,
    std::chrono::milliseconds timeout = std::chrono::seconds(20));

/// \return A chat completion of model `crest`, with the token of a customer of the local fleet.
http::Request CompletionRequest(const std::string& prompt, bool stream);

struct BackendSpec {
  std::string name;
  /// "engine" or "service".
  std::string kind;
  std::string zone;
  /// Additional command-line options for the stand-in.
  std::vector<std::string> options;
  /// `IP:PORT` of a backend server that the test runs itself; if empty, a stand-in is started.
  std::string address;
};

struct EntrySpec {
  std::string name;
  std::string zone;
};

struct FleetOptions {
  /// Directory that contains the programs lagoonwindd and standin.
  std::filesystem::path programs;
  /// Directory for settings, logs and address files; deleted and created again at the start.
  std::filesystem::path work;
  /// Text of the rules to apply at the start.
  std::string rules;
  std::vector<EntrySpec> entries;
  std::vector<BackendSpec> backends;
};

/// \return Options for two entries, three inference engines and two booking services in three
/// zones.
FleetOptions LocalFleetOptions(std::filesystem::path programs, std::filesystem::path work,
                               std::string rules);

/// \return Text of the rules of the local fleet example.
/// \param source  Root directory of the repository.
std::string LocalRules(const std::filesystem::path& source);

/// Owns the processes of one fleet. The constructor, RestartDaemon(), PublishHosts() and
/// AwaitReady() throw std::runtime_error if a process does not start or respond in time. Not thread
/// safe.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);

  [[nodiscard]] std::vector<std::string> entry_addresses() const;
  [[nodiscard]] const std::string& platform_address() const { return platform_address_; }
  /// Address of a daemon's operator port.
  [[nodiscard]] std::string operator_address(const std::string& daemon) const;
  [[nodiscard]] std::string backend_address(const std::string& backend) const;

  /// \param name  A daemon, a backend server, or "platform"; must exist.
  Process& process(const std::string& name) { return processes_.at(name); }
  /// Starts a daemon, which must have exited, again with its previous addresses.
  void RestartDaemon(const std::string& name);
  /// Publishes the list of daemons to the platform stand-in.
  void PublishHosts();
  /// Waits until every daemon has a configuration and every entry is linked to every agent.
  void AwaitReady();
  /// Polls a daemon's status until the condition holds.
  /// \return False if the condition did not hold within 1500 polls, 20 ms apart.
  [[nodiscard]] bool AwaitStatus(const std::string& daemon,
                                 const std::function<bool(const nlohmann::json&)>& condition) const;
  /// \return The names of all daemons, sorted.
  [[nodiscard]] std::vector<std::string> daemons() const;
  /// Sends SIGTERM to all daemons and waits until they exit.
  /// \return True if all exited with code 0.
  bool Drain();
  /// \return The executions that a backend server stand-in reports, as a JSON array.
  [[nodiscard]] nlohmann::json Executions(const std::string& backend) const;
  /// \return Addresses and process ids of the fleet, in the format of fleet.json.
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
