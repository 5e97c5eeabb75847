// Responses of backend servers that come twice, break off in their head, or have no place in the
// stream that the caller receives.
#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <string>
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
using testing::kApiKeyField;
using testing::kPromptFields;
using testing::PlatformWorld;
using testing::RawConnection;
using testing::ResponseHeadOf;
using testing::ResponseOf;
using testing::ScriptedFixture;
using testing::WithId;

}  // namespace

TEST_CASE("a refusal that is written once more is not taken for the response to a later request") {
  const std::string refusal =
      "HTTP/1.1 503 Unavailable\r\nX-Attempt-Id: ID\r\nX-Not-Run: 1\r\nKeep-Alive: "
      "timeout=20\r\nContent-Length: 5\r\n\r\nfull\n";
  const std::string misdirected =
      "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: ID\r\nX-Not-Run: 1\r\nKeep-Alive: "
      "timeout=20\r\nContent-Length: 0\r\n\r\n";
  const std::string without_id =
      "HTTP/1.1 429 Too Many\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=20\r\nContent-Length: "
      "0\r\n\r\n";
  struct Repetition {
    std::string refusal;
    /// Copies that precede the response to the later request.
    int copies = 1;
    bool responds = true;
    unsigned expected_status = 200;
  };
  const std::vector<Repetition> repetitions{
      {.refusal = refusal},
      {.refusal = refusal, .copies = 2},
      {.refusal = refusal, .responds = false, .expected_status = 502},
      {.refusal = misdirected},
      {.refusal = misdirected, .responds = false, .expected_status = 502},
      {.refusal = without_id, .expected_status = 502}};
  for (const Repetition& repetition : repetitions) {
    CAPTURE(repetition.refusal);
    CAPTURE(repetition.copies);
    CAPTURE(repetition.responds);
    std::atomic<int> executions = 0;
    ScriptedFixture fixture(
        "desk",
        [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
          // Each connection refuses its first request.
          const std::string first = WithId(repetition.refusal, id);
          (void)co_await connection.Write(first);
          for (id = co_await connection.ReadRequest(); !id.empty();
               id = co_await connection.ReadRequest()) {
            ++executions;
            std::string text;
            for (int copy = 0; copy < repetition.copies; ++copy) {
              text.append(first);
            }
            text.append(repetition.responds ? ResponseOf(id, "answer to " + id) : "");
            (void)co_await connection.Write(std::move(text));
            if (!repetition.responds) {
              co_return;
            }
          }
        },
        2);
    Caller caller(PlatformWorld::CallerAddress(1));
    // Both backend servers refuse, so the caller is told so and the connections are kept.
    CHECK(caller.Send("POST", "/book/1", "m1", {kApiKeyField}, "x").status == 503);
    CHECK(executions == 0);
    const auto response = caller.Send("POST", "/book/1", "m2", {kApiKeyField}, "x");
    CHECK(response.status == repetition.expected_status);
    CHECK(executions == 1);
  }
}

TEST_CASE("a response whose head breaks off never reaches its caller as a success") {
  const std::vector<std::string> responses{
      ResponseHeadOf("ID", "Content-Length: 0"), ResponseHeadOf("ID", "Transfer-Encoding: chunked"),
      ResponseHeadOf("ID", "Content-Type: text/event-stream\r\nConnection: close")};
  std::size_t cut = 0;
  bool reset = false;
  std::mutex mutex;
  std::string head;
  ScriptedFixture fixture("model",
                          [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
                            std::string text;
                            bool resets = false;
                            {
                              const std::scoped_lock lock(mutex);
                              text = WithId(head, id).substr(0, cut);
                              resets = reset;
                            }
                            (void)co_await connection.Write(std::move(text));
                            if (resets) {
                              co_await connection.Wait(milliseconds(2));
                              connection.Reset();
                            }
                          });
  fixture.world.Register(
      {.name = "desk-1", .service = "desk", .address = fixture.backend.address()});
  REQUIRE(PlatformWorld::Await([&] { return fixture.LogContains("desk-1"); }));
  int number = 0;
  for (const std::string& response : responses) {
    for (const char* target : {"/book/1", "/chat/1"}) {
      for (std::size_t size = 1; size < response.size(); ++size) {
        {
          const std::scoped_lock lock(mutex);
          head = response;
          cut = size;
          reset = size % 8 == 0;
        }
        const std::string id = "n" + std::to_string(number++);
        const auto result =
            Caller(PlatformWorld::CallerAddress(1)).Send("POST", target, id, kPromptFields, "body");
        CAPTURE(WithId(response, id).substr(0, size));
        CHECK(result.status == 502);
      }
    }
  }
}

TEST_CASE("an error in response to a resumption never gets into the stream or ends it") {
  const std::vector<std::string> errors{
      "HTTP/1.1 404 None\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nno",
      "HTTP/1.1 400 Bad Request\r\nX-Attempt-Id: ID\r\nContent-Length: 4\r\n\r\nbad\n",
      "HTTP/1.1 500 Error\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n\r\n",
      "HTTP/1.1 302 Found\r\nX-Attempt-Id: ID\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
      ResponseHeadOf("ID", "Content-Type: application/json\r\nContent-Length: 14") +
          R"({"error":"no"})",
      ResponseHeadOf("ID", "Content-Type: text/plain\r\nConnection: close") + "error\n\n"};
  for (const std::string& error : errors) {
    CAPTURE(error);
    std::atomic<int> attempts = 0;
    std::atomic<bool> recovers = false;
    ScriptedFixture fixture(
        "model",
        [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
          const int attempt = attempts++;
          std::string text =
              ResponseHeadOf(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked");
          if (attempt == 0) {
            text.append(ChunkOf(EventOf(1)));
          } else if (attempt == 1 || !recovers) {
            text = WithId(error, id);
          } else {
            text.append(ChunkOf(EventOf(2) + EventOf(3) + EventOf(4)) + "0\r\n\r\n");
          }
          (void)co_await connection.Write(std::move(text));
        },
        3);
    fixture.world.AddServer("d-1", "desk");
    REQUIRE(PlatformWorld::Await([&] { return fixture.LogContains("d-1"); }));
    // A second request follows on the connection, whose response must not get into the stream.
    const std::string received =
        testing::ReceiveAll(PlatformWorld::CallerAddress(1),
                            testing::RequestOf("POST", "/plan/1", "o1", kPromptFields, "body") +
                                testing::RequestOf("GET", "/look/1", "o2"));
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(received.ends_with(ChunkOf(EventOf(1))));
    attempts = 0;
    recovers = true;
    const auto response = Caller(PlatformWorld::CallerAddress(1))
                              .Send("POST", "/plan/1", "o3", kPromptFields, "body");
    CHECK(response.complete);
    CHECK(response.body == EventOf(1) + EventOf(2) + EventOf(3) + EventOf(4));
  }
}

}  // namespace lagoonwind
