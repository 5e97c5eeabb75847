#pragma once

#include <span>
#include <string>

#include "daemon_client.h"

/// \file
/// The commands of lagoonctl. Each returns the exit code of the process.
namespace lagoonwind::ctl {

struct CommonOptions {
  std::vector<std::string> daemons;
  bool json = false;
};

int RulesCheck(const std::string& file);
int RulesApply(const CommonOptions& common, const std::string& file, bool wait);
int ShowStatus(const CommonOptions& common);
/// \param subject  `request=ID`, `customer=NAME` or `backend=NAME`.
int Explain(const CommonOptions& common, const std::string& subject);

struct LoadOptions {
  /// Callers' ports of entries, IP:PORT.
  std::vector<std::string> entries;
  /// TOML file that describes the streams of requests.
  std::string mix;
  double seconds = 5;
  std::uint64_t seed = 1;
};
int Load(const CommonOptions& common, const LoadOptions& options);

}  // namespace lagoonwind::ctl
