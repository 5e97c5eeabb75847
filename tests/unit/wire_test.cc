#include "lagoonwind/wire.h"

#include <doctest/doctest.h>

#include <random>

#include "lagoonwind/limits.h"

namespace lagoonwind::wire {
namespace {

TEST_CASE("an encoded message decodes to an equal message") {
  Message message;
  message.__set_chunk({});
  message.chunk.attempt =
      ToWire(AttemptId{.request = {.entry = {~0ULL}, .number = 7}, .attempt = 2});
  message.chunk.offset = 99;
  message.chunk.data = std::string("\0\xff binary", 9);
  const std::string frame = EncodeFrame(message);
  const std::string_view view = frame;
  const auto length = DecodeFrameLength(view.substr(0, kFrameHeaderBytes));
  REQUIRE(length.ok());
  CHECK(*length == frame.size() - kFrameHeaderBytes);
  const auto decoded = DecodeMessage(view.substr(kFrameHeaderBytes));
  REQUIRE(decoded.ok());
  CHECK(*decoded == message);
  CHECK(FromWire(decoded->chunk.attempt).request.entry.value == ~0ULL);
}

TEST_CASE("oversized frames and unknown enum values are rejected, random bytes do not crash") {
  CHECK_FALSE(DecodeFrameLength("\x7f\xff\xff\xff").ok());
  std::mt19937 random(7);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes(random() % 64, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    (void)DecodeMessage(bytes);
  }
  CHECK(ReasonFromWire(-1) == policy::Reason::kNone);
  CHECK(ReasonFromWire(10'000) == policy::Reason::kNone);
  CHECK(ResultFromWire(77) == policy::AttemptResult::kUnknown);
}

}  // namespace
}  // namespace lagoonwind::wire
