#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "lagoonwind/http.h"
#include "lagoonwind/platform.h"
#include "lagoonwind/rules_history.h"
#include "policy_runner.h"

namespace lagoonwind::runtime {

/// A configuration and how much of the stream of rules it accounts for.
struct ConfigurationView {
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  /// Every record of the stream before this offset is accounted for.
  std::int64_t applied_end = 0;
};

/// Does the decisions' I/O on the stream of rules and holds the configuration in force. Thread
/// safe. Its mutex is a leaf of the lock order.
class ConfigurationStore {
 public:
  ConfigurationStore(http::asio::io_context& io, platform::LogService& log, PolicyRunner& policy);

  /// Carries out an action on the stream of rules. \return False if it isn't one.
  bool Execute(const policy::Action& action);
  /// The configuration in force; has offset -1 before any.
  [[nodiscard]] std::shared_ptr<const Configuration> current() const;
  [[nodiscard]] ConfigurationView view() const;

 private:
  http::asio::awaitable<void> Read(std::int64_t from);
  http::asio::awaitable<void> Append(std::string record);

  http::asio::io_context& io_;
  platform::LogService& log_;
  PolicyRunner& policy_;

  mutable std::mutex mutex_;
  ConfigurationView view_;
};

}  // namespace lagoonwind::runtime
