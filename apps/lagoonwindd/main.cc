#include <glog/logging.h>

#include <cxxopts.hpp>
#include <iostream>

#include "lagoonwind/gateway.h"
#include "lagoonwind/runtime.h"
#include "lagoonwind/users_platform.h"

namespace {

constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;

int Run(const cxxopts::ParseResult& options) {
  const auto settings = lagoonwind::runtime::LoadSettings(options["settings"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return kExitRefused;
  }
  if (options["check"].as<bool>()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return lagoonwind::runtime::RunDaemon(*settings);
}

/// Runs a gateway with the settings that the users' platform provides.
int RunOnPlatform(bool check_only, bool slow_start) {
  auto settings = lagoonwind::users_platform::LoadSettings();
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return kExitRefused;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  settings->slow_start = slow_start;
  const auto headers = lagoonwind::users_platform::MakeHeaderCodec();
  const auto records = lagoonwind::users_platform::MakeRecordCodec();
  const auto store = lagoonwind::users_platform::MakeRecordStore(settings->store_address);
  return lagoonwind::gateway::RunGateway(
      *settings, {.headers = *headers, .records = *records, .store = *store});
}

}  // namespace

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  cxxopts::Options options("lagoonwindd", "A daemon of the lagoonwind router fleet.");
  options.add_options()("settings", "TOML settings file", cxxopts::value<std::string>())(
      "platform", "run a gateway with the settings of the users' platform", cxxopts::value<bool>())(
      "slow-start", "with --platform: pace backend servers that have started or recovered",
      cxxopts::value<bool>())("check", "check the settings and exit", cxxopts::value<bool>())(
      "help", "print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed["platform"].as<bool>()) {
      return RunOnPlatform(parsed["check"].as<bool>(), parsed["slow-start"].as<bool>());
    }
    if (parsed.count("settings") == 0) {
      std::cerr << "--settings FILE is missing\n" << options.help();
      return kExitUsage;
    }
    return Run(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return kExitUsage;
  }
}
