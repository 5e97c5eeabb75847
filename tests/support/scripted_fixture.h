#pragma once

#include <cstddef>
#include <string>

#include "platform_world.h"
#include "raw_backend.h"

namespace lagoonwind::testing {

/// A store and one gateway; the backend servers of one service follow a script.
struct ScriptedFixture {
  /// \param service  `model` or `desk`.
  /// \param servers  Number of backend servers, named `raw-1` and so on. All share one address.
  ScriptedFixture(const std::string& service, RawBackend::Script script, int servers = 1);

  /// True if the gateway's log contains `text`.
  [[nodiscard]] bool LogContains(const std::string& text) const;

  RawBackend backend;
  PlatformWorld world;
  Process* gateway = nullptr;
};

/// Event of a stream, with its id.
std::string EventOf(int id);

/// The data as a chunk of the chunked transfer coding.
std::string ChunkOf(const std::string& data);

/// Replaces the placeholder ID in a response.
std::string WithId(std::string text, const std::string& id);

/// Number in a request id of one letter and a number. Scripts that need to know which request they
/// respond to take it from the id: the test may be at another one already.
std::size_t NumberOf(const std::string& id);

}  // namespace lagoonwind::testing
