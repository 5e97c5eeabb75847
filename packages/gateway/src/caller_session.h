#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

#include "caller_writer.h"
#include "exchange.h"
#include "gateway_context.h"

namespace lagoonwind::gateway {

/// Connection of a caller: reads requests one after another and serves each. Not thread safe.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /// \param context  Must outlive this object.
  CallerSession(GatewayContext& context, asio::ip::tcp::socket socket);
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  /// Serves the connection until it closes. Keeps `session` alive meanwhile.
  static asio::awaitable<void> Run(std::shared_ptr<CallerSession> session);
  /// Closes the connection if no request is in progress on it or waits to be read.
  /// \return False if it stays open.
  bool CloseIfIdle();
  /// Ends the read of a request that is not whole, and closes the connection then.
  void StopReading();
  /// True if a request was read, or is being read, and its answer is neither written nor a stream
  /// that has begun.
  [[nodiscard]] bool owes_answer() const;
  /// Logs that the process stops before it has answered a request that was read at least in part,
  /// if this is so.
  void LogCutByStop();
  /// Ends the read of a request that is not whole, because all requests take too much memory.
  void RefuseUpload();
  /// Closes the connection inside a request that is being read, to make room for another.
  void CloseStalled();
  /// When the last bytes of a request that is not whole arrived; absent if none is being read.
  [[nodiscard]] std::optional<Time> last_progress() const;
  /// Since when the connection has waited for a request; absent while one is in progress.
  [[nodiscard]] std::optional<Time> idle_since() const { return idle_since_; }

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Result of reading a request; kRejected means that an error response was written.
  enum class ReadResult { kRequest, kClosed, kRejected };

  /// What the connection is used for.
  enum class State { kWaiting, kReading, kAnswering, kClosing };

  asio::awaitable<void> ServeRequests();
  asio::awaitable<bool> WaitForRequest();
  asio::awaitable<ReadResult> ReadRequest(Parser& parser);
  /// Reads the rest of a request. Fails if it is refused meanwhile.
  asio::awaitable<boost::system::error_code> ReadBody(Parser& parser);
  /// Records the memory of the request that is being read, and refuses requests that are too much.
  void HoldRequest(const Parser& parser);
  /// Ends the record of the request's memory.
  void ReleaseRequest();
  asio::awaitable<ReadResult> RejectUnreadable(boost::system::error_code error);
  asio::awaitable<bool> ServeRequest(Parser& parser);
  asio::awaitable<bool> Reject(unsigned status, std::string_view reason,
                               std::string_view request_id);
  asio::awaitable<void> LingeringClose();
  /// Cancels the pending read after `timeout`.
  void SetReadTimeout(Duration timeout);
  /// Notifies the exchange when the caller closes its connection.
  void WatchForDisconnect(const std::weak_ptr<Exchange>& exchange);

  GatewayContext& context_;
  std::shared_ptr<SessionSet> sessions_;
  asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  asio::steady_timer timer_;
  asio::steady_timer disconnect_timer_;
  CallerWriter writer_;
  State state_ = State::kWaiting;
  /// The request that is being served, if any.
  std::weak_ptr<Exchange> exchange_;
  std::optional<Time> idle_since_;
  Time last_progress_{};
  std::optional<policy::UploadNumber> upload_;
  /// True if the request that is being read is refused because of the memory.
  bool refused_upload_ = false;
  bool timed_out_ = false;
};

}  // namespace lagoonwind::gateway
