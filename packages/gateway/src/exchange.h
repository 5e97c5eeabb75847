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
  void CallerLeft();

 private:
  /// How one send ended.
  enum class SendEnd {
    /// The caller got the answer.
    kAnswered,
    /// Nothing reached a backend server.
    kNotSent,
    /// The backend server says that it hasn't run the request.
    kNotRun,
    /// The backend server answered with a failure of its own; the answer is held.
    kFailed,
    /// The request may have run.
    kUnknown,
    /// The answer broke off and can't be continued.
    kBroken,
    /// The time that the caller or the route allows is over.
    kTimeout,
    kCallerLeft,
  };
  enum class Stop { kNone, kTimeout, kStalled, kCallerLeft };

  struct HeldAnswer {
    ResponseHead head;
    std::string body;
  };

  asio::awaitable<bool> Serve();
  [[nodiscard]] policy::DispatchDecision Decide(Time now);
  [[nodiscard]] std::vector<policy::Candidate> Candidates(Time now) const;
  [[nodiscard]] double ColdRate(const KnownServer& known, Time now) const;
  asio::awaitable<SendEnd> Send(ServerId server);
  asio::awaitable<SendEnd> SendOn(BackendPool::Connection connection, BackendServer server);
  asio::awaitable<SendEnd> Receive(BackendCall& call, const BackendServer& server);
  asio::awaitable<SendEnd> Relay(BackendCall& call, const BackendServer& server);
  asio::awaitable<SendEnd> Deliver(BackendCall& call, const BackendServer& server);
  asio::awaitable<bool> WriteEvents(BackendCall& call, std::string_view bytes);
  [[nodiscard]] SendEnd Interrupted(const absl::Status& status, const BackendServer& server);
  [[nodiscard]] bool MayRepeat(SendEnd end);
  asio::awaitable<bool> Refuse(const policy::DispatchDecision& decision);
  asio::awaitable<bool> AnswerOwn(unsigned status, std::string_view reason,
                                  std::optional<Duration> retry_after);
  asio::awaitable<bool> Finish(SendEnd end);

  [[nodiscard]] std::string RequestText(const BackendServer& server) const;
  [[nodiscard]] Duration TimeLeft(Time now) const;
  /// Time that a request may be expected to take before a draining process stops.
  [[nodiscard]] Duration TimeBeforeStop(Time now) const;
  [[nodiscard]] bool streaming() const { return accepted_.route->kind == RouteKind::kStreaming; }
  /// Closes the backend connection at the deadline, or once there is no progress for `stall`.
  void Guard(Duration stall);
  void AwaitGuard();
  void NoteProgress() { progress_at_ = Now(); }
  void StopSending(Stop reason);
  void NoteFirstPart(const BackendServer& server);
  void LogEnd(std::string_view outcome, unsigned status);

  GatewayContext& context_;
  CallerWriter& writer_;
  AcceptedRequest accepted_;
  std::string service_;
  Time deadline_;
  Digest digest_;
  asio::steady_timer guard_;
  Duration stall_{0};
  Time progress_at_{};
  Stop stop_ = Stop::kNone;
  BackendPool::Connection connection_;
  EventSplitter events_;
  std::optional<HeldAnswer> held_;
  policy::DispatchDecision first_decision_;
  policy::DispatchDecision decision_;
  policy::EngineLoad::Sequence load_sequence_ = 0;
  std::vector<ServerId> tried_;
  /// Sends whose end doesn't prove that the request hasn't run.
  int open_sends_ = 0;
  int sends_ = 0;
  bool began_ = false;
  bool stream_begun_ = false;
  Time sent_at_{};
  Time first_byte_at_{};
  std::string last_server_;
};

}  // namespace lagoonwind::gateway
