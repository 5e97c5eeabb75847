#include <doctest/doctest.h>

#include "lagoonwind/runtime.h"

namespace lagoonwind::runtime {
namespace {

constexpr std::string_view kAgentSettings = R"([process]
role = "agent"
name = "agent-1"
zone = "lake-1"
[platform]
address = "127.0.0.1:9000"
[links]
key = "a-shared-key"
[backend]
kind = "service"
address = "127.0.0.1:9001"
tags = ["gpu"]
)";

TEST_CASE("valid settings are parsed") {
  const auto settings = ParseSettings(kAgentSettings, "agent.toml");
  REQUIRE_MESSAGE(settings.ok(), settings.status().ToString());
  CHECK(settings->role == policy::Role::kAgent);
  CHECK_FALSE(settings->backend_is_model);
  CHECK(settings->backend_tags == std::vector<std::string>{"gpu"});
}

TEST_CASE("all errors are reported at once, each with its key and line") {
  std::string text(kAgentSettings);
  text += "colour = \"red\"\n[process2]\nx = 1\n";
  text.replace(text.find("127.0.0.1:9000"), 14, "platform.local");
  const auto settings = ParseSettings(text, "agent.toml");
  REQUIRE_FALSE(settings.ok());
  const std::string message(settings.status().message());
  CHECK(message.find("agent.toml:6: platform.address") != std::string::npos);
  CHECK(message.find("agent.toml:13: backend.colour: unknown key") != std::string::npos);
  CHECK(message.find("process2.x: unknown key") != std::string::npos);
  CHECK_FALSE(ParseSettings("[process", "x.toml").ok());
}

TEST_CASE("link keys, names and tags are validated, and errors do not reveal the link key") {
  std::string text(kAgentSettings);
  text.replace(text.find("a-shared-key"), 12, "short-key");
  text.replace(text.find("agent-1"), 7, "agent 1");
  text.replace(text.find(R"(["gpu"])"), 7, R"(["gpu", "gpu"])");
  const auto settings = ParseSettings(text, "a.toml");
  REQUIRE_FALSE(settings.ok());
  const std::string message(settings.status().message());
  CHECK(message.find("a.toml:3: process.name") != std::string::npos);
  CHECK(message.find("a.toml:8: links.key") != std::string::npos);
  CHECK(message.find("a.toml:12: backend.tags") != std::string::npos);
  CHECK(message.find("short-key") == std::string::npos);
}

TEST_CASE("the example settings are valid") {
  for (const char* role : {"entry", "agent"}) {
    const auto settings =
        LoadSettings(std::string(LAGOONWIND_SOURCE_DIR "/examples/settings/") + role + ".toml");
    REQUIRE_MESSAGE(settings.ok(), settings.status().ToString());
    CHECK(policy::Name(settings->role) == role);
  }
}

}  // namespace
}  // namespace lagoonwind::runtime
