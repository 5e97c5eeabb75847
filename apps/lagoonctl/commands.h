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
  /// Only `load` has it; elsewhere it equals kTable.
  kCsv,
};

struct CommonOptions {
  std::vector<std::string> daemons;
  Output output = Output::kTable;
};

/// Reads a whole file; tells stderr and gives nothing if that fails.
std::optional<std::string> ReadFile(const std::string& path);

int RulesCheck(const std::string& file);
/// Prints how a file differs from the rules in force.
int RulesDiff(const CommonOptions& common, const std::string& file);
int RulesApply(const CommonOptions& common, const std::string& file, bool wait);
int RulesHistoryList(const CommonOptions& common);
int ShowStatus(const CommonOptions& common);
/// \param subject  `request=ID`, `customer=NAME` or `backend=NAME`.
int Explain(const CommonOptions& common, const std::string& subject);

/// Tells what processes' logs hold of one request.
/// \param request  Its id.
/// \param logs     Files; `-` is standard input.
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
  /// File for the plot; empty for none.
  std::string plot;
};
int Load(const CommonOptions& common, const LoadOptions& options);

}  // namespace lagoonwind::ctl
