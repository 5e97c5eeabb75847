#include "lagoonwind/http.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <thread>

#include "fleet.h"
#include "lagoonwind/backend.h"
#include "lagoonwind/platform.h"
#include "run_to_completion.h"
#include "standin.h"

namespace lagoonwind {
namespace {

namespace asio = http::asio;
using testing::RunToCompletion;

/// Serves a stand-in over HTTP on its own thread.
class StandInServer {
 public:
  explicit StandInServer(std::unique_ptr<standins::StandIn> standin)
      : standin_(std::move(standin)), acceptor_(io_) {
    REQUIRE(http::Listen(acceptor_, *http::ParseEndpoint("127.0.0.1:0")).ok());
    asio::co_spawn(
        io_,
        http::Serve(
            acceptor_,
            [this](http::Request request) { return standin_->Handle(std::move(request)); }, 1000),
        asio::detached);
    thread_ = std::jthread([this] { io_.run(); });
  }
  ~StandInServer() { io_.stop(); }
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  [[nodiscard]] std::string address() const {
    return http::FormatEndpoint(acceptor_.local_endpoint());
  }

 private:
  std::unique_ptr<standins::StandIn> standin_;
  asio::io_context io_;
  http::Tcp::acceptor acceptor_;
  std::jthread thread_;
};

TEST_CASE("malformed addresses are rejected, and query parameters are decoded") {
  CHECK(http::ParseEndpoint("127.0.0.1:80").ok());
  for (const auto* malformed :
       {"", "localhost:80", "127.0.0.1", "127.0.0.1:99999", "127.0.0.1:x"}) {
    CHECK_FALSE(http::ParseEndpoint(malformed).ok());
  }
  CHECK(http::QueryParameter("/explain?request=a%2Db&customer=c", "request") == "a-b");
  CHECK(http::QueryParameter("/explain", "request").empty());
}

TEST_CASE("the log client appends and reads, and returns Unavailable on a refused connection") {
  StandInServer server(standins::MakePlatform({.max_records_per_stream = 2}));
  const auto log = platform::MakeHttpLogService(server.address());
  for (std::int64_t i = 0; i < 3; ++i) {
    const auto offset = RunToCompletion(log->Append("s", {"r" + std::to_string(i)}));
    REQUIRE(offset.ok());
    CHECK(*offset == i);
  }
  const auto page = RunToCompletion(log->Read("s", 0));
  REQUIRE(page.ok());
  CHECK(page->first_offset == 1);
  CHECK(page->next_offset == 3);
  CHECK(page->records.front().data == "r1");
  const auto unreachable = platform::MakeHttpLogService("127.0.0.1:1");
  CHECK(absl::IsUnavailable(RunToCompletion(unreachable->Append("s", {"x"})).status()));
}

TEST_CASE("a refused call is not run, and a call whose response is lost is unknown") {
  struct Sink final : backend::ResponseSink {
    void OnHead(const backend::ResponseHead& head) override { status = head.status; }
    void OnData(std::string_view data, std::uint32_t) override { body += data; }
    [[nodiscard]] bool cancelled() const override { return false; }
    unsigned status = 0;
    std::string body;
  };
  StandInServer server(standins::MakeService({.service_time = std::chrono::milliseconds(0)}));
  const auto service =
      backend::MakeHttpBackend(backend::BackendKind::kPlainService, server.address());
  const backend::Call call{.method = "POST", .path = "/services/bookings/runs", .body = "x"};
  Sink sink;
  CHECK(RunToCompletion(service->Run(call, sink)) == backend::CallResult::kComplete);
  CHECK(sink.status == 200);
  const auto inject_fault = [&](const char* body) {
    return testing::FetchNow(
        server.address(),
        http::Request{.method = "POST", .target = "/standin/fault", .body = body});
  };
  REQUIRE(inject_fault(R"({"refuse": true})").ok());
  CHECK(RunToCompletion(service->Run(call, sink)) == backend::CallResult::kNotRun);
  REQUIRE(inject_fault(R"({"lose_answers": 1})").ok());
  CHECK(RunToCompletion(service->Run(call, sink)) == backend::CallResult::kUnknown);
}

}  // namespace
}  // namespace lagoonwind
