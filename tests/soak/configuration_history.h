#pragma once

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonwind::testing {

/// One version of the configuration. Each has a route of its own, which no other version has.
struct ConfigurationVersion {
  int number = 0;
  /// Immediately before it was written.
  std::chrono::steady_clock::time_point written{};
  /// When the store had acknowledged it.
  std::chrono::steady_clock::time_point confirmed{};
};

/// Path prefix of the route that only this version has.
std::string VersionPrefix(int version);

/// Versions of the configuration that the operator has written. Thread safe.
class ConfigurationHistory {
 public:
  void Record(const ConfigurationVersion& version);
  /// Number of the newest version, 0 if there is none.
  [[nodiscard]] int newest() const;
  /// \return All versions in order.
  [[nodiscard]] std::vector<ConfigurationVersion> versions() const;

 private:
  mutable std::mutex mutex_;
  std::vector<ConfigurationVersion> versions_;
};

}  // namespace lagoonwind::testing
