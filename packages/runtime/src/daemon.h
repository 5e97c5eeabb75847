#pragma once

#include <memory>

#include "configuration_store.h"
#include "lagoonwind/http.h"
#include "lagoonwind/platform.h"
#include "lagoonwind/runtime.h"
#include "link_manager.h"
#include "metrics.h"
#include "policy_runner.h"

namespace lagoonwind::runtime {

/// What the components of a daemon share. The objects referred to outlive all components.
struct DaemonContext {
  const Settings& settings;
  Incarnation incarnation;
  http::asio::io_context& io;
  PolicyRunner& policy;
  LinkManager& links;
  ConfigurationStore& configuration;
  platform::LogService& log;
  Metrics& metrics;
};

/// The part of a daemon that is specific to its role.
class RoleDaemon : public MessageHandler {
 public:
  /// Opens the ports of the role and starts its coroutines.
  virtual absl::Status Start() = 0;
  /// Executes an action of the role. Called in order, from one thread at a time.
  virtual void Execute(const policy::Action& action) = 0;
  /// Returns true if stopping now would interrupt no work. Thread safe.
  [[nodiscard]] virtual bool Idle() const = 0;
  /// Returns the address for callers, or an empty text if the role serves none.
  [[nodiscard]] virtual std::string caller_address() const = 0;
};

std::unique_ptr<RoleDaemon> MakeEntryDaemon(const DaemonContext& context);
std::unique_ptr<RoleDaemon> MakeAgentDaemon(const DaemonContext& context);

}  // namespace lagoonwind::runtime
