#pragma once

#include <absl/hash/hash.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Types shared by all packages: time, typed handles, and the identifiers of requests and attempts.
namespace lagoonwind {

using Duration = std::chrono::microseconds;
/// Monotonic time of one process, in microseconds. Virtual in simulations.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Typed 64-bit handle, usually the hash of a name (see HandleOf). Equal names give equal handles
/// in every process and release. Zero is the invalid handle.
template <class Tag>
struct Handle {
  std::uint64_t value = 0;

  /// False for a default-constructed handle.
  [[nodiscard]] bool valid() const { return value != 0; }
  auto operator<=>(const Handle&) const = default;

  template <class H>
  friend H AbslHashValue(H state, const Handle& handle) {
    return H::combine(std::move(state), handle.value);
  }
};

using CustomerId = Handle<struct CustomerTag>;
/// Model or plain service that a request is addressed to.
using TargetId = Handle<struct TargetTag>;
/// A daemon of the fleet, identified by the name in its settings.
using MemberId = Handle<struct MemberTag>;
using ZoneId = Handle<struct ZoneTag>;
using GrantId = Handle<struct GrantTag>;
/// One lifetime of a daemon process, from start to exit. Every restart creates a new incarnation.
using Incarnation = Handle<struct IncarnationTag>;
/// Identifies one claim of an idempotency key. Unique among the claims of all agents.
using ClaimNonce = Handle<struct ClaimNonceTag>;
/// Digest of a request's content, used to recognize repeated requests.
using Digest = Handle<struct DigestTag>;

/// Hashes bytes with XXH3. The result is the same in every process and release and is never zero.
/// Thread safe.
/// \param seed  Makes the hashes of one use independent of those of another.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two hashes into one; the order matters. Used for rendezvous hashing. Thread safe.
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

/// Returns the handle for a name. Thread safe.
/// \param name  Name as written in rules or settings. An empty name gives the invalid handle.
template <class IdType>
IdType HandleOf(std::string_view name) {
  return name.empty() ? IdType{} : IdType{StableHash(name)};
}

/// Identifies a request: the entry incarnation that accepted it and a number within that
/// incarnation.
struct RequestId {
  Incarnation entry;
  std::uint64_t number = 0;

  auto operator<=>(const RequestId&) const = default;

  template <class H>
  friend H AbslHashValue(H state, const RequestId& id) {
    return H::combine(std::move(state), id.entry, id.number);
  }
};

/// Identifies one attempt at a request: forwarding it once to one backend server.
struct AttemptId {
  RequestId request;
  std::uint32_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;

  template <class H>
  friend H AbslHashValue(H state, const AttemptId& id) {
    return H::combine(std::move(state), id.request, id.attempt);
  }
};

/// Formats a request id as callers see it: the entry incarnation and the number, both in
/// hexadecimal, joined by a dash. Thread safe.
std::string FormatRequestId(const RequestId& id);

/// Parses the output of FormatRequestId. Thread safe.
/// \return A default-constructed id if `text` is malformed.
RequestId ParseRequestId(std::string_view text);

}  // namespace lagoonwind
