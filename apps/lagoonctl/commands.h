#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "daemon_client.h"

/// \file
/// The commands of lagoonctl. Each returns the exit code of the process.
namespace lagoonwind::ctl {

enum class Output {
  kTable,
  kJson,
  /// For `load` only; other commands print a table.
  kCsv,
};

struct CommonOptions {
  std::vector<std::string> daemons;
  Output output = Output::kTable;
};

/// Reads a whole file; on failure prints an error to stderr and returns nothing.
std::optional<std::string> ReadFile(const std::string& path);

/// Validates a rules file without contacting a daemon.
int RulesCheck(const std::string& file);
/// Prints how a file differs from the rules in force.
int RulesDiff(const CommonOptions& common, const std::string& file);
/// Proposes a rules file; with `wait`, blocks until the rules are in force.
int RulesApply(const CommonOptions& common, const std::string& file, bool wait);
/// Prints all proposals with their verdicts.
int RulesHistoryList(const CommonOptions& common);
/// Prints the status of daemons, availability zones and customers.
int ShowStatus(const CommonOptions& common);
/// Prints the daemons' recent decisions about a subject.
/// \param subject  `request=ID`, `customer=NAME` or `backend=NAME`.
int Explain(const CommonOptions& common, const std::string& subject);

/// Prints the timeline of one request from the logs of any number of processes.
/// \param request  Request id.
/// \param logs     Log files; `-` is standard input.
int ExplainFromLogs(const CommonOptions& common, const std::string& request,
                    const std::vector<std::string>& logs);

struct LoadOptions {
  /// Callers' ports of entries, IP:PORT.
  std::vector<std::string> entries;
  /// TOML file that describes the streams of requests.
  std::string mix;
  double seconds = 5;
  int max_requests = 100'000;
  std::uint64_t seed = 1;
  /// Path of the SVG plot to write; empty for none.
  std::string plot;
};
/// Sends a mix of requests and prints a report.
int Load(const CommonOptions& common, const LoadOptions& options);

}  // namespace lagoonwind::ctl
