// Guards against callers whose bodies, each within the limit on one request, together take more
// memory than the process has.
#include "lagoonwind/request_memory.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lagoonwind::policy {
namespace {

constexpr std::uint64_t kMebibyte = 1UL << 20U;
constexpr std::uint64_t kPiece = 64UL << 10U;
constexpr std::uint64_t kLimit = 12 * kMebibyte;
constexpr std::uint64_t kReserve = 3 * kMebibyte;
constexpr std::uint64_t kBody = 4 * kMebibyte;
constexpr Time kStart{std::chrono::seconds(1)};
constexpr Duration kStep = std::chrono::milliseconds(1);

}  // namespace

TEST_CASE("sixty uploads that stop before their end stay within the limit together") {
  RequestMemory memory(kLimit, kReserve);
  constexpr int kUploads = 60;
  std::vector<std::uint64_t> sizes(kUploads);
  std::vector<UploadNumber> numbers;
  numbers.reserve(kUploads);
  for (int i = 0; i < kUploads; ++i) {
    numbers.push_back(memory.Add(kStart));
  }
  std::vector<UploadNumber> open = numbers;
  Time now = kStart;
  int refused = 0;
  for (std::uint64_t size = kPiece; size < kBody; size += kPiece) {
    for (const UploadNumber number : numbers) {
      now += kStep;
      if (std::erase(open, number) == 0) {
        continue;
      }
      open.push_back(number);
      memory.Update(number, size, now);
      while (const auto excess = memory.Excess(now)) {
        memory.Remove(*excess);
        REQUIRE(std::erase(open, *excess) == 1);
        ++refused;
      }
      REQUIRE(memory.bytes() <= kLimit + kReserve);
    }
  }
  CHECK(refused >= kUploads - 4);
  CHECK(memory.bytes() <= kLimit);
  // An ordinary request is accepted beside what is left.
  const UploadNumber ordinary = memory.Add(now);
  memory.Update(ordinary, kPiece, now);
  CHECK(memory.Excess(now) != ordinary);
}

TEST_CASE("uploads without progress are refused before larger ones that make progress") {
  RequestMemory memory(kLimit, kReserve);
  const UploadNumber stalled = memory.Add(kStart);
  memory.Update(stalled, 2 * kMebibyte, kStart);
  const UploadNumber smaller = memory.Add(kStart);
  memory.Update(smaller, kMebibyte, kStart);
  const Time now = kStart + RequestMemory::kStallTime;
  const UploadNumber active = memory.Add(now);
  memory.Update(active, 11 * kMebibyte, now);
  CHECK(memory.Excess(now) == stalled);
  memory.Remove(stalled);
  CHECK(!memory.Excess(now));
}

TEST_CASE("the largest upload is refused if all make progress") {
  RequestMemory memory(kLimit, kReserve);
  const UploadNumber small = memory.Add(kStart);
  memory.Update(small, 5 * kMebibyte, kStart);
  const UploadNumber large = memory.Add(kStart);
  memory.Update(large, 8 * kMebibyte, kStart);
  CHECK(memory.Excess(kStart) == large);
}

TEST_CASE("whole bodies that are held leave room for small requests only") {
  RequestMemory memory(kLimit, kReserve);
  for (int i = 0; i < 3; ++i) {
    const UploadNumber held = memory.Add(kStart);
    memory.Update(held, kBody, kStart);
    memory.Complete(held);
  }
  CHECK(!memory.Excess(kStart));
  const UploadNumber large = memory.Add(kStart);
  memory.Update(large, RequestMemory::kSmallBytes + 1, kStart);
  CHECK(memory.Excess(kStart) == large);
  memory.Remove(large);
  std::vector<UploadNumber> small;
  while (memory.bytes() + kPiece <= kLimit + kReserve) {
    small.push_back(memory.Add(kStart));
    memory.Update(small.back(), kPiece, kStart);
    REQUIRE(!memory.Excess(kStart));
  }
  const UploadNumber beyond = memory.Add(kStart);
  memory.Update(beyond, kPiece, kStart);
  CHECK(memory.Excess(kStart).has_value());
}

TEST_CASE("one body of the largest size is accepted on the smallest host") {
  // A quarter of 88 MB; the body's buffer may be twice as large as the body.
  RequestMemory memory(22 * kMebibyte, 0);
  const UploadNumber only = memory.Add(kStart);
  for (std::uint64_t bytes = kPiece; bytes <= 2 * kBody; bytes += kPiece) {
    memory.Update(only, bytes, kStart);
    REQUIRE(!memory.Excess(kStart));
  }
  memory.Remove(only);
  memory.Remove(only);
  CHECK(memory.bytes() == 0);
}

}  // namespace lagoonwind::policy
