#include "lagoonwind/response_check.h"

#include <absl/status/statusor.h>
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

#include "lagoonwind/backend.h"
#include "lagoonwind/http.h"
#include "run_to_completion.h"

namespace lagoonwind {
namespace {

namespace asio = http::asio;
using testing::RunToCompletion;
using Values = std::vector<std::string_view>;

/// Server of one connection, which responds to a request with the given bytes.
class OneResponseServer {
 public:
  explicit OneResponseServer(std::string response) : acceptor_(io_) {
    REQUIRE(http::Listen(acceptor_, *http::ParseEndpoint("127.0.0.1:0")).ok());
    thread_ = std::jthread([this, response = std::move(response)] {
      http::Tcp::socket socket = acceptor_.accept();
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      asio::write(socket, asio::buffer(response));
    });
  }

  [[nodiscard]] std::string address() const {
    return http::FormatEndpoint(acceptor_.local_endpoint());
  }

 private:
  asio::io_context io_;
  http::Tcp::acceptor acceptor_;
  std::jthread thread_;
};

absl::StatusOr<http::Response> FetchFrom(const std::string& response) {
  OneResponseServer server(response);
  return RunToCompletion(
      http::Fetch(server.address(), http::Request{}, std::chrono::milliseconds(5000)));
}

struct Sink final : backend::ResponseSink {
  void OnHead(const backend::ResponseHead& head) override { status = head.status; }
  void OnData(std::string_view data, std::uint32_t /*tokens*/) override { body += data; }
  [[nodiscard]] bool cancelled() const override { return false; }
  unsigned status = 0;
  std::string body;
};

backend::CallResult CallServer(const std::string& response, Sink& sink) {
  OneResponseServer server(response);
  const auto service =
      backend::MakeHttpBackend(backend::BackendKind::kPlainService, server.address());
  return RunToCompletion(service->Run({.method = "GET", .path = "/"}, sink));
}

std::string ResponseOf(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nX-Note: a\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE("status lines are found, and other mentions of the protocol are not") {
  CHECK(http::FindStatusLine("xHTTP/1.1 200 OK") == 1);
  CHECK(http::FindStatusLine("HTTP/HTTP/1.0 404") == 5);
  for (const char* text : {"", "HTTP/1.1", "HTTP/1.1 cache", "HTTP/2 200", "http/1.1 200",
                           "HTTP/1.1 20x", "GET / HTTP/1.1\r\n"}) {
    CAPTURE(text);
    CHECK(http::FindStatusLine(text) == std::string_view::npos);
  }
}

TEST_CASE("a head with a second status line is refused, wherever it stands") {
  boost::beast::http::response_header<> head;
  head.reason("OK, HTTP/1.1");
  head.set("Via", "HTTP/1.1 cache");
  CHECK(http::CheckSingleHead(head).ok());
  head.set("X-Note", "aHTTP/1.1 200 OK");
  CHECK(absl::IsDataLoss(http::CheckSingleHead(head)));
  head.erase("X-Note");
  head.reason("OHTTP/1.1 503 Full");
  CHECK(absl::IsDataLoss(http::CheckSingleHead(head)));
}

TEST_CASE("a body that a second response fills up is detected, however its bytes are split") {
  const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  for (std::size_t filled = 1; filled < copy.size(); ++filled) {
    for (std::size_t first = 0; first <= filled; ++first) {
      http::BodyScanner scanner;
      scanner.Append("bod");
      scanner.Append(copy.substr(0, first));
      scanner.Append(copy.substr(first, filled - first));
      CAPTURE(filled);
      CAPTURE(first);
      CHECK(scanner.MayHoldStatusLine());
      CHECK(scanner.IsFilledUp(copy.substr(filled)));
      CHECK(!scanner.IsFilledUp(""));
    }
  }
  http::BodyScanner whole;
  whole.Append("body");
  CHECK(!whole.MayHoldStatusLine());
  CHECK(!whole.IsFilledUp(copy));
}

TEST_CASE("fields are found only in response heads") {
  const std::string_view text =
      "x-id: 1\r\nHTTP/1.1 200 OK\r\nA: b\r\nx-ID:  2 \r\n\r\nX-Id: 3\r\nHTTP/1.1 404\r\n\r\nX-Id: "
      "4\nHTTP/1.0 200 OK\nX-Id: 5";
  CHECK(http::FindFieldInHeads(text, "X-Id") == Values{"2", "5"});
  CHECK(http::FindFieldInHeads("HTTP/1.1 200 OK\ndata: X-Id: 1\n\n", "X-Id").empty());
}

// Guards against taking a part of another response for the store's or a health check's.
TEST_CASE("a fetched response that breaks off isn't completed by another one") {
  const std::string first = ResponseOf("200 OK", "first body");
  const std::string second = ResponseOf("503 Full", "second body");
  for (std::size_t cut = 1; cut < first.size(); ++cut) {
    CAPTURE(first.substr(0, cut));
    CHECK(!FetchFrom(first.substr(0, cut) + second).ok());
  }
  const auto whole = FetchFrom(first + second);
  REQUIRE(whole.ok());
  CHECK(whole->body == "first body");
  const std::string quote = "quotes HTTP/1.1 200 OK";
  const auto quoting = FetchFrom(ResponseOf("200 OK", quote));
  REQUIRE(quoting.ok());
  CHECK(quoting->body == quote);
}

// Guards against reading a refusal that breaks off as the status of a call that has run.
TEST_CASE("the response to an agent's call that breaks off isn't completed by another one") {
  const std::string refusal = ResponseOf("429 Full", "full");
  const std::string response = ResponseOf("200 OK", "first body");
  const std::size_t head_size = refusal.find("\r\n\r\n") + 4;
  for (std::size_t cut = 1; cut < head_size; ++cut) {
    CAPTURE(refusal.substr(0, cut));
    Sink sink;
    CHECK(CallServer(refusal.substr(0, cut) + response, sink) == backend::CallResult::kUnknown);
    CHECK(sink.status == 0);
  }
  for (std::size_t cut = response.find("first"); cut < response.size(); ++cut) {
    CAPTURE(response.substr(0, cut));
    Sink sink;
    CHECK(CallServer(response.substr(0, cut) + response, sink) == backend::CallResult::kUnknown);
  }
  Sink sink;
  CHECK(CallServer(response, sink) == backend::CallResult::kComplete);
  CHECK(sink.body == "first body");
}

}  // namespace lagoonwind
