#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "backend_call.h"
#include "caller_writer.h"
#include "clock.h"
#include "event_splitter.h"
#include "gateway_context.h"

namespace lagoonwind::gateway {

/// A completely read request that passed authentication and admission.
struct AcceptedRequest {
  RequestHead head;
  /// Shared with connections that still write it. Not null.
  std::shared_ptr<const std::string> body;
  CallerRequest request;
  std::shared_ptr<const Route> route;
  std::string customer;
  std::int64_t configuration_version = 0;
  Time arrived;
};

/// Serves one request: selects a backend server, forwards the request, retries where this is
/// allowed, and responds to the caller. Not thread safe.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// \param context, writer  Must outlive this object.
  Exchange(GatewayContext& context, CallerWriter& writer, AcceptedRequest accepted);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Serves the request.
  /// \return True if the caller received a complete response, so that its connection is reusable.
  asio::awaitable<bool> Run();
  /// Handles a disconnect of the caller: aborts the running attempt.
  void CallerDisconnected();
  /// Aborts the running attempt if the request has a quarantined segment and no response yet, as
  /// its engine would crash.
  void AbortIfQuarantined();
  /// Aborts the request if its response has not begun, as the process stops soon. The caller gets a
  /// failure then.
  void EndBeforeStop();
  /// True if the caller has received a part of the response, which is a stream.
  [[nodiscard]] bool stream_begun() const { return stream_begun_; }
  /// Logs that the process stops before the response is complete.
  void LogCutByStop();

 private:
  /// Time after the start during which the list of peers may be incomplete. Until then the gateway
  /// sends no requests to backend servers in cold start, and begins no trials.
  static constexpr Duration kPeerDiscoveryTime = std::chrono::milliseconds(2500);

  /// Result of one attempt.
  enum class AttemptResult {
    /// The caller received the response, or it is buffered for the caller.
    kCompleted,
    /// The request was not sent to a backend server.
    kNotSent,
    /// The backend server states that it did not execute the request.
    kNotExecuted,
    /// The backend server responded with a failure, which is buffered.
    kServerFailed,
    /// The request may have been executed.
    kUnknown,
    /// The response was interrupted after a part of it was forwarded.
    kInterrupted,
    /// The caller's deadline or the route's timeout has passed.
    kTimeout,
    /// The process stops before the response has begun.
    kStopping,
    /// A segment of the prompt was quarantined before the response has begun.
    kQuarantined,
    kCallerDisconnected,
  };
  enum class AbortReason {
    kNone,
    kTimeout,
    kStalled,
    kMemory,
    kStopping,
    kQuarantined,
    kCallerDisconnected
  };

  struct BufferedResponse {
    ResponseHead head;
    BodyFraming framing;
    std::string body;
  };

  asio::awaitable<bool> Serve();
  [[nodiscard]] policy::DispatchDecision Decide(Time now);
  /// Decides on the next attempt, as reserved if the reservation still holds.
  policy::DispatchDecision DecideNext(Time now);
  /// Backend servers of the version that the request is to be sent to.
  [[nodiscard]] std::vector<policy::Candidate> Candidates(Time now) const;
  /// Chooses the version for the next attempt.
  void ChooseVersion(Time now);
  /// Decides on the next attempt; uses the old version if the target has no room.
  policy::DispatchDecision DecideWithVersion(Time now);
  /// Records the end of an attempt as evidence about the version of the backend server.
  void RecordVersionOutcome(const BackendServer& server, AttemptResult result);
  /// Number of requests of this gateway that run on each candidate.
  [[nodiscard]] std::vector<int> OutstandingRequests(
      std::span<const policy::Candidate> candidates) const;
  [[nodiscard]] double ColdRate(const KnownServer& known, Time now) const;
  asio::awaitable<AttemptResult> AttemptServer(ServerId server);
  asio::awaitable<AttemptResult> AttemptOnConnection(BackendPool::Connection connection,
                                                     BackendServer server);
  asio::awaitable<AttemptResult> ReceiveResponse(BackendCall& call, const BackendServer& server);
  /// True if a stream with this status starts the caller's response or may continue it.
  [[nodiscard]] bool MayFollowStream(unsigned status) const {
    return !stream_begun_ || status == stream_status_;
  }
  asio::awaitable<AttemptResult> RelayStream(BackendCall& call, const BackendServer& server);
  asio::awaitable<AttemptResult> BufferResponse(BackendCall& call, const BackendServer& server);
  asio::awaitable<bool> WriteEvents(BackendCall& call, std::string_view bytes);
  [[nodiscard]] AttemptResult ResponseInterrupted(const absl::Status& status,
                                                  const BackendServer& server);
  /// True if no attempt may have executed the request, so that the caller may be told so.
  [[nodiscard]] bool MayStateNotRun() const;
  /// Result of an attempt, considering why it was aborted.
  [[nodiscard]] AttemptResult ResultAfterAbort(AttemptResult result) const;
  [[nodiscard]] bool MayRetry(AttemptResult result);
  /// True if the request or the process allows no further attempt now, whatever the result of the
  /// last one.
  [[nodiscard]] bool RetriesAreBarred(Time now) const;
  /// True if another attempt is possible after the running one, even if that may have executed the
  /// request.
  [[nodiscard]] bool MaySendAgain() const;
  /// Reserves another attempt, which follows when the running one has been aborted.
  /// Precondition: MaySendAgain().
  /// \return False if none is possible now.
  bool ReserveRetry(Time now);
  asio::awaitable<bool> Reject(const policy::DispatchDecision& decision);
  asio::awaitable<bool> SendLocalResponse(unsigned status, std::string_view reason,
                                          std::optional<Duration> retry_after);
  asio::awaitable<bool> Finish(AttemptResult result);

  [[nodiscard]] std::string SerializeHead(const BackendServer& server) const;
  [[nodiscard]] Duration TimeLeft(Time now) const;
  /// True if the attempt continues a stream of which the caller has received a part.
  [[nodiscard]] bool IsResumed() const {
    return stream_begun_ || !accepted_.request.last_event_id.empty();
  }
  [[nodiscard]] bool streaming() const { return accepted_.route->kind == RouteKind::kStreaming; }
  /// Closes the backend connection at the deadline, or after `stall_timeout` without progress once
  /// another attempt is possible.
  void StartWatchdog(Duration stall_timeout);
  void ArmWatchdog();
  void RecordProgress() { last_progress_ = Now(); }
  void AbortAttempt(AbortReason reason);
  /// Records how much memory the response of the running attempt occupies. Breaks off the responses
  /// that are to be ended so that all together stay within their limit.
  /// \return False if the running attempt is among them.
  bool HoldResponse(std::size_t bytes);
  /// Records that nothing of the response is held any more.
  void ReleaseResponse();
  void RecordFirstByte(const BackendServer& server, bool failed);
  /// Ends the caller's response after the last event, unless that would state more than is known.
  /// \param bytes  Length of the body that the backend server sent.
  asio::awaitable<AttemptResult> EndStream(BackendCall& call, const BackendServer& server,
                                           std::size_t bytes);
  /// Waits until the other connections to the backend server have broken if it has crashed.
  /// \return True if one of them broke at about this time.
  asio::awaitable<bool> EndsInCrash(const BackendServer& server);
  /// Records that only the end of the connection showed the end of the response, so that it may
  /// have been broken off.
  /// \param bytes  Length of the body that the backend server sent.
  void RecordUnframedEnd(const BackendServer& server, std::size_t bytes);
  /// Records that the connection ended, maybe by a crash of the backend server.
  void RecordBreak(const BackendServer& server);
  /// Records that the engine responds to the segments of the prompt.
  void RecordSegmentResponse();
  /// True if the request must not be sent because it crashes the backend servers that run it.
  [[nodiscard]] bool IsQuarantined(Time now) const;
  /// True if the request may be sent as the trial of its quarantined segment.
  [[nodiscard]] bool MayBeTrial(Time now) const;
  /// Precondition: MayBeTrial().
  void BeginTrial(Time now);
  [[nodiscard]] bool is_trial() const { return is_request_trial_ || !trial_segments_.empty(); }
  /// Time until the request, which is quarantined, may be sent by this gateway as a trial.
  [[nodiscard]] Duration TimeUntilRequestTrial(Time now) const;
  /// Records that a backend server completed the response, which clears the request.
  void RecordCompleteResponse();
  /// Spreads the return of callers that were refused at one time.
  [[nodiscard]] Duration WithJitter(Duration retry_after) const;
  [[nodiscard]] Duration QuarantineRetryAfter(Time now) const;
  [[nodiscard]] static std::string_view Describe(AbortReason reason);
  void LogCompletion(std::string_view outcome, unsigned status);

  GatewayContext& context_;
  CallerWriter& writer_;
  AcceptedRequest accepted_;
  /// The set of requests that are being served, which includes this one.
  std::shared_ptr<ExchangeSet> exchanges_;
  std::string service_;
  Time deadline_;
  /// When this process stops, if it was draining as the request arrived.
  std::optional<Time> stop_at_arrival_;
  Digest digest_;
  std::vector<policy::SegmentId> shared_segments_;
  /// True if the request is sent although it is quarantined itself.
  bool is_request_trial_ = false;
  /// Quarantined segments that the request is to show to be harmless; empty if it is no trial.
  std::vector<policy::SegmentId> trial_segments_;
  asio::steady_timer watchdog_;
  Duration stall_timeout_{0};
  /// True if it was logged that the running attempt has stalled and goes on.
  bool stall_logged_ = false;
  Time last_progress_{};
  /// When the watchdog is expected to run next.
  Time watchdog_due_{};
  AbortReason abort_reason_ = AbortReason::kNone;
  BackendPool::Connection connection_;
  EventSplitter events_;
  std::optional<BufferedResponse> buffered_response_;
  /// Number of the response of the running or last attempt.
  policy::ResponseNumber response_number_ = 0;
  policy::DispatchDecision first_decision_;
  policy::DispatchDecision decision_;
  /// Decision on the attempt that follows the running one, whose retry is taken from the budget.
  std::optional<policy::DispatchDecision> reserved_;
  policy::EngineLoad::RequestNumber load_request_number_ = 0;
  /// Not sent to again.
  std::vector<ServerId> tried_servers_;
  /// Those of them whose attempt was aborted for silence; tried again if there is no other server.
  std::vector<ServerId> stalled_servers_;
  /// Attempts after which the request may have been executed.
  int unresolved_attempts_ = 0;
  int attempts_ = 0;
  bool response_begun_ = false;
  bool stream_begun_ = false;
  /// Status of the stream that the caller receives; set when it begins.
  unsigned stream_status_ = 0;
  /// Reads of the running attempt that ended whole events.
  int event_reads_ = 0;
  /// True if the response of the running attempt ended with its connection.
  bool ended_in_order_ = false;
  /// Version for the next attempt; absent if versions play no part.
  std::optional<policy::RolloutVersion> version_;
  /// Time to the first byte of the running attempt.
  std::optional<Duration> attempt_first_byte_;
  Time sent_at_{};
  Time first_byte_at_{};
  std::string last_server_;
  /// Framing of the last response received.
  BodyFraming::Kind last_framing_ = BodyFraming::Kind::kNone;
};

}  // namespace lagoonwind::gateway
