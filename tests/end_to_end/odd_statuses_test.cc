// Guards against a backend server whose status line has a number that is no HTTP status: it reached
// the caller, for example as `HTTP/1.1 0 X`.
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <string>

#include "caller.h"
#include "scripted_fixture.h"

namespace lagoonwind {
namespace {

namespace asio = http::asio;
using testing::Caller;
using testing::kPromptFields;
using testing::PlatformWorld;
using testing::RawConnection;
using testing::ScriptedFixture;

constexpr unsigned kBadGateway = 502;

}  // namespace

TEST_CASE("a status below 100 or above 599 is no response") {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    for (const char* service : {"desk", "model"}) {
      CAPTURE(status);
      CAPTURE(service);
      ScriptedFixture fixture(
          service, [&](RawConnection& connection, std::string id) -> asio::awaitable<void> {
            std::string response =
                absl::StrCat("HTTP/1.1 ", status, " X\r\nX-Attempt-Id: ", id,
                             "\r\nX-Server-Seal: raw.", id, "\r\nContent-Length: 4\r\n\r\nbody");
            (void)co_await connection.Write(std::move(response));
            (void)co_await connection.ReadRequest();
          });
      const std::string target = std::string(service) == "desk" ? "/book/1" : "/chat/1";
      const auto response =
          Caller(PlatformWorld::CallerAddress(1)).Send("POST", target, "o1", kPromptFields, "body");
      CHECK(response.status == kBadGateway);
      CHECK(response.complete);
      CHECK(response.body != "body");
      CHECK(PlatformWorld::Await([&] { return fixture.LogContains("answer_interrupted"); }));
      CHECK(!fixture.gateway->HasExited());
    }
  }
}

TEST_CASE("a status that is not registered but in range is passed on") {
  ScriptedFixture fixture(
      "desk", [](RawConnection& connection, std::string id) -> asio::awaitable<void> {
        std::string response =
            absl::StrCat("HTTP/1.1 599 X\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: raw.", id,
                         "\r\nContent-Length: 4\r\n\r\nbody");
        (void)co_await connection.Write(std::move(response));
        (void)co_await connection.ReadRequest();
      });
  const auto response =
      Caller(PlatformWorld::CallerAddress(1)).Send("POST", "/book/1", "o1", kPromptFields, "body");
  CHECK(response.status == 599);
  CHECK(response.body == "body");
}

}  // namespace lagoonwind
