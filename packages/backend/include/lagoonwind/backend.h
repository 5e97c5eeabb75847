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
/// Client interface of an agent to its backend server: an inference engine or a plain service.
namespace lagoonwind::backend {

/// Inference engines can stream their responses and report token counts; plain services do neither.
enum class BackendKind { kModelEngine, kPlainService };

/// One request as it is sent to the backend server.
struct Call {
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  /// Sent as X-Request-Id, for the logs of the backend server.
  std::string request_id;
  std::string customer;
  std::string idempotency_key;
  /// True if the request must not be executed twice. A response with status 503 then does not count
  /// as proof that it was not executed.
  bool at_most_once = false;
};

/// Status and content type of a response, available before its body.
struct ResponseHead {
  unsigned status = 0;
  std::string content_type;
};

/// Outcome of a call.
enum class CallResult {
  /// The complete response was received.
  kComplete,
  /// The backend server refused the request without executing it.
  kNotRun,
  /// The connection to the backend server could not be established; nothing was sent.
  kConnectFailed,
  /// A response was received that had neither a length nor chunks, and nothing in it shows that it
  /// is complete: the end of its connection may be that of the backend server.
  kUnframed,
  /// The request may have been executed; its response is missing or incomplete.
  kUnknown,
  /// The request may have been executed; its response did not begin or continue in time.
  kTimedOut,
  /// The sink cancelled the call; the request may have been executed.
  kCancelled,
};

/// Receives a response as it arrives. Its functions are not called concurrently.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Called once, before the first OnData. Not called if the request was refused or no response
  /// arrived.
  virtual void OnHead(const ResponseHead& head) = 0;
  /// \param data    Next bytes of the body.
  /// \param tokens  Tokens generated since the previous call; 0 for plain services.
  virtual void OnData(std::string_view data, std::uint32_t tokens) = 0;
  /// True once the rest of the response is not needed. The call is then aborted within
  /// limits::kCancelPollInterval, even if the backend server sends no data.
  [[nodiscard]] virtual bool cancelled() const = 0;
};

/// Maximum times without data from a backend server.
struct CallTimeouts {
  /// From sending the request to the first data of a streamed response.
  Duration first_token = limits::kFirstTokenTimeout;
  /// From sending the request to the first data of a response that is not streamed.
  Duration response_start = limits::kResponseStartTimeout;
  /// Between two pieces of a response.
  Duration stall = limits::kStallTimeout;
};

/// State that a backend server reports about itself; may be out of date.
struct Health {
  /// Identifies the current lifetime of the backend server; changes when it restarts.
  std::uint64_t incarnation = 0;
  /// Names of the models or services that it serves.
  std::vector<std::string> targets;
  /// Number of requests that it is executing.
  std::uint32_t running = 0;
};

/// One backend server. Thread safe.
class Backend {
 public:
  virtual ~Backend() = default;
  /// Sends a request and passes the response to `sink`, which must outlive the call.
  virtual http::asio::awaitable<CallResult> Run(Call call, ResponseSink& sink) = 0;
  /// Reads the health of the backend server.
  /// \return Unavailable if the backend server cannot be reached or reports an error, DataLoss if
  ///         its response cannot be parsed, or another error of http::Fetch.
  virtual http::asio::awaitable<absl::StatusOr<Health>> CheckHealth() = 0;
};

/// Creates a client of a backend server that speaks HTTP/1.1.
/// \param address   `IP:PORT`. Must be well-formed.
/// \param timeouts  They do not limit the total duration of a response that makes progress.
std::unique_ptr<Backend> MakeHttpBackend(BackendKind kind, std::string address,
                                         const CallTimeouts& timeouts = {});

}  // namespace lagoonwind::backend
