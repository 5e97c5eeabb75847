// What callers of an entry are told about responses that break off.
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "fleet.h"

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr const char* kStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
constexpr const char* kChunk = "a\r\ndata: {}\n\n\r\n";

/// An engine of model `crest` that responds with the prompt of a request as it is, head included,
/// and then closes the connection in order.
class EchoEngine {
 public:
  EchoEngine() : acceptor_(io_) {
    (void)http::Listen(acceptor_, *http::ParseEndpoint("127.0.0.1:0"));
    asio::co_spawn(io_, Accept(), asio::detached);
    thread_ = std::jthread([this] { io_.run(); });
  }
  ~EchoEngine() { io_.stop(); }
  EchoEngine(const EchoEngine&) = delete;
  EchoEngine& operator=(const EchoEngine&) = delete;

  [[nodiscard]] std::string address() const {
    return http::FormatEndpoint(acceptor_.local_endpoint());
  }

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      http::Tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
    }
  }

  static asio::awaitable<void> Serve(http::Tcp::socket socket) {
    std::string request;
    error_code error;
    const std::size_t head_size =
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), kHeadEnd,
                                        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    std::string response;
    if (request.starts_with("GET ")) {
      const std::string health =
          json{{"instance", "i-1"}, {"targets", {"crest"}}, {"running", 0}}.dump();
      response = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", health.size(),
                              std::string(kHeadEnd), health);
    } else {
      json body = json::parse(request.substr(head_size), nullptr, false);
      while (body.is_discarded() && !error) {
        char data[1024];
        const std::size_t count = co_await socket.async_read_some(
            asio::buffer(data), asio::redirect_error(asio::use_awaitable, error));
        request.append(data, count);
        body = json::parse(request.substr(head_size), nullptr, false);
      }
      if (error) {
        co_return;
      }
      response = body["messages"][0]["content"];
    }
    co_await asio::async_write(socket, asio::buffer(response),
                               asio::redirect_error(asio::use_awaitable, error));
  }

  asio::io_context io_;
  http::Tcp::acceptor acceptor_;
  std::jthread thread_;
};

}  // namespace

TEST_CASE("an entry does not end a response that its engine has broken off") {
  EchoEngine engine;
  Fleet fleet(
      {.programs = LAGOONWIND_BUILD_DIR,
       .work = LAGOONWIND_BUILD_DIR "/entry_responses_test",
       .rules = LocalRules(LAGOONWIND_SOURCE_DIR),
       .entries = {{.name = "entry-1", .zone = "bangna"}},
       .backends = {
           {.name = "engine-1", .kind = "engine", .zone = "bangna", .address = engine.address()}}});
  fleet.AwaitReady();
  const std::string entry = fleet.entry_addresses().front();

  SUBCASE("a plain response without framing is passed on as such, with an unknown outcome") {
    const auto response =
        FetchNow(entry, CompletionRequest("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                          "Connection: close\r\n\r\n[1, 2",
                                          false));
    REQUIRE(response.ok());
    CHECK(response->status == 200);
    CHECK(response->body == "[1, 2");
    CHECK(http::FindField(response->fields, "Lagoonwind-Outcome") == "unknown");
    CHECK(http::FindField(response->fields, "Content-Length").empty());
    CHECK(http::FindField(response->fields, "Transfer-Encoding").empty());
  }
  SUBCASE("a stream with neither framing nor its last event is broken off") {
    const auto response =
        FetchNow(entry, CompletionRequest(absl::StrCat(kStreamHead, "\r\ndata: {}\n\n"), true));
    CHECK_FALSE(response.ok());
  }
  SUBCASE("a stream without framing is complete with its last event") {
    for (const char* separator : {"\n\n", "\r\n\r\n"}) {
      const std::string events = absl::StrCat("data: {}", separator, "data: [DONE]", separator);
      const auto response =
          FetchNow(entry, CompletionRequest(absl::StrCat(kStreamHead, "\r\n", events), true));
      REQUIRE(response.ok());
      CHECK(response->body == events);
    }
  }
  SUBCASE("a stream without its last chunk is broken off") {
    const auto response = FetchNow(
        entry, CompletionRequest(
                   absl::StrCat(kStreamHead, "Transfer-Encoding: chunked\r\n\r\n", kChunk), true));
    CHECK_FALSE(response.ok());
  }
  SUBCASE("a stream with its last chunk is complete") {
    const auto response = FetchNow(
        entry, CompletionRequest(absl::StrCat(kStreamHead, "Transfer-Encoding: chunked\r\n\r\n",
                                              kChunk, "0\r\n\r\n"),
                                 true));
    REQUIRE(response.ok());
    CHECK(response->body == "data: {}\n\n");
    CHECK(http::FindField(response->fields, "Lagoonwind-Outcome") == "complete");
  }
}

}  // namespace lagoonwind::testing
