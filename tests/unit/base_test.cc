#include "lagoonwind/base.h"

#include <doctest/doctest.h>

namespace lagoonwind {
namespace {

TEST_CASE("a formatted request id parses to the same id, and malformed ids are invalid") {
  const RequestId id{.entry = {0xabcdef0123456789U}, .number = 42};
  CHECK(ParseRequestId(FormatRequestId(id)) == id);
  for (const auto* malformed : {"", "-", "12", "xy-1", "12-zz", "1-2-3"}) {
    CHECK_FALSE(ParseRequestId(malformed).entry.valid());
  }
}

TEST_CASE("equal names give equal handles, and an empty name gives an invalid handle") {
  CHECK(HandleOf<CustomerId>("saltline-erie") == HandleOf<CustomerId>("saltline-erie"));
  CHECK(HandleOf<CustomerId>("saltline-erie") != HandleOf<CustomerId>("saltline-huron"));
  CHECK_FALSE(HandleOf<CustomerId>("").valid());
}

}  // namespace
}  // namespace lagoonwind
