#include "configuration_history.h"

#include <absl/strings/str_cat.h>

namespace lagoonwind::testing {

std::string VersionPrefix(int version) { return absl::StrCat("/v", version, "/"); }

void ConfigurationHistory::Record(const ConfigurationVersion& version) {
  const std::scoped_lock lock(mutex_);
  versions_.push_back(version);
}

int ConfigurationHistory::newest() const {
  const std::scoped_lock lock(mutex_);
  return versions_.empty() ? 0 : versions_.back().number;
}

std::vector<ConfigurationVersion> ConfigurationHistory::versions() const {
  const std::scoped_lock lock(mutex_);
  return versions_;
}

}  // namespace lagoonwind::testing
