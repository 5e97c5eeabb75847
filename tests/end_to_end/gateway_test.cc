#include <doctest/doctest.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "caller.h"
#include "platform_world.h"

namespace lagoonwind {
namespace {

using testing::Caller;
using testing::kApiKeyField;
using testing::kPromptFields;
using testing::PlatformWorld;
using testing::ServerMode;

constexpr const char* kExpectedStream =
    "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"
    "id: 4\ndata: event 4\n\n";

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// A store, two backend servers of each service, and one gateway.
struct SingleGatewayFixture {
  SingleGatewayFixture() {
    world.Configure(1);
    world.AddServer("m-1", "model");
    world.AddServer("m-2", "model");
    world.AddServer("d-1", "desk");
    world.AddServer("d-2", "desk");
    gateway = &world.StartGateway(1);
  }
  void SetModes(ServerMode mode) {
    for (const char* name : {"m-1", "m-2", "d-1", "d-2"}) {
      world.SetMode(name, mode);
    }
  }
  /// Names of the backend servers that received the request.
  std::vector<std::string> ServersThatReceived(const std::string& id) {
    std::vector<std::string> names;
    for (const auto& received : world.ReceivedRequests()) {
      if (http::FindField(received.request.fields, "X-Attempt-Id") == id) {
        names.push_back(received.server);
      }
    }
    return names;
  }

  PlatformWorld world;
  testing::Process* gateway = nullptr;
};

}  // namespace

TEST_CASE("requests are served, and forwarded with the headers that the platform requires") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  const auto lookup = caller.Send("GET", "/look/1?x=2", "a1", {{.name = "X-Hold", .value = "1"}});
  CHECK(lookup.status == 200);
  CHECK(lookup.body == "answer to a1");
  CHECK(http::FindField(lookup.fields, "X-Server-Seal").ends_with(".a1"));
  const auto stream = caller.Send("POST", "/plan/1", "a2", kPromptFields, "body");
  CHECK(stream.status == 200);
  CHECK(stream.complete);
  CHECK(stream.body == kExpectedStream);
  const auto booking = caller.Send("POST", "/book/1", "a3", {kApiKeyField}, "slot 7");
  CHECK(booking.status == 200);
  const auto received = fixture.world.ReceivedRequests();
  REQUIRE(received.size() == 3);
  CHECK(received[0].request.target == "/look/1?x=2");
  CHECK(http::FindField(received[0].request.fields, "X-Hold").empty());
  CHECK(http::FindField(received[1].request.fields, "X-Tenant") == "erie");
  CHECK(http::FindField(received[1].request.fields, "X-Token-Usage") == "300,20");
  CHECK(http::FindField(received[1].request.fields, "Authorization").empty());
  CHECK(received[2].request.body == "slot 7");
  CHECK(!caller.HasUnreadBytes());
}

TEST_CASE("unauthorized and malformed requests are refused without affecting other requests") {
  SingleGatewayFixture fixture;
  const std::string address = PlatformWorld::CallerAddress(1);
  Caller caller(address);
  CHECK(caller.Send("POST", "/chat/1", "b1").status == 401);
  const http::Field unknown_key{.name = "Authorization", .value = "Bearer other"};
  CHECK(caller.Send("POST", "/chat/1", "b2", {unknown_key}).status == 401);
  CHECK(caller.Send("GET", "/none/1", "b3", {kApiKeyField}).status == 404);
  CHECK(caller.Send("GET", "/look/1", "b4").status == 200);
  const std::string request_start = "POST /book/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: c\r\n";
  const std::vector<std::pair<std::string, unsigned>> invalid_requests{
      {"nonsense\r\n\r\n", 400},
      {request_start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
      {request_start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {request_start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 400},
      {request_start + "X-Attempt-Id: d\r\nContent-Length: 0\r\n\r\n", 400},
      {request_start + "X-Long: " + std::string(5000, 'x') + "\r\n\r\n", 431},
      {request_start + "Content-Length: 20000\r\n\r\n", 413}};
  for (const auto& [bytes, status] : invalid_requests) {
    Caller connection(address);
    CHECK(connection.SendRaw(bytes).status == status);
  }
  CHECK(caller.Send("GET", "/look/1", "b5").status == 200);
  CHECK(fixture.world.ReceivedRequests().size() == 2);
}

TEST_CASE("chunked bodies reach the backend server complete") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  const auto response = caller.SendRaw(
      "POST /book/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: c1\r\nAuthorization: Bearer key1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(response.status == 200);
  CHECK(fixture.world.ReceivedRequests().at(0).request.body == "abcde");
}

TEST_CASE("after a failed attempt, the caller gets only the stream of the next attempt") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  fixture.world.SetMode("m-1", ServerMode::kFail);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "d" + std::to_string(i);
    auto prompt = kPromptFields;
    prompt[2].value = id + ":200,bb:100";
    const auto response = caller.Send("POST", "/plan/" + id, id, prompt, "body");
    CHECK(response.status == 200);
    CHECK(response.body == kExpectedStream);
    CHECK(http::FindField(response.fields, "X-Attempt-Id") == id);
    CHECK(!caller.HasUnreadBytes());
  }
  const auto received = fixture.world.ReceivedRequests();
  CHECK(std::ranges::count(received, "m-1", &testing::ReceivedRequest::server) > 0);
}

TEST_CASE(
    "an interrupted stream resumes at another backend server if resumable, otherwise it is cut "
    "off") {
  SingleGatewayFixture fixture;
  fixture.SetModes(ServerMode::kBreakStream);
  Caller caller(PlatformWorld::CallerAddress(1));
  // Each execution breaks off after two more events, so the second one completes the four events.
  const auto stream = caller.Send("POST", "/plan/1", "e1", kPromptFields, "body");
  CHECK(stream.complete);
  CHECK(stream.body == kExpectedStream);
  const auto servers = fixture.ServersThatReceived("e1");
  CHECK(std::set<std::string>(servers.begin(), servers.end()).size() == 2);
  const auto chat = caller.Send("POST", "/chat/1", "e2", kPromptFields, "body");
  CHECK(!chat.complete);
  CHECK(fixture.ServersThatReceived("e2").size() == 1);
}

TEST_CASE("a booking whose response is lost is not retried, and is not reported as not run") {
  SingleGatewayFixture fixture;
  fixture.SetModes(ServerMode::kLoseResponse);
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("POST", "/book/1", "f1", {kApiKeyField}, "x").status == 502);
  CHECK(fixture.ServersThatReceived("f1").size() == 1);
  // A lookup is idempotent, so it is retried.
  CHECK(caller.Send("GET", "/look/1", "f2").status == 502);
  CHECK(fixture.ServersThatReceived("f2").size() == 2);
}

TEST_CASE("a booking that was not executed is retried elsewhere, or refused as not run") {
  SingleGatewayFixture fixture;
  fixture.world.SetMode("d-1", ServerMode::kNotRun);
  Caller caller(PlatformWorld::CallerAddress(1));
  for (int i = 0; i < 6; ++i) {
    CHECK(caller.Send("POST", "/book/1", "g" + std::to_string(i), {kApiKeyField}, "x").status ==
          200);
  }
  fixture.SetModes(ServerMode::kNotRun);
  const auto refused = caller.Send("POST", "/book/1", "g9", {kApiKeyField}, "x");
  CHECK(refused.status == 503);
  CHECK(!http::FindField(refused.fields, "Retry-After").empty());
}

TEST_CASE("an address that another backend server has taken over is skipped") {
  SingleGatewayFixture fixture;
  fixture.world.Rename("d-1", "other");
  Caller caller(PlatformWorld::CallerAddress(1));
  for (int i = 0; i < 6; ++i) {
    CHECK(caller.Send("POST", "/book/1", "h" + std::to_string(i), {kApiKeyField}, "x").status ==
          200);
  }
}

TEST_CASE(
    "a booking that hangs ends with status 504 at the timeout of its route, without a retry") {
  SingleGatewayFixture fixture;
  fixture.SetModes(ServerMode::kHang);
  Caller caller(PlatformWorld::CallerAddress(1));
  const std::vector<http::Field> fields{kApiKeyField};
  CHECK(caller.Send("POST", "/book/1", "i1", fields, "x").status == 504);
  CHECK(fixture.ServersThatReceived("i1").size() == 1);
}

TEST_CASE("configuration updates, deregistrations and evacuations take effect") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  fixture.world.Delete("keyed.servers", "d-1");
  fixture.world.Put("keyed.op", "config", R"({"version": 0, "routes": []})");
  fixture.world.Put("keyed.op", "config", "not a configuration");
  fixture.world.Configure(2);
  CHECK(PlatformWorld::Await([&] {
    const bool answered = caller.Send("GET", "/look/1", "j1").status == 200;
    const auto servers = fixture.ServersThatReceived("j1");
    return answered && !servers.empty() && servers.back() == "d-2";
  }));
  fixture.world.Put("keyed.op", "evacuate/z1", "{}");
  CHECK(PlatformWorld::Await([&] { return caller.Send("GET", "/look/1", "j2").status == 503; }));
  fixture.world.Delete("keyed.op", "evacuate/z1");
  CHECK(PlatformWorld::Await([&] { return caller.Send("GET", "/look/1", "j3").status == 200; }));
}

TEST_CASE(
    "a record deleted while the store was down is dropped without a later change of the topic") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  fixture.world.SetStoreDown(true);
  // Only a follower that has noticed the outage keeps the records that vanish.
  const auto log_path = fixture.world.LogPath(1);
  REQUIRE(PlatformWorld::Await([&] {
    return ReadFile(log_path).find(R"("store_lost","topic":"servers")") != std::string::npos;
  }));
  fixture.world.Delete("keyed.servers", "d-1");
  fixture.world.Delete("keyed.servers", "d-2");
  fixture.world.SetStoreDown(false);
  // The backend servers are used at first, as they may register again.
  CHECK(caller.Send("GET", "/look/1", "n1").status == 200);
  CHECK(PlatformWorld::Await([&] { return caller.Send("GET", "/look/1", "n2").status == 503; }));
}

TEST_CASE("a gateway that the store refuses gets configuration and server records from its peers") {
  PlatformWorld world;
  world.Configure(1);
  world.AddServer("d-1", "desk");
  world.StartGateway(1);
  world.SetStoreDown(true);
  world.StartGateway(2);
  Caller caller(PlatformWorld::CallerAddress(2));
  CHECK(caller.Send("GET", "/look/1", "k1").status == 200);
}

TEST_CASE("a gateway without a configuration is not ready and refuses requests as not run") {
  PlatformWorld world;
  world.SetStoreDown(true);
  world.StartGateway(1, false);
  CHECK(PlatformWorld::Await([&] { return PlatformWorld::Readiness(1) == 503; }));
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("POST", "/book/1", "l1", {kApiKeyField}, "x").status == 503);
}

namespace {

/// Names in `left` that are not in `right`, each followed by a space.
std::string Difference(const std::set<std::string>& left, const std::set<std::string>& right) {
  std::string names;
  for (const std::string& name : left) {
    if (!right.contains(name)) {
      names.append(name).append(" ");
    }
  }
  return names;
}

}  // namespace

TEST_CASE("docs/GATEWAY_METRICS.md lists exactly the exported metrics") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  // Both fail, so that requests are sent once more whichever is chosen first.
  fixture.world.SetMode("d-1", ServerMode::kFail);
  fixture.world.SetMode("d-2", ServerMode::kFail);
  for (int i = 0; i < 6; ++i) {
    caller.Send("GET", "/look/1", "o" + std::to_string(i));
  }
  caller.Send("POST", "/plan/1", "o9", kPromptFields, "body");
  Caller metrics_client(PlatformWorld::MetricsAddress(1));
  const std::string metrics_text = metrics_client.Send("GET", "/metrics", "x").body;
  std::set<std::string> exported;
  std::istringstream lines(metrics_text);
  for (std::string line; std::getline(lines, line);) {
    const std::string type = "# TYPE ";
    if (line.starts_with(type)) {
      exported.insert(line.substr(type.size(), line.find(' ', type.size()) - type.size()));
    }
  }
  std::set<std::string> documented;
  std::ifstream file(LAGOONWIND_SOURCE_DIR "/docs/GATEWAY_METRICS.md");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("| `")) {
      documented.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  CAPTURE(Difference(exported, documented));
  CAPTURE(Difference(documented, exported));
  CHECK(exported == documented);
}

TEST_CASE("after SIGTERM, a gateway serves its callers and then exits") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("GET", "/look/1", "m1").status == 200);
  fixture.gateway->Signal(SIGTERM);
  CHECK(PlatformWorld::Await([&] { return PlatformWorld::Readiness(1) == 503; }));
  const auto final_response = caller.Send("GET", "/look/1", "m2");
  CHECK(final_response.status == 200);
  CHECK(http::FindField(final_response.fields, "Connection") == "close");
  CHECK(fixture.gateway->Wait() == 0);
}

namespace {

/// Runs `lagoonctl explain` on the log of a gateway. \return Its exit code; its output goes to
/// `output_path`.
int RunExplain(const std::string& query, const std::filesystem::path& log_path,
               const std::filesystem::path& output_path) {
  const std::string tool_path = std::string(LAGOONWIND_BUILD_DIR) + "/lagoonctl";
  testing::Process process("lagoonctl", {tool_path, "explain", query, "--log", log_path.string()},
                           output_path);
  return process.Wait();
}

}  // namespace

TEST_CASE("lagoonctl explains a request from the log of its gateway") {
  SingleGatewayFixture fixture;
  fixture.SetModes(ServerMode::kBreakStream);
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(!caller.Send("POST", "/chat/1", "e1", kPromptFields, "body").complete);
  const auto log_path = fixture.world.LogPath(1);
  REQUIRE(PlatformWorld::Await(
      [&] { return ReadFile(log_path).find("broken_off") != std::string::npos; }));
  const auto output_path = log_path.parent_path() / "explain.txt";
  CHECK(RunExplain("request=e1", log_path, output_path) == 0);
  const std::string timeline = ReadFile(output_path);
  CHECK(timeline.find("answer_interrupted") != std::string::npos);
  CHECK(timeline.find("ended midway; it ran") != std::string::npos);
  CHECK(RunExplain("request=none", log_path, output_path) == 2);
  CHECK(RunExplain("customer=erie", log_path, output_path) == 2);
  CHECK(RunExplain("request=e1", log_path.parent_path() / "none.log", output_path) == 2);
}

TEST_CASE("a request whose caller disconnected before it was read is not forwarded") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  // The next request with this prompt goes to the same engine over the connection kept open.
  CHECK(caller.Send("POST", "/plan/1", "g1", kPromptFields).status == 200);
  fixture.gateway->Signal(SIGSTOP);
  {
    http::asio::io_context io;
    http::Tcp::socket socket(io);
    socket.connect(*http::ParseEndpoint(PlatformWorld::CallerAddress(1)));
    const std::string request =
        "POST /plan/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: g2\r\nX-Deadline-Ms: 4000\r\n"
        "Authorization: Bearer key1\r\nX-Token-Usage: 300,20\r\n"
        "X-Prompt-Prefix: aa:200,bb:100\r\nContent-Length: 0\r\n\r\n";
    http::asio::write(socket, http::asio::buffer(request));
  }
  fixture.gateway->Signal(SIGCONT);
  const auto log_path = fixture.world.LogPath(1);
  REQUIRE(PlatformWorld::Await([&] {
    const std::string text = ReadFile(log_path);
    const auto caller_left = text.find("caller_left");
    return caller_left != std::string::npos && text.find("g2") != std::string::npos;
  }));
  CHECK(fixture.ServersThatReceived("g2").empty());
  CHECK(caller.Send("POST", "/plan/1", "g3", kPromptFields).status == 200);
}

TEST_CASE("at its descriptor limit, a gateway closes idle connections and serves new callers") {
  PlatformWorld world;
  world.Configure(1);
  world.AddServer("d-1", "desk");
  // Leaves room for 11 callers.
  world.SetMaxDescriptors(320);
  world.StartGateway(1);
  std::vector<std::unique_ptr<Caller>> idle_callers(30);
  std::ranges::generate(idle_callers,
                        [] { return std::make_unique<Caller>(PlatformWorld::CallerAddress(1)); });
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("GET", "/look/1", "p1").status == 200);
  CHECK(PlatformWorld::Await([&] { return idle_callers.front()->IsClosed(); }));
}

TEST_CASE("a gateway that runs out of descriptors serves callers once some are free again") {
  SingleGatewayFixture fixture;
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("GET", "/look/1", "q1").status == 200);
  rlimit previous{};
  REQUIRE(prlimit(fixture.gateway->pid(), RLIMIT_NOFILE, nullptr, &previous) == 0);
  const rlimit no_more_descriptors{.rlim_cur = 8, .rlim_max = previous.rlim_max};
  REQUIRE(prlimit(fixture.gateway->pid(), RLIMIT_NOFILE, &no_more_descriptors, nullptr) == 0);
  const Caller waiting(PlatformWorld::CallerAddress(1));
  const auto log_path = fixture.world.LogPath(1);
  REQUIRE(PlatformWorld::Await(
      [&] { return ReadFile(log_path).find("connection_not_taken") != std::string::npos; }));
  REQUIRE(prlimit(fixture.gateway->pid(), RLIMIT_NOFILE, &previous, nullptr) == 0);
  Caller next(PlatformWorld::CallerAddress(1));
  CHECK(next.Send("GET", "/look/1", "q2").status == 200);
}

}  // namespace lagoonwind
