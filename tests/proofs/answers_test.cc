#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

#include "caller_request.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;

/// A part of a response in transit: its head, or `data` at `offset` of the body.
struct Part {
  std::uint32_t attempt = 0;
  bool head = false;
  std::uint64_t offset = 0;
  std::string data;
};

std::string BodyOf(std::uint32_t attempt) {
  return "answer of attempt " + std::to_string(attempt) + std::string(attempt, 'x');
}

std::vector<Part> PartsOf(std::uint32_t attempt, std::mt19937& random) {
  std::vector<Part> parts{{.attempt = attempt, .head = true}};
  const std::string body = BodyOf(attempt);
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t size = 1 + random() % 8;
    parts.push_back({.attempt = attempt, .offset = at, .data = body.substr(at, size)});
    at += size;
  }
  return parts;
}

/// What the caller has received.
struct CallerView {
  int heads = 0;
  std::string body;
  bool ended = false;
};

asio::awaitable<void> ReadResponse(std::shared_ptr<CallerRequest> request, CallerView& view) {
  while (!view.ended) {
    const ResponsePart part = co_await request->NextPart();
    if (const auto* data = std::get_if<std::string>(&part)) {
      view.body += *data;
    } else if (std::holds_alternative<ResponseHead>(part)) {
      ++view.heads;
    } else {
      view.ended = true;
    }
  }
}

/// Swaps or duplicates four random parts.
void ReorderAndDuplicate(std::vector<Part>& parts, std::mt19937& random) {
  for (int i = 0; i < 4; ++i) {
    const std::size_t at = random() % parts.size();
    if (random() % 2 == 0) {
      parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(random() % (at + 1)), parts[at]);
    } else {
      std::swap(parts[at], parts[random() % parts.size()]);
    }
  }
}

TEST_CASE(
    "parts that are late, duplicated or reordered do not reach the caller, and a response is "
    "complete only with every byte") {
  int complete = 0;
  int truncated = 0;
  for (std::uint32_t seed = 1; seed <= 2000; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    asio::io_context io;
    auto request = std::make_shared<CallerRequest>(CallerRequest::Content{}, io.get_executor());
    CallerView view;
    asio::co_spawn(io, ReadResponse(request, view), asio::detached);
    // Parts of an abandoned first attempt arrive between those of the second.
    auto parts = PartsOf(2, random);
    if (random() % 2 == 0) {
      ReorderAndDuplicate(parts, random);
    }
    request->BeginAttempt(1);
    REQUIRE(request->BeginAttempt(2));
    for (const auto& late : PartsOf(1, random)) {
      parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(random() % parts.size()), late);
    }
    for (const auto& part : parts) {
      if (part.head) {
        request->AcceptHead(part.attempt, ResponseHead{.status = 200});
      } else {
        request->AcceptData(part.attempt, part.offset, part.data);
      }
      CHECK(!request->IsComplete(1, BodyOf(1).size()));
    }
    const bool is_complete = request->IsComplete(2, BodyOf(2).size());
    request->Finish({.outcome = policy::Outcome::kUnknown});
    request->AcceptData(2, view.body.size(), "too late");
    io.run();
    CHECK(view.heads <= 1);
    CHECK(BodyOf(2).starts_with(view.body));
    CHECK(is_complete == (view.body == BodyOf(2)));
    ++(is_complete ? complete : truncated);
  }
  CHECK(complete > 900);
  CHECK(truncated > 100);
}

TEST_CASE("an attempt cannot replace the response of another attempt once its head was accepted") {
  asio::io_context io;
  CallerRequest request({}, io.get_executor());
  REQUIRE(request.BeginAttempt(1));
  REQUIRE(request.AcceptHead(1, ResponseHead{.status = 200}));
  CHECK(!request.BeginAttempt(2));
  CHECK(!request.AcceptHead(2, ResponseHead{.status = 200}));
  CHECK(request.AcceptData(1, 0, "still the first"));
}

}  // namespace
}  // namespace lagoonwind::runtime
