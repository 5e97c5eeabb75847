#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "lagoonwind/limits.h"
#include "standin.h"

namespace {

namespace http = lagoonwind::http;
namespace standins = lagoonwind::standins;

std::unique_ptr<standins::StandIn> MakeStandIn(const cxxopts::ParseResult& options) {
  const auto kind = options["kind"].as<std::string>();
  if (kind == "platform") {
    return standins::MakePlatform({.max_records_per_stream = options["retain"].as<std::size_t>()});
  }
  if (kind == "service") {
    return standins::MakeService(
        {.service_time = std::chrono::milliseconds(options["work-ms"].as<int>())});
  }
  return standins::MakeEngine({.tokens_per_second = options["rate"].as<double>(),
                               .capacity = options["bears"].as<std::uint32_t>(),
                               .cold_capacity = options["cold-bears"].as<std::uint32_t>(),
                               .warm_up = std::chrono::milliseconds(options["warm-ms"].as<int>())});
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("standin", "Simulates the platform or a backend server for tests.");
  options.add_options()("kind", "Server to simulate: platform, engine or service",
                        cxxopts::value<std::string>())(
      "listen", "IP:PORT to listen on; port 0 picks a free port",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "address-file", "File that receives the bound address", cxxopts::value<std::string>())(
      "retain", "Records retained per stream",
      cxxopts::value<std::size_t>()->default_value("1000000"))(
      "work-ms", "Processing time of a service call in ms",
      cxxopts::value<int>()->default_value("20"))("rate",
                                                  "Tokens per second generated for each request",
                                                  cxxopts::value<double>()->default_value("200"))(
      "bears", "Concurrent requests that a warm engine can serve; it crashes above",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "cold-bears", "Concurrent requests that an engine can serve right after its start",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "warm-ms", "Warm-up time of an engine in ms", cxxopts::value<int>()->default_value("0"));
  const auto parsed = options.parse(argc, argv);
  const auto standin = MakeStandIn(parsed);
  http::asio::io_context io;
  http::Tcp::acceptor acceptor(io);
  const auto endpoint = http::ParseEndpoint(parsed["listen"].as<std::string>());
  const auto listen_status = endpoint.ok() ? http::Listen(acceptor, *endpoint) : endpoint.status();
  if (!listen_status.ok()) {
    std::cerr << listen_status.message() << "\n";
    return 1;
  }
  const auto address_file = parsed["address-file"].as<std::string>();
  std::ofstream(address_file + ".partial") << http::FormatEndpoint(acceptor.local_endpoint());
  std::filesystem::rename(address_file + ".partial", address_file);
  const http::Handler handler = [&](http::Request request) {
    return standin->Handle(std::move(request));
  };
  http::asio::co_spawn(io, http::Serve(acceptor, handler, lagoonwind::limits::kMaxFrameBytes),
                       http::asio::detached);
  io.run();
  return 0;
}
