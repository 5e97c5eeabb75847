#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonwind/base.h"
#include "lagoonwind/http.h"
#include "lagoonwind/limits.h"

/// \file
/// Backend servers: model engines that stream, and plain services.
namespace lagoonwind::backend {

enum class BackendKind { kModelEngine, kPlainService };

/// A call as the backend server gets it.
struct Call {
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  /// Identity of the attempt, for the backend server's own records.
  std::string request_id;
  std::string customer;
  std::string idempotency_key;
  /// The call may run at most once, so that status 503 is no proof that it didn't run.
  bool at_most_once = false;
};

struct ResponseHead {
  unsigned status = 0;
  std::string content_type;
};

/// How a call ended.
enum class CallResult {
  /// The whole answer arrived.
  kComplete,
  /// The backend server refused the call before it ran.
  kNotRun,
  /// No connection to the backend server came about.
  kConnectFailed,
  /// The call may have run; its answer is cut or absent.
  kUnknown,
  /// The call may have run; its answer didn't begin or go on in time.
  kTimedOut,
  kCancelled,
};

/// Receives an answer as it arrives. Called from one thread at a time.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void OnHead(const ResponseHead& head) = 0;
  /// \param data    Bytes that continue the answer.
  /// \param tokens  Tokens generated since the last call.
  virtual void OnData(std::string_view data, std::uint32_t tokens) = 0;
  /// True once nobody needs the rest; the call is then broken off within kCancelPollInterval, also
  /// while the backend server sends nothing.
  [[nodiscard]] virtual bool cancelled() const = 0;
};

/// Longest silences of a backend server that are borne.
struct CallTimeouts {
  /// From the call to the first part of a stream.
  Duration first_token = limits::kFirstTokenTimeout;
  /// From the call to the first part of an answer that doesn't stream.
  Duration response_start = limits::kResponseStartTimeout;
  /// Between two parts of an answer.
  Duration stall = limits::kStallTimeout;
};

/// What a backend server says of itself; it lags.
struct Health {
  std::uint64_t incarnation = 0;
  /// Names of the models or services that it runs.
  std::vector<std::string> targets;
  std::uint32_t running = 0;
};

/// One backend server. Thread safe.
class Backend {
 public:
  virtual ~Backend() = default;
  /// Runs a call and feeds its answer to `sink`, which must outlive the call.
  virtual http::asio::awaitable<CallResult> Run(Call call, ResponseSink& sink) = 0;
  virtual http::asio::awaitable<absl::StatusOr<Health>> CheckHealth() = 0;
};

/// Client of a backend server over HTTP/1.1.
/// \param address   `HOST:PORT`.
/// \param timeouts  None of them bounds the whole length of an answer that goes on.
std::unique_ptr<Backend> MakeHttpBackend(BackendKind kind, std::string address,
                                         const CallTimeouts& timeouts = {});

}  // namespace lagoonwind::backend
