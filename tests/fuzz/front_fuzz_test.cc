#include <doctest/doctest.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "fleet.h"
#include "mutator.h"

namespace lagoonwind::testing {
namespace {

namespace asio = http::asio;

/// Number of mutated requests.
constexpr int kCases = 1000;
constexpr std::array<std::string_view, 10> kDictionary{"\r\n",
                                                       "Content-Length: 99999999999\r\n",
                                                       "Transfer-Encoding: chunked\r\n",
                                                       "\r\n\r\n",
                                                       "Authorization: Bearer \r\n",
                                                       "ffffffffffffffffff\r\n",
                                                       "HTTP/9.9",
                                                       "%00%zz",
                                                       "{\"max_tokens\": -1e99}",
                                                       "[[[[[[[[[["};

/// Sends `bytes` on a new connection, shuts down the sending side and reads the response until the
/// peer closes.
std::string Exchange(const std::string& address, const std::string& bytes) {
  asio::io_context io;
  http::Tcp::socket socket(io);
  socket.connect(*http::ParseEndpoint(address));
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
  socket.shutdown(http::Tcp::socket::shutdown_send, ignored);
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), ignored);
  return response;
}

TEST_CASE("malformed HTTP gets a 4xx response or none and does not stop the entry process") {
  Fleet fleet(FleetOptions{.programs = LAGOONWIND_BUILD_DIR,
                           .work = LAGOONWIND_BUILD_DIR "/front_fuzz_test",
                           .rules = "zone z in # asked by: test\n",
                           .entries = {{.name = "entry-1", .zone = "z"}},
                           .backends = {}});
  fleet.AwaitReady();
  const std::string body = R"({"model":"crest","messages":[],"max_tokens":3})";
  const std::string valid =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
      "Bearer t\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  const std::array<std::string, 2> ports{fleet.entry_addresses().front(),
                                         fleet.operator_address("entry-1")};
  Mutator mutator(5, kDictionary);
  for (int i = 0; i < kCases; ++i) {
    const std::string response =
        Exchange(ports[mutator.Below(ports.size())], mutator.Mutate(valid));
    CHECK((response.empty() || response.starts_with("HTTP/1.1 4")));
  }
  const auto healthy = FetchNow(ports[1], http::Request{.target = "/healthz"});
  REQUIRE(healthy.ok());
  CHECK(healthy->status == 200);
  CHECK(fleet.Drain());
}

}  // namespace
}  // namespace lagoonwind::testing
