#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

#include "lagoonwind/base.h"
#include "lagoonwind/engine_load.h"

/// \file
/// Bound on the memory that responses of backend servers occupy.
namespace lagoonwind::policy {

/// Identifies a response that is being received.
using ResponseNumber = std::uint64_t;

/// Bounds the memory of all responses together. A faulty backend server that sends bytes without
/// end fills what one response may occupy on each of its connections, so limits on single responses
/// don't bound the process. Not thread safe.
class ResponseMemory {
 public:
  /// \param limit_bytes  Memory that all responses together may occupy.
  explicit ResponseMemory(std::uint64_t limit_bytes) : limit_bytes_(limit_bytes) {}

  /// Adds a response without any bytes.
  ResponseNumber Add(ServerId server);
  /// Records how much memory a response occupies now.
  /// Precondition: the response was added and is not removed.
  void Update(ResponseNumber response, std::uint64_t bytes);
  /// Records that the response is complete, so that it can't grow.
  void Complete(ResponseNumber response);
  /// Removes a response; no effect if it was removed before.
  void Remove(ResponseNumber response);
  /// Returns the response to be broken off next: the largest incomplete one of the backend server
  /// whose incomplete responses occupy most. Absent while the limit holds.
  [[nodiscard]] std::optional<ResponseNumber> Excess() const;
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  [[nodiscard]] std::uint64_t limit_bytes() const { return limit_bytes_; }

 private:
  struct Response {
    ServerId server;
    std::uint64_t bytes = 0;
    bool complete = false;
  };

  std::uint64_t limit_bytes_;
  std::uint64_t bytes_ = 0;
  ResponseNumber last_number_ = 0;
  absl::flat_hash_map<ResponseNumber, Response> responses_;
  /// Bytes of the incomplete responses of each backend server.
  absl::flat_hash_map<ServerId, std::uint64_t> incomplete_bytes_;
};

}  // namespace lagoonwind::policy
