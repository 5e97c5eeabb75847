// Guards against a conditional write that is sent without its condition, and against a refused one
// that is taken for a write whose outcome is unknown.
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "lagoonwind/http.h"
#include "lagoonwind/users_platform.h"

namespace lagoonwind::users_platform {
namespace {

namespace asio = http::asio;
using gateway::EndOffsetOf;
using gateway::Topic;

/// A store that answers one call in the same way each time.
class FixedStore {
 public:
  explicit FixedStore(http::Response response) : response_(std::move(response)) {
    (void)http::Listen(acceptor_, *http::ParseEndpoint("127.0.0.1:0"));
    const http::Handler handler = [this](http::Request request) -> asio::awaitable<http::Response> {
      target = request.target;
      co_return response_;
    };
    asio::co_spawn(io_, http::Serve(acceptor_, handler, kMaxBodyBytes), asio::detached);
  }

  absl::Status WriteAt(std::int64_t end) {
    const auto store = MakeRecordStore(http::FormatEndpoint(acceptor_.local_endpoint()));
    std::optional<absl::Status> result;
    asio::co_spawn(io_, store->WriteAt(Topic::kStatus, {.key = "k", .value = "v"}, end),
                   [&](const std::exception_ptr&, absl::Status status) {
                     result = std::move(status);
                     io_.stop();
                   });
    io_.run();
    return *std::move(result);
  }

  /// Of the last request.
  std::string target;

 private:
  static constexpr std::size_t kMaxBodyBytes = 1000;

  asio::io_context io_;
  http::Tcp::acceptor acceptor_{io_};
  http::Response response_;
};

}  // namespace

TEST_CASE("a conditional write states its topic and offset") {
  FixedStore store({.status = 200, .body = R"({"offset": 7, "end": 8})"});
  CHECK(store.WriteAt(7).ok());
  CHECK(http::QueryParameter(store.target, "topic") == "keyed.status");
  CHECK(http::QueryParameter(store.target, "at") == "7");
}

TEST_CASE("a refused conditional write states the end of the topic") {
  FixedStore store({.status = 412, .body = R"({"end": 9})"});
  const absl::Status status = store.WriteAt(7);
  CHECK(absl::IsFailedPrecondition(status));
  CHECK(EndOffsetOf(status) == 9);
}

TEST_CASE("a refused conditional write with an odd body is still refused") {
  for (const char* body : {"", "[", "[]", "9", "{}", R"({"end": "9"})", R"({"end": 1e300})"}) {
    CAPTURE(body);
    FixedStore store({.status = 412, .body = body});
    const absl::Status status = store.WriteAt(7);
    CHECK(absl::IsFailedPrecondition(status));
    CHECK(!EndOffsetOf(status).has_value());
  }
}

TEST_CASE("another failure of a conditional write leaves its outcome open") {
  FixedStore store({.status = 503});
  CHECK(absl::IsUnavailable(store.WriteAt(7)));
}

}  // namespace lagoonwind::users_platform
