#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak_checks.h"

namespace lagoonwind::testing {

struct SoakCallersOptions {
  std::uint64_t seed = 1;
  int callers = 8;
  int gateways = 3;
};

/// Callers that send one request after the other over connections which they keep open until the
/// gateway closes them. Thread safe.
class SoakCallers {
 public:
  explicit SoakCallers(const SoakCallersOptions& options);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// Lets callers finish what they have begun. \return All calls.
  std::vector<CallRecord> Stop();

 private:
  using Random = std::mt19937_64;

  http::asio::awaitable<void> RunCaller(int caller_index);
  http::asio::awaitable<void> RunConnection(int caller_index, int gateway, Random& random);
  /// Sends a request and reads its answer. \return True if the connection may be used again.
  static http::asio::awaitable<bool> SendAndReceive(boost::beast::tcp_stream& stream,
                                                    boost::beast::flat_buffer& buffer,
                                                    bool disconnects, CallRecord& call);
  CallRecord MakeCall(int caller_index, int gateway, Random& random);

  SoakCallersOptions options_;
  http::asio::io_context io_;
  std::atomic<bool> stopping_ = false;
  /// Used on the callers' thread until Stop has joined it.
  std::vector<CallRecord> calls_;
  std::uint64_t last_id_ = 0;
  std::jthread thread_;
};

}  // namespace lagoonwind::testing
