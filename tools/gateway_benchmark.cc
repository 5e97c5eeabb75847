// Measures the CPU time that a gateway uses per request, for plain requests and for streamed
// responses.
#include <sys/types.h>

#include <fstream>
#include <iostream>
#include <string>

#include "platform_world.h"

namespace lagoonwind {
namespace {

constexpr int kRequests = 300;

/// CPU time used so far by the process `pid`, in microseconds.
double ProcessorTime(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double nanoseconds = 0;
  file >> nanoseconds;
  return nanoseconds / 1000;
}

double Measure(testing::Process& gateway, const std::string& method, const std::string& target,
               const std::vector<http::Field>& fields, bool new_connections) {
  testing::Caller caller(testing::PlatformWorld::CallerAddress(1));
  const double before = ProcessorTime(gateway.pid());
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (new_connections) {
      testing::Caller(testing::PlatformWorld::CallerAddress(1))
          .Send(method, target, id, fields, method == "GET" ? "" : std::string(4000, 'x'));
    } else {
      caller.Send(method, target, id, fields, method == "GET" ? "" : std::string(4000, 'x'));
    }
  }
  return (ProcessorTime(gateway.pid()) - before) / kRequests;
}

int Run() {
  testing::PlatformWorld world;
  world.Configure(1);
  world.AddServer("d-1", "desk");
  for (int i = 0; i < 40; ++i) {
    world.AddServer("m-" + std::to_string(i), "model");
  }
  testing::Process& gateway = world.StartGateway(1);
  std::cout << "pid " << gateway.pid() << std::endl;
  const std::vector<http::Field> key{{.name = "Authorization", .value = "Bearer key1"}};
  auto prompt = key;
  prompt.push_back({.name = "X-Token-Usage", .value = "300,20"});
  prompt.push_back({.name = "X-Prompt-Prefix", .value = "aa:200,bb:100"});
  std::cout << "keep-alive connection, plain request: "
            << Measure(gateway, "GET", "/look/1", {}, false) << " us\n"
            << "new connection, plain request: " << Measure(gateway, "GET", "/look/1", {}, true)
            << " us\n"
            << "new connection, no route: " << Measure(gateway, "GET", "/none/1", {}, true)
            << " us\n"
            << "keep-alive connection, stream of 4 events, 40 engines: "
            << Measure(gateway, "POST", "/chat/1", prompt, false) << " us\n";
  return 0;
}

}  // namespace
}  // namespace lagoonwind

int main() { return lagoonwind::Run(); }
