#pragma once

#include <memory>
#include <mutex>

#include "lagoonwind/http.h"
#include "lagoonwind/platform.h"
#include "lagoonwind/rules_history.h"
#include "policy_host.h"

namespace lagoonwind::runtime {

/// Follows the stream of rules and holds the configuration in force. Thread safe.
class ConfigurationStore {
 public:
  ConfigurationStore(platform::LogService& log, PolicyHost& policy);

  /// Reads the stream of rules again and again.
  http::asio::awaitable<void> Tail();
  /// The configuration in force; has offset -1 before any.
  [[nodiscard]] std::shared_ptr<const Configuration> current() const;

 private:
  /// Returns the offset to read from next.
  std::int64_t Replay(const platform::LogRead& read);

  platform::LogService& log_;
  PolicyHost& policy_;
  RulesHistory history_;

  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> current_ = std::make_shared<Configuration>();
};

}  // namespace lagoonwind::runtime
