#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "backend_call.h"
#include "caller_writer.h"
#include "clock.h"
#include "event_splitter.h"
#include "gateway_context.h"

namespace lagoonwind::gateway {

/// A caller's request that was read whole and is allowed.
struct AcceptedRequest {
  RequestHead head;
  std::string body;
  CallerRequest request;
  std::shared_ptr<const Route> route;
  std::string customer;
  std::int64_t configuration_version = 0;
  Time arrived;
};

/// Serves one request: decides, sends, repeats where that is allowed, and answers the caller. Not
/// thread safe.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// \param context, writer  Must outlive it.
  Exchange(GatewayContext& context, CallerWriter& writer, AcceptedRequest accepted);

  /// Serves the request.
  /// \return True if the caller got a whole answer, so that its connection may be used again.
  asio::awaitable<bool> Run();
  /// The caller has closed its connection; what runs for it is stopped.
  void CallerDisconnected();

 private:
  /// How one send ended.
  enum class AttemptResult {
    /// The caller got the answer.
    kCompleted,
    /// Nothing reached a backend server.
    kNotSent,
    /// The backend server says that it hasn't run the request.
    kNotExecuted,
    /// The backend server answered with a failure of its own; the answer is held.
    kServerFailed,
    /// The request may have run.
    kUnknown,
    /// The answer broke off and can't be continued.
    kInterrupted,
    /// The time that the caller or the route allows is over.
    kTimeout,
    kCallerDisconnected,
  };
  enum class AbortReason { kNone, kTimeout, kStalled, kCallerDisconnected };

  struct BufferedResponse {
    ResponseHead head;
    std::string body;
  };

  asio::awaitable<bool> Serve();
  [[nodiscard]] policy::DispatchDecision Decide(Time now);
  [[nodiscard]] std::vector<policy::Candidate> Candidates(Time now) const;
  [[nodiscard]] double ColdRate(const KnownServer& known, Time now) const;
  asio::awaitable<AttemptResult> AttemptServer(ServerId server);
  asio::awaitable<AttemptResult> AttemptOnConnection(BackendPool::Connection connection,
                                                     BackendServer server);
  asio::awaitable<AttemptResult> ReceiveResponse(BackendCall& call, const BackendServer& server);
  asio::awaitable<AttemptResult> RelayStream(BackendCall& call, const BackendServer& server);
  asio::awaitable<AttemptResult> BufferResponse(BackendCall& call, const BackendServer& server);
  asio::awaitable<bool> WriteEvents(BackendCall& call, std::string_view bytes);
  [[nodiscard]] AttemptResult ResponseInterrupted(const absl::Status& status,
                                                  const BackendServer& server);
  [[nodiscard]] bool MayRetry(AttemptResult result);
  asio::awaitable<bool> Reject(const policy::DispatchDecision& decision);
  asio::awaitable<bool> SendLocalResponse(unsigned status, std::string_view reason,
                                          std::optional<Duration> retry_after);
  asio::awaitable<bool> Finish(AttemptResult result);

  [[nodiscard]] std::string SerializeRequest(const BackendServer& server) const;
  [[nodiscard]] Duration TimeLeft(Time now) const;
  /// Time that a request may be expected to take before a draining process stops.
  [[nodiscard]] Duration TimeUntilStop(Time now) const;
  [[nodiscard]] bool streaming() const { return accepted_.route->kind == RouteKind::kStreaming; }
  /// Closes the backend connection at the deadline, or once there is no progress for `stall`.
  void StartWatchdog(Duration stall_timeout);
  void ArmWatchdog();
  void RecordProgress() { last_progress_ = Now(); }
  void AbortAttempt(AbortReason reason);
  void RecordFirstByte(const BackendServer& server);
  void LogCompletion(std::string_view outcome, unsigned status);

  GatewayContext& context_;
  CallerWriter& writer_;
  AcceptedRequest accepted_;
  std::string service_;
  Time deadline_;
  Digest digest_;
  asio::steady_timer watchdog_;
  Duration stall_timeout_{0};
  Time last_progress_{};
  AbortReason abort_reason_ = AbortReason::kNone;
  BackendPool::Connection connection_;
  EventSplitter events_;
  std::optional<BufferedResponse> buffered_response_;
  policy::DispatchDecision first_decision_;
  policy::DispatchDecision decision_;
  policy::EngineLoad::RequestNumber load_sequence_ = 0;
  std::vector<ServerId> tried_servers_;
  /// Sends whose result doesn't prove that the request hasn't run.
  int unresolved_attempts_ = 0;
  int attempts_ = 0;
  bool response_begun_ = false;
  bool stream_begun_ = false;
  Time sent_at_{};
  Time first_byte_at_{};
  std::string last_server_;
};

}  // namespace lagoonwind::gateway
