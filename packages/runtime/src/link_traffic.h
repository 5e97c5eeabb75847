#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "lagoonwind/wire.h"

namespace lagoonwind::runtime {

/// Kinds of messages with separate counters; all other kinds count as `other`.
inline constexpr std::array<std::string_view, 15> kMessageKinds{
    "ping",   "leaving", "offer", "queued",  "started", "head",      "chunk", "ended",
    "cancel", "demand",  "grant", "decline", "report",  "handshake", "other"};

/// Returns the index of a message's kind in kMessageKinds. Thread safe.
std::size_t MessageKindIndex(const wire::Message& message);

/// Number of frames and bytes of one kind in one direction.
struct TrafficCount {
  std::atomic<std::uint64_t> frames{0};
  std::atomic<std::uint64_t> bytes{0};

  void Add(std::size_t frame_bytes) {
    frames.fetch_add(1, std::memory_order_relaxed);
    bytes.fetch_add(frame_bytes, std::memory_order_relaxed);
  }
};

/// Traffic counters of all links of a process. Thread safe, without locks.
struct LinkTraffic {
  std::array<TrafficCount, kMessageKinds.size()> sent;
  std::array<TrafficCount, kMessageKinds.size()> received;
};

}  // namespace lagoonwind::runtime
