#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "lagoonwind/http.h"
#include "lagoonwind/platform.h"
#include "lagoonwind/rules_history.h"
#include "policy_runner.h"

namespace lagoonwind::runtime {

/// A configuration and the part of the rules stream that it accounts for.
struct ConfigurationView {
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  /// Exclusive end of the records that are accounted for.
  std::int64_t applied_end = 0;
};

/// Performs the policy's reads and appends on the rules stream and holds the configuration in
/// force. Thread safe; its mutex is a leaf in the lock order.
class ConfigurationStore {
 public:
  ConfigurationStore(http::asio::io_context& io, platform::LogService& log, PolicyRunner& policy);

  /// Executes an action on the rules stream.
  /// \return False if the action is of another kind.
  bool Execute(const policy::Action& action);
  /// The configuration in force, with offset -1 if there is none.
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
