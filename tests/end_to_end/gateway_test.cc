#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "platform_world.h"

namespace lagoonwind {
namespace {

using testing::Caller;
using testing::PlatformWorld;
using testing::ServerMode;

const http::Field kKey{.name = "Authorization", .value = "Bearer key1"};
const std::vector<http::Field> kPrompt{kKey,
                                       {.name = "X-Token-Usage", .value = "300,20"},
                                       {.name = "X-Prompt-Prefix", .value = "aa:200,bb:100"}};
constexpr const char* kWholeStream =
    "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"
    "id: 4\ndata: event 4\n\n";

/// A store, two backend servers of each service, and one gateway.
struct SmallWorld {
  SmallWorld() {
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
  /// Backend servers that were sent the request.
  std::vector<std::string> SentTo(const std::string& id) {
    std::vector<std::string> names;
    for (const auto& seen : world.ReceivedRequests()) {
      if (http::FindField(seen.request.fields, "X-Attempt-Id") == id) {
        names.push_back(seen.server);
      }
    }
    return names;
  }

  PlatformWorld world;
  testing::Process* gateway = nullptr;
};

}  // namespace

TEST_CASE("requests are served, with what the platform asks for") {
  SmallWorld small;
  Caller caller(PlatformWorld::CallerAddress(1));
  const auto look = caller.Send("GET", "/look/1?x=2", "a1", {{.name = "X-Hold", .value = "1"}});
  CHECK(look.status == 200);
  CHECK(look.body == "answer to a1");
  CHECK(http::FindField(look.fields, "X-Server-Seal").ends_with(".a1"));
  const auto plan = caller.Send("POST", "/plan/1", "a2", kPrompt, "body");
  CHECK(plan.status == 200);
  CHECK(plan.complete);
  CHECK(plan.body == kWholeStream);
  const auto book = caller.Send("POST", "/book/1", "a3", {kKey}, "slot 7");
  CHECK(book.status == 200);
  const auto seen = small.world.ReceivedRequests();
  REQUIRE(seen.size() == 3);
  CHECK(seen[0].request.target == "/look/1?x=2");
  CHECK(http::FindField(seen[0].request.fields, "X-Hold").empty());
  CHECK(http::FindField(seen[1].request.fields, "X-Tenant") == "erie");
  CHECK(http::FindField(seen[1].request.fields, "X-Token-Usage") == "300,20");
  CHECK(http::FindField(seen[1].request.fields, "Authorization").empty());
  CHECK(seen[2].request.body == "slot 7");
  CHECK(!caller.HasUnreadBytes());
}

TEST_CASE("what isn't allowed or can't be read is refused, and disturbs nothing") {
  SmallWorld small;
  const std::string address = PlatformWorld::CallerAddress(1);
  Caller caller(address);
  CHECK(caller.Send("POST", "/chat/1", "b1").status == 401);
  const http::Field wrong{.name = "Authorization", .value = "Bearer other"};
  CHECK(caller.Send("POST", "/chat/1", "b2", {wrong}).status == 401);
  CHECK(caller.Send("GET", "/none/1", "b3", {kKey}).status == 404);
  CHECK(caller.Send("GET", "/look/1", "b4").status == 200);
  const std::string start = "POST /book/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: c\r\n";
  const std::vector<std::pair<std::string, unsigned>> bad{
      {"nonsense\r\n\r\n", 400},
      {start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
      {start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 400},
      {start + "X-Attempt-Id: d\r\nContent-Length: 0\r\n\r\n", 400},
      {start + "X-Long: " + std::string(5000, 'x') + "\r\n\r\n", 431},
      {start + "Content-Length: 20000\r\n\r\n", 413}};
  for (const auto& [bytes, status] : bad) {
    Caller other(address);
    CHECK(other.SendRaw(bytes).status == status);
  }
  CHECK(caller.Send("GET", "/look/1", "b5").status == 200);
  CHECK(small.world.ReceivedRequests().size() == 2);
}

TEST_CASE("chunked bodies reach the backend server whole") {
  SmallWorld small;
  Caller caller(PlatformWorld::CallerAddress(1));
  const auto answer = caller.SendRaw(
      "POST /book/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: c1\r\nAuthorization: Bearer key1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(answer.status == 200);
  CHECK(small.world.ReceivedRequests().at(0).request.body == "abcde");
}

TEST_CASE("a stream that is served after a failure is the only answer") {
  SmallWorld small;
  Caller caller(PlatformWorld::CallerAddress(1));
  small.world.SetMode("m-1", ServerMode::kFail);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "d" + std::to_string(i);
    auto prompt = kPrompt;
    prompt[2].value = id + ":200,bb:100";
    const auto answer = caller.Send("POST", "/plan/" + id, id, prompt, "body");
    CHECK(answer.status == 200);
    CHECK(answer.body == kWholeStream);
    CHECK(http::FindField(answer.fields, "X-Attempt-Id") == id);
    CHECK(!caller.HasUnreadBytes());
  }
  const auto seen = small.world.ReceivedRequests();
  CHECK(std::ranges::count(seen, "m-1", &testing::ReceivedRequest::server) > 0);
}

TEST_CASE("a broken stream goes on elsewhere if it may, and is broken off if not") {
  SmallWorld small;
  small.SetModes(ServerMode::kBreakStream);
  Caller caller(PlatformWorld::CallerAddress(1));
  // Each run adds two events, so that the second one ends.
  const auto plan = caller.Send("POST", "/plan/1", "e1", kPrompt, "body");
  CHECK(plan.complete);
  CHECK(plan.body == kWholeStream);
  const auto sent = small.SentTo("e1");
  CHECK(std::set<std::string>(sent.begin(), sent.end()).size() == 2);
  const auto chat = caller.Send("POST", "/chat/1", "e2", kPrompt, "body");
  CHECK(!chat.complete);
  CHECK(small.SentTo("e2").size() == 1);
}

TEST_CASE("a booking whose answer is lost isn't repeated, and isn't said not to have run") {
  SmallWorld small;
  small.SetModes(ServerMode::kLoseResponse);
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("POST", "/book/1", "f1", {kKey}, "x").status == 502);
  CHECK(small.SentTo("f1").size() == 1);
  // A lookup may be repeated.
  CHECK(caller.Send("GET", "/look/1", "f2").status == 502);
  CHECK(small.SentTo("f2").size() == 2);
}

TEST_CASE("a booking that wasn't run goes elsewhere, or is refused as not run") {
  SmallWorld small;
  small.world.SetMode("d-1", ServerMode::kNotRun);
  Caller caller(PlatformWorld::CallerAddress(1));
  for (int i = 0; i < 6; ++i) {
    CHECK(caller.Send("POST", "/book/1", "g" + std::to_string(i), {kKey}, "x").status == 200);
  }
  small.SetModes(ServerMode::kNotRun);
  const auto refused = caller.Send("POST", "/book/1", "g9", {kKey}, "x");
  CHECK(refused.status == 503);
  CHECK(!http::FindField(refused.fields, "Retry-After").empty());
}

TEST_CASE("an address that another backend server has taken over is passed over") {
  SmallWorld small;
  small.world.Rename("d-1", "other");
  Caller caller(PlatformWorld::CallerAddress(1));
  for (int i = 0; i < 6; ++i) {
    CHECK(caller.Send("POST", "/book/1", "h" + std::to_string(i), {kKey}, "x").status == 200);
  }
}

TEST_CASE("a booking that hangs ends with the route's timeout, as unknown") {
  SmallWorld small;
  small.SetModes(ServerMode::kHang);
  Caller caller(PlatformWorld::CallerAddress(1));
  const std::vector<http::Field> fields{kKey};
  CHECK(caller.Send("POST", "/book/1", "i1", fields, "x").status == 504);
  CHECK(small.SentTo("i1").size() == 1);
}

TEST_CASE("configurations and leaving backend servers are followed") {
  SmallWorld small;
  Caller caller(PlatformWorld::CallerAddress(1));
  small.world.Delete("keyed.servers", "d-1");
  small.world.Put("keyed.op", "config", R"({"version": 0, "routes": []})");
  small.world.Put("keyed.op", "config", "not a configuration");
  small.world.Configure(2);
  CHECK(PlatformWorld::Await([&] {
    return caller.Send("GET", "/look/1", "j1").status == 200 && small.SentTo("j1").back() == "d-2";
  }));
  small.world.Put("keyed.op", "evacuate/z1", "{}");
  CHECK(PlatformWorld::Await([&] { return caller.Send("GET", "/look/1", "j2").status == 503; }));
  small.world.Delete("keyed.op", "evacuate/z1");
  CHECK(PlatformWorld::Await([&] { return caller.Send("GET", "/look/1", "j3").status == 200; }));
}

TEST_CASE("an entry that vanished while the store was away is dropped without further news") {
  SmallWorld small;
  Caller caller(PlatformWorld::CallerAddress(1));
  small.world.SetStoreDown(true);
  CHECK(PlatformWorld::Await([&] { return small.world.refused_store_calls() > 1; }));
  small.world.Delete("keyed.servers", "d-1");
  small.world.Delete("keyed.servers", "d-2");
  small.world.SetStoreDown(false);
  // They may register again at first.
  CHECK(caller.Send("GET", "/look/1", "n1").status == 200);
  CHECK(PlatformWorld::Await([&] { return caller.Send("GET", "/look/1", "n2").status == 503; }));
}

TEST_CASE("a gateway that the store turns away learns from its peers") {
  PlatformWorld world;
  world.Configure(1);
  world.AddServer("d-1", "desk");
  world.StartGateway(1);
  world.SetStoreDown(true);
  world.StartGateway(2);
  Caller caller(PlatformWorld::CallerAddress(2));
  CHECK(caller.Send("GET", "/look/1", "k1").status == 200);
}

TEST_CASE("a gateway without a configuration isn't ready and refuses as not run") {
  PlatformWorld world;
  world.SetStoreDown(true);
  world.StartGateway(1, false);
  CHECK(PlatformWorld::Await([&] { return PlatformWorld::Readiness(1) == 503; }));
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("POST", "/book/1", "l1", {kKey}, "x").status == 503);
}

TEST_CASE("docs/GATEWAY_METRICS.md lists exactly the metrics that there are") {
  SmallWorld small;
  Caller caller(PlatformWorld::CallerAddress(1));
  small.world.SetMode("d-1", ServerMode::kFail);
  for (int i = 0; i < 6; ++i) {
    caller.Send("GET", "/look/1", "o" + std::to_string(i));
  }
  caller.Send("POST", "/plan/1", "o9", kPrompt, "body");
  Caller operators(PlatformWorld::MetricsAddress(1));
  const std::string page = operators.Send("GET", "/metrics", "x").body;
  std::set<std::string> served;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    const std::string type = "# TYPE ";
    if (line.starts_with(type)) {
      served.insert(line.substr(type.size(), line.find(' ', type.size()) - type.size()));
    }
  }
  std::set<std::string> documented;
  std::ifstream file(LAGOONWIND_SOURCE_DIR "/docs/GATEWAY_METRICS.md");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("| `")) {
      documented.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  CHECK(served == documented);
}

TEST_CASE("SIGTERM ends a gateway once its callers are served") {
  SmallWorld small;
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(caller.Send("GET", "/look/1", "m1").status == 200);
  small.gateway->Signal(SIGTERM);
  CHECK(PlatformWorld::Await([&] { return PlatformWorld::Readiness(1) == 503; }));
  const auto last = caller.Send("GET", "/look/1", "m2");
  CHECK(last.status == 200);
  CHECK(http::FindField(last.fields, "Connection") == "close");
  CHECK(small.gateway->Wait() == 0);
}

namespace {

std::string TextOf(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Runs lagoonctl on a gateway's log. \return Its exit code; its output goes to `output`.
int ExplainFromLog(const std::string& subject, const std::filesystem::path& log,
                   const std::filesystem::path& output) {
  const std::string tool_path = std::string(LAGOONWIND_BUILD_DIR) + "/lagoonctl";
  testing::Process tool("lagoonctl", {tool_path, "explain", subject, "--log", log.string()},
                        output);
  return tool.Wait();
}

}  // namespace

TEST_CASE("a request is explained from the log of its gateway") {
  SmallWorld small;
  small.SetModes(ServerMode::kBreakStream);
  Caller caller(PlatformWorld::CallerAddress(1));
  CHECK(!caller.Send("POST", "/chat/1", "e1", kPrompt, "body").complete);
  const auto log = small.world.LogPath(1);
  REQUIRE(
      PlatformWorld::Await([&] { return TextOf(log).find("broken_off") != std::string::npos; }));
  const auto output = log.parent_path() / "explain.txt";
  CHECK(ExplainFromLog("request=e1", log, output) == 0);
  const std::string story = TextOf(output);
  CHECK(story.find("answer_interrupted") != std::string::npos);
  CHECK(story.find("ended midway; it ran") != std::string::npos);
  CHECK(ExplainFromLog("request=none", log, output) == 2);
  CHECK(ExplainFromLog("customer=erie", log, output) == 2);
  CHECK(ExplainFromLog("request=e1", log.parent_path() / "none.log", output) == 2);
}

TEST_CASE("a request whose caller left before it was read isn't sent on") {
  SmallWorld small;
  Caller first(PlatformWorld::CallerAddress(1));
  // The next request with this prompt goes to the same engine, over the connection that is open.
  CHECK(first.Send("POST", "/plan/1", "g1", kPrompt).status == 200);
  small.gateway->Signal(SIGSTOP);
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
  small.gateway->Signal(SIGCONT);
  const auto log = small.world.LogPath(1);
  REQUIRE(PlatformWorld::Await([&] {
    const std::string text = TextOf(log);
    const auto left = text.find("caller_left");
    return left != std::string::npos && text.find("g2") != std::string::npos;
  }));
  CHECK(small.SentTo("g2").empty());
  CHECK(first.Send("POST", "/plan/1", "g3", kPrompt).status == 200);
}

}  // namespace lagoonwind
