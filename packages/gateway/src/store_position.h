#pragma once

#include <compare>
#include <cstdint>

#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// Position in a topic of the store. Offsets are only comparable within one generation of the
/// store's history; a later generation is a higher position whatever the offset.
struct StorePosition {
  std::int64_t generation = 0;
  std::int64_t offset = 0;

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

/// Position at which the next read after the page continues.
inline StorePosition PositionAfter(const RecordPage& page) {
  return {.generation = page.generation, .offset = page.next_offset};
}

}  // namespace lagoonwind::gateway
