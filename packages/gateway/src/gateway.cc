#include "lagoonwind/gateway.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <functional>
#include <limits>
#include <vector>

#include "caller_session.h"
#include "clock.h"
#include "gateway_context.h"
#include "lagoonwind/http.h"
#include "spawn.h"
#include "store_follower.h"

namespace lagoonwind::gateway {
namespace {

using ErrorCode = boost::system::error_code;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

/// Interval at which the log is flushed and missing backend servers are removed.
constexpr milliseconds kHousekeepingInterval{100};
/// Long-poll time of calls to the store. TCP keep-alive probes detect a dead connection earlier.
constexpr milliseconds kStoreWait{6000};
/// Pause between reads of the list of backend servers; a fraction of the time within which a
/// departing backend server must be detected.
constexpr milliseconds kServersPause{250};
/// Margin before the end of the shutdown grace period; the process stops then even if requests are
/// running.
constexpr Duration kStopMargin = std::chrono::milliseconds(500);
constexpr milliseconds kDrainPollInterval{50};
/// This interval once answers are due.
constexpr milliseconds kAnswerPollInterval{10};
/// Largest number of connections that are accepted in one go before the listening port closes.
constexpr int kMaxLastConnections = 256;
/// Descriptors that are not available to callers' and backend servers' connections: listening
/// ports, peers, store, log and files.
constexpr std::size_t kReservedDescriptors = 300;
/// Fraction of the other descriptors that callers' connections may occupy. The rest is for
/// connections to backend servers, of which a request needs one.
constexpr double kCallerDescriptorFraction = 0.55;
constexpr milliseconds kAcceptRetryPause{20};

/// Largest number of callers' connections with which the process stays within its descriptors.
std::size_t MaxSessions(std::size_t descriptors) {
  const std::size_t available = descriptors - std::min(descriptors, kReservedDescriptors);
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(kCallerDescriptorFraction * static_cast<double>(available)));
}

/// Gateway process: listening ports, store followers and drain.
class Gateway {
 public:
  Gateway(const Settings& settings, const Adapter& adapter)
      : settings_(settings),
        context_(io_, settings, adapter),
        operator_follower_(adapter.store, context_.fleet, context_.log,
                           {.topic = Topic::kOperator, .name = "operator", .wait = kStoreWait}),
        server_follower_(adapter.store, context_.fleet, context_.log,
                         {.topic = Topic::kServers,
                          .name = "servers",
                          .wait = kStoreWait,
                          .pause = kServersPause}),
        caller_acceptor_(io_),
        readiness_acceptor_(io_),
        metrics_acceptor_(io_),
        stop_signals_(io_, SIGTERM, SIGINT),
        reload_signals_(io_, SIGHUP),
        max_sessions_(MaxSessions(settings.max_descriptors)) {}

  int Run() {
    const absl::Status started = Start();
    context_.log.Write(Severity::kState, started.ok() ? "started" : "start_failed",
                       {{"zone", settings_.zone},
                        {"callers", settings_.caller_listen},
                        {"store", settings_.store_address},
                        {"seeds", settings_.seeds},
                        {"outcome", started.ToString()}});
    if (!started.ok()) {
      return 1;
    }
    RunEventLoop();
    context_.log.Write(Severity::kState, "stopped", {{"requests", context_.exchanges->size()}});
    return 0;
  }

 private:
  /// Runs until the process stops. An exception of one handler ends neither the loop nor the work
  /// of others.
  void RunEventLoop() {
    for (;;) {
      try {
        io_.run();
        return;
      } catch (const std::exception& error) {
        context_.log.Write(Severity::kState, "internal_error",
                           {{"where", "event_loop"}, {"reason", error.what()}});
      }
    }
  }

  /// Runs a service for the lifetime of the process.
  void StartService(const char* name, std::function<asio::awaitable<void>()> service) {
    Spawn(io_, context_.log, name, KeepRunning(context_.log, name, std::move(service)));
  }

  absl::Status Start() {
    for (const auto& [acceptor, address] :
         {std::pair{&caller_acceptor_, settings_.caller_listen},
          std::pair{&readiness_acceptor_, settings_.readiness_listen},
          std::pair{&metrics_acceptor_, absl::StrCat(settings_.ip, ":", settings_.metrics_port)}}) {
      const auto endpoint = http::ParseEndpoint(address);
      absl::Status listening =
          endpoint.ok() ? http::Listen(*acceptor, *endpoint) : endpoint.status();
      if (!listening.ok()) {
        return listening;
      }
    }
    if (absl::Status peers = context_.Start(); !peers.ok()) {
      return peers;
    }
    StartService("follow_operators", [this] { return operator_follower_.Run(); });
    StartService("follow_servers", [this] { return server_follower_.Run(); });
    StartService("follow_quarantine",
                 [this] { return context_.quarantine_records.FollowRecords(); });
    StartService("write_quarantine", [this] { return context_.quarantine_records.WriteRecords(); });
    StartService("rollout_status", [this] { return context_.rollouts.MaintainStatus(); });
    StartService("readiness", [this] { return ServeReadiness(); });
    StartService("metrics", [this] { return ServeMetrics(); });
    StartService("accept", [this] { return AcceptCallers(); });
    StartService("loop_monitor", [this] { return context_.monitor.Run(); });
    StartService("housekeeping", [this] { return RunHousekeeping(); });
    StartService("signals", [this] { return HandleStopSignal(); });
    StartService("reload", [this] { return HandleReloadSignals(); });
    return absl::OkStatus();
  }

  asio::awaitable<void> ServeReadiness() {
    const http::Handler handler = [this](http::Request request) -> asio::awaitable<http::Response> {
      if (request.target != context_.headers.readiness_path()) {
        co_return http::Response{.status = kNotFound};
      }
      const bool ready = !context_.drain.draining() && !context_.monitor.overloaded() &&
                         context_.fleet.configuration() != nullptr &&
                         context_.fleet.server_count() > 0 &&
                         context_.quarantine_records.IsKnownOrOverdue(Now()) &&
                         context_.peers.KnowsEvidence(Now());
      co_return http::Response{.status = ready ? kOk : kUnavailable};
    };
    co_await http::Serve(readiness_acceptor_, handler, 0);
  }

  asio::awaitable<void> ServeMetrics() {
    const http::Handler handler = [this](http::Request request) -> asio::awaitable<http::Response> {
      if (request.target != "/metrics") {
        co_return http::Response{.status = kNotFound};
      }
      UpdateMetrics();
      co_return http::Response{
          .status = kOk, .content_type = "text/plain", .body = context_.metrics.Serialize()};
    };
    co_await http::Serve(metrics_acceptor_, handler, 0);
  }

  void UpdateMetrics() {
    auto& metrics = context_.metrics;
    const auto configuration = context_.fleet.configuration();
    const Time now = Now();
    metrics.Set("lagoonwind_gateway_configuration_version", "Version in force, -1 if none",
                configuration == nullptr ? -1 : static_cast<double>(configuration->version));
    metrics.Set("lagoonwind_gateway_operator_records_age_seconds",
                "Time since the store last answered about operators' records",
                Milliseconds(now - operator_follower_.last_response()) / 1000);
    metrics.Set("lagoonwind_gateway_server_records_age_seconds",
                "Time since the store last answered about backend servers",
                Milliseconds(now - server_follower_.last_response()) / 1000);
    metrics.Set(
        "lagoonwind_gateway_store_calls_total", "Calls to the store",
        static_cast<double>(operator_follower_.calls() + server_follower_.calls() +
                            context_.quarantine_records.calls() + context_.rollouts.calls()));
    metrics.Set("lagoonwind_gateway_quarantined_segments",
                "Prompt segments that are not sent as they crash engines",
                static_cast<double>(context_.segments.Quarantined().size()));
    metrics.Set(
        "lagoonwind_gateway_quarantined_requests",
        "Requests that are not sent as they crash backend servers",
        static_cast<double>(
            context_.suspects.Quarantined(std::numeric_limits<std::size_t>::max(), now).size()));
    metrics.Set("lagoonwind_gateway_running_requests", "Requests that are being served",
                static_cast<double>(context_.exchanges->size()));
    metrics.Set("lagoonwind_gateway_held_body_bytes", "Bytes of request bodies that are held",
                static_cast<double>(context_.request_memory.bytes()));
    metrics.Set("lagoonwind_gateway_refused_uploads_total",
                "Requests refused as all bodies would have taken too much memory",
                static_cast<double>(context_.refused_uploads));
    metrics.Set("lagoonwind_gateway_closed_stalled_connections_total",
                "Connections closed inside a request to make room for others",
                static_cast<double>(context_.closed_stalled_connections));
    metrics.Set("lagoonwind_gateway_held_response_bytes",
                "Bytes of responses that are not passed on yet",
                static_cast<double>(context_.response_memory.bytes()));
    metrics.Set("lagoonwind_gateway_loop_late_seconds", "Smoothed lateness of the event loop",
                Milliseconds(context_.monitor.lag()) / 1000);
    metrics.Set("lagoonwind_gateway_peers", "Other gateways that were heard lately",
                context_.peers.live_count());
    metrics.Set("lagoonwind_gateway_peer_bytes_total", "Bytes of reports sent to other gateways",
                static_cast<double>(context_.peers.sent_bytes()));
    metrics.Set("lagoonwind_gateway_backend_connections_total",
                "Connections opened to backend servers",
                static_cast<double>(context_.pool.opened()));
    metrics.Set("lagoonwind_gateway_reading_rate_tokens_per_second",
                "Prompt tokens that an engine is believed to read in a second",
                context_.load.prefill_rate());
    metrics.Set("lagoonwind_gateway_paced_servers",
                "Backend servers that get less than an even portion of the work",
                static_cast<double>(context_.pace.paced_count()));
    metrics.Set("lagoonwind_gateway_log_lines_dropped_total", "Log lines that were dropped",
                static_cast<double>(context_.log.dropped()));
    context_.rollouts.UpdateMetrics(metrics, now);
    for (auto& [service, budget] : context_.budgets) {
      metrics.Set("lagoonwind_gateway_retry_budget_left",
                  "Repeated sends that this gateway may still make, by service",
                  budget.Remaining(context_.peers.fleet_size(), now), service);
    }
  }

  asio::awaitable<void> AcceptCallers() {
    ErrorCode error;
    caller_acceptor_.non_blocking(true, error);
    asio::steady_timer pause(io_);
    for (;;) {
      co_await caller_acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read,
                                           asio::redirect_error(asio::use_awaitable, error));
      if (error || !caller_acceptor_.is_open()) {
        co_return;
      }
      // One connection between two polls: on an overloaded host, requests in progress come first.
      error = AcceptCaller();
      if (error && error != asio::error::would_block) {
        // Out of descriptors or memory: the connection stays queued, so that an immediate retry
        // would fail in the same way.
        context_.log.Write(Severity::kFailure, "connection_not_taken",
                           {{"reason", error.message()}, {"sessions", context_.sessions->size()}});
        pause.expires_after(kAcceptRetryPause);
        co_await pause.async_wait(asio::use_awaitable);
      }
    }
  }

  ErrorCode AcceptCaller() {
    ErrorCode error;
    asio::ip::tcp::socket socket(io_);
    caller_acceptor_.accept(socket, error);
    if (error) {
      return error;
    }
    const bool saturated = context_.monitor.saturated();
    if (saturated || !MakeRoomForSession()) {
      // Closing without a response is the cheapest way to make callers connect to another gateway.
      context_.log.Write(Severity::kFailure, "connection_not_taken",
                         {{"reason", saturated ? "overloaded" : "too many connections"},
                          {"sessions", context_.sessions->size()},
                          {"limit", max_sessions_}});
      return error;
    }
    Spawn(io_, context_.log, "caller_session",
          CallerSession::Run(std::make_shared<CallerSession>(context_, std::move(socket))));
    return error;
  }

  /// Closes the connection that has been idle longest if there is no room for another, otherwise
  /// the one whose request has made no progress for longest. \return False if there is no room.
  bool MakeRoomForSession() {
    if (context_.sessions->size() < max_sessions_) {
      return true;
    }
    CallerSession* longest_idle = nullptr;
    for (CallerSession* session : *context_.sessions) {
      if (session->idle_since() &&
          (longest_idle == nullptr || *session->idle_since() < *longest_idle->idle_since())) {
        longest_idle = session;
      }
    }
    return (longest_idle != nullptr && longest_idle->CloseIfIdle()) || CloseStalledSession(Now());
  }

  /// Closes the connection whose request has made no progress for longest.
  /// \return False if all make progress.
  bool CloseStalledSession(Time now) {
    CallerSession* stalled = nullptr;
    Time last_progress = now - policy::RequestMemory::kStallTime;
    for (CallerSession* session : *context_.sessions) {
      if (const auto progress = session->last_progress(); progress && *progress < last_progress) {
        stalled = session;
        last_progress = *progress;
      }
    }
    if (stalled == nullptr) {
      return false;
    }
    ++context_.closed_stalled_connections;
    context_.log.Write(Severity::kFailure, "stalled_connection_closed",
                       {{"idle_ms", Milliseconds(now - last_progress)},
                        {"sessions", context_.sessions->size()},
                        {"limit", max_sessions_}});
    stalled->CloseStalled();
    return true;
  }

  asio::awaitable<void> RunHousekeeping() {
    asio::steady_timer timer(io_);
    for (;;) {
      context_.fleet.RemoveMissingServers(Now());
      context_.fleet.ExpireHeldRecords(Now());
      context_.pool.CloseExpired(Now());
      context_.rollouts.Update(Now());
      context_.log.Flush();
      timer.expires_after(kHousekeepingInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<void> HandleReloadSignals() {
    for (;;) {
      co_await reload_signals_.async_wait(asio::use_awaitable);
      // Settings are fixed for the lifetime of a process.
      context_.log.Write(Severity::kState, "reload",
                         {{"applied", false}, {"reason", "settings are read at the start only"}});
    }
  }

  void StartDrain() {
    const Time now = Now();
    // The grace period has begun with the signal, which may have waited for this process.
    const Time signalled = context_.monitor.EarliestArrival(now);
    context_.drain.Start(signalled, signalled + settings_.shutdown_grace - kStopMargin);
    context_.peers.AnnounceLeaving();
    context_.log.Write(Severity::kState, "draining",
                       {{"requests", context_.exchanges->size()},
                        {"stop_in_ms", Milliseconds(context_.drain.stop() - now)},
                        {"signal_late_ms", Milliseconds(now - signalled)},
                        {"loop_late_ms", Milliseconds(context_.monitor.lag())}});
  }

  /// Closes the listening port, so that what is left to answer is bounded. Requests on connections
  /// that wait there are refused if the time suffices for reading them.
  void StopAccepting(Time now) {
    if (!caller_acceptor_.is_open()) {
      return;
    }
    ErrorCode error;
    for (int i = 0; i < kMaxLastConnections && !error && context_.drain.MayRead(now); ++i) {
      error = AcceptCaller();
    }
    caller_acceptor_.close(error);
  }

  /// Does the work of a draining process that is due.
  /// \return True if the process is to stop.
  bool ContinueDrain(Time now) {
    auto& drain = context_.drain;
    if (now >= drain.answer_deadline()) {
      drain.BeginAnswering(now);
      StopAccepting(now);
      std::ranges::for_each(*context_.exchanges, &Exchange::EndBeforeStop);
    }
    if (!drain.MayRead(now)) {
      std::ranges::for_each(*context_.sessions, &CallerSession::StopReading);
    }
    if (drain.BalancerHasNoticed(now)) {
      std::ranges::for_each(*context_.sessions, &CallerSession::CloseIfIdle);
    }
    const bool has_connections = !context_.sessions->empty() ||
                                 (drain.BalancerHasNoticed(now) && caller_acceptor_.is_open() &&
                                  AcceptCaller() != asio::error::would_block);
    const bool owes_answer = std::ranges::any_of(*context_.sessions, &CallerSession::owes_answer);
    return drain.MayEnd({.has_connections = has_connections, .owes_answer = owes_answer}, now);
  }

  asio::awaitable<void> HandleStopSignal() {
    if (!context_.drain.draining()) {
      co_await stop_signals_.async_wait(asio::use_awaitable);
      StartDrain();
    }
    asio::steady_timer timer(io_);
    do {
      const bool answering = Now() >= context_.drain.answer_deadline();
      timer.expires_after(answering ? kAnswerPollInterval : kDrainPollInterval);
      co_await timer.async_wait(asio::use_awaitable);
    } while (!ContinueDrain(Now()));
    std::ranges::for_each(*context_.sessions, &CallerSession::LogCutByStop);
    io_.stop();
  }

  asio::io_context io_{1};
  const Settings& settings_;
  GatewayContext context_;
  StoreFollower operator_follower_;
  StoreFollower server_follower_;
  asio::ip::tcp::acceptor caller_acceptor_;
  asio::ip::tcp::acceptor readiness_acceptor_;
  asio::ip::tcp::acceptor metrics_acceptor_;
  asio::signal_set stop_signals_;
  asio::signal_set reload_signals_;
  /// Largest number of open connections of callers.
  const std::size_t max_sessions_;
};

}  // namespace

int RunGateway(const Settings& settings, const Adapter& adapter) {
  // Writing to a connection that the peer closed must fail with an error instead of a signal.
  std::signal(SIGPIPE, SIG_IGN);
  return Gateway(settings, adapter).Run();
}

}  // namespace lagoonwind::gateway
