// Responses that break off and are followed by another response on the same connection, so that a
// parser reads both as one.
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <atomic>
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
using testing::ScriptedFixture;
using testing::WithId;

/// A response with the placeholder ID, whose body names the request.
std::string ResponseTemplate(const std::string& status) {
  return "HTTP/1.1 " + status +
         "\r\nX-Attempt-Id: ID\r\nX-Server-Seal: seal.ID\r\nKeep-Alive: timeout=5\r\n"
         "Content-Type: text/plain\r\nContent-Length: 11\r\n\r\nbody of ID";
}

std::string RefusalTemplate(const std::string& status) {
  return "HTTP/1.1 " + status +
         "\r\nX-Not-Run: 1\r\nX-Attempt-Id: ID\r\nKeep-Alive: timeout=5\r\nX-Cold-Ms: 20\r\n"
         "Content-Length: 0\r\n\r\n";
}

std::size_t HeadSize(const std::string& response) { return response.find("\r\n\r\n") + 4; }

/// Id of three characters, as the length in ResponseTemplate() requires.
std::string IdOf(char kind, std::size_t number) {
  return absl::StrCat(std::string(1, kind), 10 + number % 90);
}

}  // namespace

// Guards against review case 7: the caller got the body of the response to another request.
TEST_CASE("a response that breaks off in its head isn't completed by a copy of the one before") {
  for (const char* status : {"200 OK", "500 Internal Server Error"}) {
    const std::string response = ResponseTemplate(status);
    std::atomic<std::size_t> cut = 0;
    ScriptedFixture fixture(
        "desk", [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
          const std::string earlier = WithId(ResponseTemplate("200 OK"), id);
          (void)co_await connection.Write(earlier);
          id = co_await connection.ReadRequest();
          if (!id.empty()) {
            (void)co_await connection.Write(WithId(response, id).substr(0, cut) + earlier);
            (void)co_await connection.ReadRequest();
          }
        });
    const std::size_t head_size = HeadSize(WithId(response, IdOf('q', 0)));
    for (std::size_t size = 1; size < head_size; ++size) {
      cut = size;
      CAPTURE(WithId(response, "q").substr(0, size));
      Caller caller(PlatformWorld::CallerAddress(1));
      CHECK(caller.Send("POST", "/book/1", IdOf('p', size), {kApiKeyField}, "x").status == 200);
      const auto second = caller.Send("POST", "/book/1", IdOf('q', size), {kApiKeyField}, "x");
      CHECK(second.status == 502);
    }
  }
}

// Guards against review case 6: a booking that had run was sent to a second backend server.
TEST_CASE("a late response that breaks off in its head doesn't change the status of the next one") {
  for (const std::string& late :
       {RefusalTemplate("503 Service Unavailable"), RefusalTemplate("421 Misdirected Request"),
        ResponseTemplate("500 Internal Server Error"), ResponseTemplate("204 No Content")}) {
    std::atomic<std::size_t> cut = 0;
    std::atomic<int> executions = 0;
    std::string earlier;
    ScriptedFixture fixture(
        "desk",
        [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
          for (; !id.empty(); id = co_await connection.ReadRequest()) {
            if (id.starts_with('p')) {
              (void)co_await connection.Write(
                  WithId(RefusalTemplate("503 Service Unavailable"), id));
              earlier = WithId(late, id);
            } else {
              ++executions;
              (void)co_await connection.Write(earlier.substr(0, cut) +
                                              WithId(ResponseTemplate("200 OK"), id));
            }
          }
        },
        2);
    const std::size_t head_size = HeadSize(WithId(late, IdOf('p', 0)));
    for (std::size_t size = 1; size < head_size; ++size) {
      cut = size;
      executions = 0;
      CAPTURE(WithId(late, "p").substr(0, size));
      Caller caller(PlatformWorld::CallerAddress(1));
      CHECK(caller.Send("POST", "/book/1", IdOf('p', size), {kApiKeyField}, "x").status == 503);
      const auto second = caller.Send("POST", "/book/1", IdOf('q', size), {kApiKeyField}, "x");
      CHECK(second.status == 502);
      CHECK(executions == 1);
    }
  }
}

// Guards against sending the next request on a connection that does not keep responses apart.
TEST_CASE("a connection with joined responses isn't used again") {
  std::atomic<int> connections = 0;
  ScriptedFixture fixture(
      "desk", [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        ++connections;
        // The second head ends both responses.
        (void)co_await connection.Write(
            WithId("HTTP/1.1 500 Error\r\nX-Attempt-Id: ID\r\nX-Note: aHTTP/1.1 200 OK\r\n"
                   "X-Server-Seal: s\r\nKeep-Alive: timeout=20\r\nContent-Length: 0\r\n\r\n",
                   id));
        (void)co_await connection.ReadRequest();
      });
  for (const char* id : {"p10", "p11"}) {
    Caller caller(PlatformWorld::CallerAddress(1));
    CHECK(caller.Send("POST", "/book/1", id, {kApiKeyField}, "x").status == 502);
  }
  CHECK(connections == 2);
}

// Guards against a response whose fields come from its two copies.
TEST_CASE("a first response that breaks off in its head isn't completed by a second copy") {
  const std::string response = ResponseTemplate("200 OK");
  std::atomic<std::size_t> cut = 0;
  ScriptedFixture fixture("desk",
                          [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
                            const std::string whole = WithId(response, id);
                            (void)co_await connection.Write(whole.substr(0, cut) + whole);
                            (void)co_await connection.ReadRequest();
                          });
  const std::size_t head_size = HeadSize(WithId(response, IdOf('p', 0)));
  for (std::size_t size = 1; size < head_size; ++size) {
    cut = size;
    CAPTURE(WithId(response, "p").substr(0, size));
    const auto received = Caller(PlatformWorld::CallerAddress(1))
                              .Send("POST", "/book/1", IdOf('p', size), {kApiKeyField}, "x");
    CHECK(received.status == 502);
  }
}

TEST_CASE("the log names the field that holds a second status line") {
  const std::string response = ResponseTemplate("200 OK");
  ScriptedFixture fixture(
      "desk", [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        const std::string whole = WithId(response, id);
        (void)co_await connection.Write(whole.substr(0, whole.find("text/plain")) + whole);
        (void)co_await connection.ReadRequest();
      });
  const auto received =
      Caller(PlatformWorld::CallerAddress(1)).Send("POST", "/book/1", "p10", {kApiKeyField}, "x");
  CHECK(received.status == 502);
  CHECK(PlatformWorld::Await([&] {
    return fixture.LogContains("a second status line in the field Content-Type of the response");
  }));
}

// Guards against a body that the head or body of the response to another request completes.
TEST_CASE("a body that breaks off isn't filled up by a copy of the response before") {
  const std::string response = ResponseTemplate("200 OK");
  std::atomic<std::size_t> cut = 0;
  std::atomic<bool> pauses = false;
  ScriptedFixture fixture(
      "desk", [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        const std::string earlier = WithId(response, id);
        (void)co_await connection.Write(earlier);
        id = co_await connection.ReadRequest();
        if (id.empty()) {
          co_return;
        }
        const std::string broken_off = WithId(response, id).substr(0, cut);
        const std::size_t missing = earlier.size() - cut;
        if (pauses) {
          // What fills up the body is received before the rest.
          (void)co_await connection.Write(broken_off + earlier.substr(0, missing));
          (void)co_await connection.Write(earlier.substr(missing));
        } else {
          (void)co_await connection.Write(broken_off + earlier);
        }
        (void)co_await connection.ReadRequest();
      });
  const std::string whole = WithId(response, IdOf('q', 0));
  for (std::size_t size = HeadSize(whole); size < whole.size(); ++size) {
    cut = size;
    CAPTURE(whole.size() - size);
    Caller caller(PlatformWorld::CallerAddress(1));
    CHECK(caller.Send("POST", "/book/1", IdOf('p', size), {kApiKeyField}, "x").status == 200);
    const auto second = caller.Send("POST", "/book/1", IdOf('q', size), {kApiKeyField}, "x");
    CHECK(second.status == 502);
  }
  pauses = true;
  cut = HeadSize(whole);
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("POST", "/book/1", "p99", {kApiKeyField}, "x").status == 200);
  CHECK(caller.Send("POST", "/book/1", "q99", {kApiKeyField}, "x").status == 502);
}

// Guards against a body that goes on with the response to another request until the end.
TEST_CASE("a body without framing doesn't take in a copy of the response before") {
  std::atomic<bool> breaks_off = true;
  ScriptedFixture fixture(
      "desk", [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        const std::string earlier = WithId(ResponseTemplate("200 OK"), id);
        (void)co_await connection.Write(earlier);
        id = co_await connection.ReadRequest();
        if (!id.empty()) {
          const std::string body = "body of " + id;
          (void)co_await connection.Write(testing::ResponseHeadOf(id, "Connection: close") +
                                          body.substr(0, breaks_off ? 4 : body.size()) + earlier);
        }
      });
  for (const char* number : {"10", "11"}) {
    const std::string id = number;
    Caller caller(PlatformWorld::CallerAddress(1));
    CHECK(caller.Send("POST", "/book/1", "p" + id, {kApiKeyField}, "x").status == 200);
    CHECK(caller.Send("POST", "/book/1", "q" + id, {kApiKeyField}, "x").status == 502);
    breaks_off = false;
  }
}

// Guards against forwarding another response's head and events within a stream.
TEST_CASE("a stream that breaks off doesn't take in events of the response before") {
  const std::string events = EventOf(1) + EventOf(2) + EventOf(3) + EventOf(4);
  // One chunk or a stated length for all events, and neither.
  const std::vector<std::string> framings{"Transfer-Encoding: chunked",
                                          absl::StrCat("Content-Length: ", 4 * events.size()),
                                          "Connection: close"};
  for (const std::string& framing : framings) {
    CAPTURE(framing);
    const bool is_chunked = framing == framings[0];
    std::atomic<std::size_t> cut = 0;
    ScriptedFixture fixture(
        "model", [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
          const std::string earlier =
              testing::ResponseHeadOf(id, absl::StrCat("Content-Length: ", events.size())) + events;
          (void)co_await connection.Write(earlier);
          id = co_await connection.ReadRequest();
          if (!id.empty()) {
            std::string text = testing::ResponseHeadOf(id, framing);
            absl::StrAppend(&text, is_chunked ? "fff\r\n" : "", events.substr(0, cut), earlier);
            (void)co_await connection.Write(text);
            co_await connection.Wait(milliseconds(20));
          }
        });
    for (const std::size_t size : {events.size() / 2, EventOf(1).size(), EventOf(1).size() + 3}) {
      cut = size;
      CAPTURE(size);
      Caller caller(PlatformWorld::CallerAddress(1));
      CHECK(caller.Send("POST", "/chat/1", IdOf('p', size), kPromptFields, "x").body == events);
      const auto second = caller.Send("POST", "/chat/1", IdOf('q', size), kPromptFields, "x");
      CHECK(!(second.status == 200 && second.complete));
      CHECK(second.body.find("HTTP") == std::string::npos);
      CHECK(second.body.find("X-Attempt-Id") == std::string::npos);
    }
  }
}

// Guards against fields of another response that reach the caller as trailers.
TEST_CASE("trailers aren't completed by the head of another response") {
  ScriptedFixture fixture(
      "desk", [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        const std::string earlier = WithId(ResponseTemplate("200 OK"), id);
        (void)co_await connection.Write(earlier);
        id = co_await connection.ReadRequest();
        (void)co_await connection.Write(testing::ResponseHeadOf(id, "Transfer-Encoding: chunked") +
                                        ChunkOf("body of " + id) +
                                        "0\r\nX-Note: aHTTP/1.1 200 OK\r\nX-Attempt-Id: "
                                        "p10\r\nX-Server-Seal: seal.p10\r\n\r\n");
        (void)co_await connection.ReadRequest();
      });
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("POST", "/book/1", "p10", {kApiKeyField}, "x").status == 200);
  CHECK(caller.Send("POST", "/book/1", "q10", {kApiKeyField}, "x").status == 502);
}

TEST_CASE("a complete response that is followed by another one is passed on") {
  ScriptedFixture fixture("desk",
                          [](RawConnection& connection, std::string id) -> asio::awaitable<void> {
                            const std::string response = WithId(ResponseTemplate("200 OK"), id);
                            (void)co_await connection.Write(response + response);
                            (void)co_await connection.ReadRequest();
                          });
  const auto received =
      Caller(PlatformWorld::CallerAddress(1)).Send("POST", "/book/1", "p10", {kApiKeyField}, "x");
  CHECK(received.status == 200);
  CHECK(received.body == "body of p10");
}

TEST_CASE("bodies and events of a sound backend server may quote responses") {
  const std::string quote =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: a77\r\nX-Server-Seal: s\r\n\r\nHTTP/1.1 404";
  const std::string event =
      "id: 1\ndata: HTTP/1.1 200 OK\ndata: X-Attempt-Id: a77\ndata: HTTP/1.0 500\n\n";
  const std::vector<std::string> bodies{
      testing::ResponseHeadOf("ID", absl::StrCat("Content-Length: ", quote.size())) + quote,
      testing::ResponseHeadOf("ID", "Transfer-Encoding: chunked") + ChunkOf(quote) + "0\r\n\r\n",
      testing::ResponseHeadOf("ID", "Connection: close") + quote};
  const std::vector<std::string> streams{
      testing::ResponseHeadOf("ID", absl::StrCat("Content-Length: ", event.size())) + event,
      testing::ResponseHeadOf("ID", "Transfer-Encoding: chunked") + ChunkOf(event) + "0\r\n\r\n",
      testing::ResponseHeadOf("ID", "Connection: close") + event};
  const auto script = [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
    const auto& responses = id.starts_with('b') ? bodies : streams;
    (void)co_await connection.Write(WithId(responses.at(testing::NumberOf(id)), id));
  };
  ScriptedFixture fixture("desk", script);
  fixture.world.Register(
      {.name = "model-1", .service = "model", .address = fixture.backend.address()});
  REQUIRE(PlatformWorld::Await([&] { return fixture.LogContains("model-1"); }));
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    CAPTURE(i);
    const std::string number = std::to_string(i);
    Caller caller(PlatformWorld::CallerAddress(1));
    const auto body = caller.Send("POST", "/book/1", "b" + number, {kApiKeyField}, "x");
    CHECK(body.status == 200);
    CHECK(body.complete);
    CHECK(body.body == quote);
    const auto stream = Caller(PlatformWorld::CallerAddress(1))
                            .Send("POST", "/chat/1", "s" + number, kPromptFields, "x");
    CHECK(stream.status == 200);
    CHECK(stream.complete);
    CHECK(stream.body == event);
  }
}

TEST_CASE("unusual fields of a sound backend server reach the caller unchanged") {
  const std::vector<std::string> fields{"Via: HTTP/1.1 cache, 1.0 proxy",
                                        "Server: HTTP/1.1-server 200",
                                        "X-Note: HTTP/2 200 OK",
                                        "Set-Cookie: a=1",
                                        "Set-Cookie: b=2",
                                        "Link: </1>; rel=next",
                                        "Link: </2>; rel=next",
                                        "Cache-Control: no-store",
                                        "Cache-Control: private",
                                        "X-Server-Seal: seal.p10",
                                        "X-Server-Seal: seal.p10",
                                        "Content-Type: text/plain",
                                        "Content-Type: text/plain"};
  const std::string body = "HTTP/1.1 200 OK\r\nX-Attempt-Id: p10\r\n\r\nHTTP/1.1 404";
  std::string head = "HTTP/1.1 200 Fine, HTTP/1.1\r\nX-Attempt-Id: p10\r\n";
  for (const std::string& field : fields) {
    absl::StrAppend(&head, field, "\r\n");
  }
  ScriptedFixture fixture(
      "desk", [&](RawConnection& connection, std::string /*id*/) -> asio::awaitable<void> {
        (void)co_await connection.Write(absl::StrCat(
            head, "Keep-Alive: timeout=5\r\nKeep-Alive: max=9\r\nContent-Length: ", body.size(),
            "\r\n\r\n", body));
        (void)co_await connection.ReadRequest();
      });
  const std::string received = testing::ReceiveAll(
      PlatformWorld::CallerAddress(1),
      testing::RequestOf("POST", "/book/1", "p10",
                         {kApiKeyField, {.name = "Connection", .value = "close"}}, "x"));
  CHECK(received.starts_with("HTTP/1.1 200 Fine, HTTP/1.1\r\n"));
  CHECK(received.ends_with("\r\n\r\n" + body));
  for (const std::string& field : fields) {
    CAPTURE(field);
    CHECK(received.find("\r\n" + field + "\r\n") != std::string::npos);
  }
}

}  // namespace lagoonwind
