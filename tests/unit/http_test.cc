#include "lagoonwind/http.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <thread>

#include "fleet.h"
#include "lagoonwind/backend.h"
#include "lagoonwind/platform.h"
#include "standin.h"

namespace lagoonwind {
namespace {

namespace asio = http::asio;

/// Serves one stand-in on a thread of its own.
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

template <class T>
T RunNow(asio::awaitable<T> work) {
  asio::io_context io;
  std::optional<T> result;
  asio::co_spawn(io, std::move(work),
                 [&](const std::exception_ptr&, T value) { result.emplace(std::move(value)); });
  io.run();
  return *std::move(result);
}

TEST_CASE("addresses and query parameters are parsed strictly") {
  CHECK(http::ParseEndpoint("127.0.0.1:80").ok());
  for (const auto* bad : {"", "localhost:80", "127.0.0.1", "127.0.0.1:99999", "127.0.0.1:x"}) {
    CHECK_FALSE(http::ParseEndpoint(bad).ok());
  }
  CHECK(http::QueryParameter("/explain?request=a%2Db&customer=c", "request") == "a-b");
  CHECK(http::QueryParameter("/explain", "request").empty());
}

TEST_CASE("the log client appends and reads; a refused connection is Unavailable") {
  StandInServer server(standins::MakePlatform({.max_records_per_stream = 2}));
  const auto log = platform::MakeHttpLogService(server.address());
  for (std::int64_t i = 0; i < 3; ++i) {
    const auto offset = RunNow(log->Append("s", {"r" + std::to_string(i)}));
    REQUIRE(offset.ok());
    CHECK(*offset == i);
  }
  const auto read = RunNow(log->Read("s", 0));
  REQUIRE(read.ok());
  CHECK(read->first_offset == 1);
  CHECK(read->next_offset == 3);
  CHECK(read->records.front().data == "r1");
  const auto nobody = platform::MakeHttpLogService("127.0.0.1:1");
  CHECK(absl::IsUnavailable(RunNow(nobody->Append("s", {"x"})).status()));
}

TEST_CASE("a backend server that refuses a call has provably not run it") {
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
  CHECK(RunNow(service->Run(call, sink)) == backend::CallResult::kComplete);
  CHECK(sink.status == 200);
  const auto fault = [&](const char* body) {
    return testing::FetchNow(
        server.address(),
        http::Request{.method = "POST", .target = "/standin/fault", .body = body});
  };
  REQUIRE(fault(R"({"refuse": true})").ok());
  CHECK(RunNow(service->Run(call, sink)) == backend::CallResult::kNotRun);
  REQUIRE(fault(R"({"lose_answers": 1})").ok());
  CHECK(RunNow(service->Run(call, sink)) == backend::CallResult::kUnknown);
}

}  // namespace
}  // namespace lagoonwind
