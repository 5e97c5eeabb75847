#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/policy.h"

/// \file
/// Runs an entry or agent daemon as a process: reads its settings, opens its sockets, starts its
/// threads and executes what the policy of its role decides.
namespace lagoonwind::runtime {

/// Settings of one daemon; docs/OPERATING.md describes each key.
struct Settings {
  // [process]
  policy::Role role = policy::Role::kEntry;
  std::string name;
  std::string zone;
  int threads = 2;
  /// File to which the bound addresses are written as JSON once all ports are open; empty for none.
  std::string address_file;
  // [operator]
  std::string operator_listen = "127.0.0.1:0";
  // [platform]
  std::string platform_address;
  // [links]
  std::string link_listen = "127.0.0.1:0";
  /// Secret shared by all daemons of the fleet; both ends of a link prove that they know it.
  std::string link_key;
  // [callers], entries only
  std::string caller_listen = "127.0.0.1:0";
  // [backend], agents only
  /// Name of the backend server in `status` and `explain`; defaults to the name of the process.
  std::string backend_name;
  bool backend_is_model = true;
  std::string backend_address;
  std::vector<std::string> backend_tags;
};

/// Parses and validates settings in TOML. Thread safe.
/// \param file  Name used in error messages.
/// \return Invalid argument with all errors as `FILE:LINE: key: what is wrong`, one per line.
absl::StatusOr<Settings> ParseSettings(std::string_view text, std::string_view file);

/// Reads and parses a settings file. Not found if it cannot be read.
absl::StatusOr<Settings> LoadSettings(const std::string& path);

/// Runs a daemon until it has received SIGTERM or SIGINT and has drained. Call once per process,
/// from the main thread.
/// \return Exit code for the process; nonzero if the daemon could not start.
int RunDaemon(const Settings& settings);

}  // namespace lagoonwind::runtime
