// Backend servers that are silent for a while and then go on, against a gateway process.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "caller.h"
#include "platform_world.h"
#include "raw_backend.h"
#include "scripted_fixture.h"

namespace lagoonwind {
namespace {

namespace asio = http::asio;
using std::chrono::milliseconds;
using testing::Caller;
using testing::ChunkOf;
using testing::EventOf;
using testing::kPromptFields;
using testing::PlatformWorld;
using testing::RawConnection;
using testing::ResponseHeadOf;
using testing::ResponseOf;
using testing::ScriptedFixture;
using testing::WithId;

/// Longer than the gateway waits for progress if it can send the request elsewhere.
constexpr milliseconds kSilence{1900};
constexpr const char* kLastChunk = "0\r\n\r\n";

/// A stream that stops after its first event and then goes on.
asio::awaitable<void> WriteWithSilence(RawConnection& connection, std::string id) {
  std::string begin = ResponseHeadOf(id, "Transfer-Encoding: chunked") + ChunkOf(EventOf(1));
  (void)co_await connection.Write(std::move(begin));
  co_await connection.Wait(kSilence);
  std::string end = ChunkOf(EventOf(2) + EventOf(3) + EventOf(4)) + kLastChunk;
  (void)co_await connection.Write(std::move(end));
  (void)co_await connection.ReadRequest();
}

std::string ExpectedStream() { return EventOf(1) + EventOf(2) + EventOf(3) + EventOf(4); }

Caller::Response SendPlan(const std::string& id,
                          const std::vector<http::Field>& fields = kPromptFields) {
  return Caller(PlatformWorld::CallerAddress(1)).Send("POST", "/plan/1", id, fields, "body");
}

std::string RefusalOf(const std::string& id) {
  return WithId(
      "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id);
}

}  // namespace

TEST_CASE("a stream is not cut for the silence of the only backend server") {
  std::atomic<int> executions = 0;
  ScriptedFixture fixture("model",
                          [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
                            ++executions;
                            co_await WriteWithSilence(connection, std::move(id));
                          });
  Caller::Response response;
  SUBCASE("alone") { response = SendPlan("a1"); }
  SUBCASE("beside a new configuration") {
    std::jthread request([&] { response = SendPlan("a2"); });
    REQUIRE(PlatformWorld::Await([&] { return executions == 1; }));
    fixture.world.Configure(2);
    request.join();
  }
  CHECK(response.complete);
  CHECK(response.body == ExpectedStream());
  CHECK(executions == 1);
}

TEST_CASE("an idempotent request is not failed for the silence of the only backend server") {
  ScriptedFixture fixture("desk",
                          [](RawConnection& connection, std::string id) -> asio::awaitable<void> {
                            co_await connection.Wait(kSilence);
                            std::string response = ResponseOf(id, "answer");
                            (void)co_await connection.Write(std::move(response));
                            (void)co_await connection.ReadRequest();
                          });
  const auto response = Caller(PlatformWorld::CallerAddress(1)).Send("GET", "/look/1", "b1");
  CHECK(response.status == 200);
  CHECK(response.body == "answer");
}

TEST_CASE("a stream is not cut for silence while the retry budget is used up") {
  std::atomic<bool> refuses = true;
  std::atomic<int> executions = 0;
  ScriptedFixture fixture(
      "model",
      [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        if (refuses) {
          std::string refusal = RefusalOf(id);
          (void)co_await connection.Write(std::move(refusal));
          co_return;
        }
        ++executions;
        co_await WriteWithSilence(connection, std::move(id));
      },
      2);
  for (int i = 0; i < 100 && !fixture.LogContains("retry_budget_used_up"); ++i) {
    (void)SendPlan("c" + std::to_string(i));
  }
  refuses = false;
  const auto response = SendPlan("d1");
  CHECK(response.complete);
  CHECK(response.body == ExpectedStream());
  CHECK(executions == 1);
}

TEST_CASE("a stream is not cut for silence if the other backend servers can't end it in time") {
  std::atomic<int> executions = 0;
  ScriptedFixture fixture(
      "model",
      [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        ++executions;
        co_await WriteWithSilence(connection, std::move(id));
      },
      2);
  std::vector<http::Field> fields = kPromptFields;
  // Decoding is expected to take most of the time that the route allows.
  fields[1].value = "300,340";
  const auto response = SendPlan("e1", fields);
  CHECK(response.complete);
  CHECK(response.body == ExpectedStream());
  CHECK(executions == 1);
}

TEST_CASE("a stream of a silent backend server is resumed by another one") {
  std::atomic<int> executions = 0;
  std::atomic<bool> first_closed = false;
  std::atomic<bool> overlap = false;
  ScriptedFixture fixture(
      "model",
      [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        if (executions++ == 0) {
          std::string begin =
              ResponseHeadOf(id, "Transfer-Encoding: chunked") + ChunkOf(EventOf(1));
          (void)co_await connection.Write(std::move(begin));
          (void)co_await connection.ReadRequest();
          first_closed = true;
          co_return;
        }
        co_await connection.Wait(milliseconds(100));
        overlap = !first_closed;
        std::string rest = ResponseHeadOf(id, "Transfer-Encoding: chunked") +
                           ChunkOf(EventOf(2) + EventOf(3) + EventOf(4)) + kLastChunk;
        (void)co_await connection.Write(std::move(rest));
        (void)co_await connection.ReadRequest();
      },
      2);
  const auto started = std::chrono::steady_clock::now();
  const auto response = SendPlan("f1");
  // The limit on silence for an objective of 600 ms, and the time for the rest.
  CHECK(std::chrono::steady_clock::now() - started < milliseconds(1800));
  CHECK(response.complete);
  CHECK(response.body == ExpectedStream());
  CHECK(executions == 2);
  CHECK(!overlap);
}

TEST_CASE("a stream returns to a silent backend server if the others refuse it") {
  std::atomic<int> executions = 0;
  ScriptedFixture fixture(
      "model",
      [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        const int execution = executions++;
        std::string text = ResponseHeadOf(id, "Transfer-Encoding: chunked");
        if (execution == 0) {
          text.append(ChunkOf(EventOf(1)));
        } else if (execution == 1) {
          text = RefusalOf(id);
        } else {
          text.append(ChunkOf(EventOf(2) + EventOf(3) + EventOf(4)) + kLastChunk);
        }
        (void)co_await connection.Write(std::move(text));
        (void)co_await connection.ReadRequest();
      },
      2);
  const auto response = SendPlan("g1");
  CHECK(response.complete);
  CHECK(response.body == ExpectedStream());
  CHECK(executions == 3);
}

}  // namespace lagoonwind
