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

/// What the parts of a daemon share. Outlives all of them.
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

/// The part of a daemon that differs between roles.
class RoleDaemon : public MessageHandler {
 public:
  /// Opens the role's own ports and starts its coroutines.
  virtual absl::Status Start() = 0;
  /// Carries out an action of the role. Called in order, from one thread at a time.
  virtual void Execute(const policy::Action& action) = 0;
  /// True if nothing would be cut off by stopping now. Thread safe.
  [[nodiscard]] virtual bool Idle() const = 0;
  /// Address that callers use; empty if there is none.
  [[nodiscard]] virtual std::string caller_address() const = 0;
};

std::unique_ptr<RoleDaemon> MakeEntryDaemon(const DaemonContext& context);
std::unique_ptr<RoleDaemon> MakeAgentDaemon(const DaemonContext& context);

}  // namespace lagoonwind::runtime
