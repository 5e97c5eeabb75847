#include "scripted_fixture.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace lagoonwind::testing {

ScriptedFixture::ScriptedFixture(const std::string& service, RawBackend::Script script, int servers)
    : backend(std::move(script)) {
  world.Configure(1);
  for (int server = 1; server <= servers; ++server) {
    world.Register({.name = "raw-" + std::to_string(server),
                    .service = service,
                    .address = backend.address()});
  }
  gateway = &world.StartGateway(1);
}

bool ScriptedFixture::LogContains(const std::string& text) const {
  std::ostringstream log;
  log << std::ifstream(world.LogPath(1)).rdbuf();
  return log.str().find(text) != std::string::npos;
}

std::string EventOf(int id) {
  const std::string number = std::to_string(id);
  return "id: " + number + "\ndata: event " + number + "\n\n";
}

std::string ChunkOf(const std::string& data) {
  std::ostringstream chunk;
  chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
  return chunk.str();
}

std::string WithId(std::string text, const std::string& id) {
  for (std::size_t at = text.find("ID"); at != std::string::npos; at = text.find("ID", at)) {
    text.replace(at, 2, id);
  }
  return text;
}

std::size_t NumberOf(const std::string& id) { return std::stoul(id.substr(1)); }

}  // namespace lagoonwind::testing
