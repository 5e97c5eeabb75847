#pragma once

#include <absl/hash/hash.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Time, typed handles and identities that every package shares.
namespace lagoonwind {

using Duration = std::chrono::microseconds;
/// Monotonic time of one process; virtual in tests.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Typed 64-bit handle. Equal names give equal handles in every process.
template <class Tag>
struct Handle {
  std::uint64_t value = 0;

  /// False for the default handle, which names nothing.
  [[nodiscard]] bool valid() const { return value != 0; }
  auto operator<=>(const Handle&) const = default;

  template <class H>
  friend H AbslHashValue(H state, const Handle& handle) {
    return H::combine(std::move(state), handle.value);
  }
};

using CustomerId = Handle<struct CustomerTag>;
/// A model or a plain service that requests name.
using TargetId = Handle<struct TargetTag>;
/// A daemon, by its name in the settings.
using MemberId = Handle<struct MemberTag>;
using ZoneId = Handle<struct ZoneTag>;
using GrantId = Handle<struct GrantTag>;
/// One run of a daemon; a restart gives a new one.
using Incarnation = Handle<struct IncarnationTag>;
/// One claim of an idempotency key; every claim that any agent makes has its own.
using ClaimNonce = Handle<struct ClaimNonceTag>;
/// Digest of a request's content.
using Digest = Handle<struct DigestTag>;

/// Hashes bytes the same way in every process and release (XXH3, never zero).
/// Thread safe.
/// \param bytes  Any bytes.
/// \param seed   Separates uses of the hash from each other.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two hashes into one, for rendezvous hashing. Thread safe.
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

/// Handle of a named thing. Thread safe.
/// \param name  Name as written in rules or settings; an empty name gives the invalid handle.
template <class IdType>
IdType HandleOf(std::string_view name) {
  return name.empty() ? IdType{} : IdType{StableHash(name)};
}

/// A request, numbered by the entry that owns it.
struct RequestId {
  Incarnation entry;
  std::uint64_t number = 0;

  auto operator<=>(const RequestId&) const = default;

  template <class H>
  friend H AbslHashValue(H state, const RequestId& id) {
    return H::combine(std::move(state), id.entry, id.number);
  }
};

/// One try at running a request.
struct AttemptId {
  RequestId request;
  std::uint32_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;

  template <class H>
  friend H AbslHashValue(H state, const AttemptId& id) {
    return H::combine(std::move(state), id.request, id.attempt);
  }
};

/// Text form of a request id, as callers see it. Thread safe.
std::string FormatRequestId(const RequestId& id);

/// Parses FormatRequestId's form; gives the default id when `text` is malformed. Thread safe.
RequestId ParseRequestId(std::string_view text);

}  // namespace lagoonwind
