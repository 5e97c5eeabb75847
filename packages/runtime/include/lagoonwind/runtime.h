#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/policy.h"

/// \file
/// A daemon as a process: settings, threads, sockets, and the decisions of its role.
namespace lagoonwind::runtime {

/// Settings of one daemon; docs/OPERATING.md tells each key.
struct Settings {
  // [process]
  policy::Role role = policy::Role::kEntry;
  std::string name;
  std::string zone;
  int threads = 2;
  /// File that the bound addresses are written to as JSON once all ports are open; may be empty.
  std::string address_file;
  // [operator]
  std::string operator_listen = "127.0.0.1:0";
  // [platform]
  std::string platform_address;
  // [links]
  std::string link_listen = "127.0.0.1:0";
  /// Key that all daemons of the fleet share; links prove it to each other.
  std::string link_key;
  // [callers], entries only
  std::string caller_listen = "127.0.0.1:0";
  // [backend], agents only
  /// Name of the backend server in `status` and `explain`; the process's own name if not given.
  std::string backend_name;
  bool backend_is_model = true;
  std::string backend_address;
  std::vector<std::string> backend_tags;
};

/// Parses and checks settings in TOML. Thread safe.
/// \param file  Name for error messages.
/// \return Invalid argument with every fault as `FILE:LINE: key: what is wrong`, a line each.
absl::StatusOr<Settings> ParseSettings(std::string_view text, std::string_view file);

/// Reads a file and parses it. Not found if it can't be read.
absl::StatusOr<Settings> LoadSettings(const std::string& path);

/// Runs a daemon until SIGTERM or SIGINT and its drain are over.
/// Call once for each process, from the main thread.
/// \return Exit code of the process.
int RunDaemon(const Settings& settings);

}  // namespace lagoonwind::runtime
