#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

#include "async_queue.h"
#include "lagoonwind/policy.h"

namespace lagoonwind::runtime {

/// Status and content type of a response.
struct ResponseHead {
  unsigned status = 0;
  std::string content_type;
};

/// The end of a request and its outcome.
struct ResponseEnd {
  policy::Outcome outcome = policy::Outcome::kUnknown;
  policy::Reason reason = policy::Reason::kNone;
};

/// A part of a response. Parts come in order: the head, body data, the end. A request that ends
/// without a response has only the end.
using ResponsePart = std::variant<ResponseHead, std::string, ResponseEnd>;

/// A caller's request at an entry, and its response on the way to the caller. Thread safe; its
/// mutex is a leaf in the lock order.
class CallerRequest {
 public:
  /// Content of the request as received from the caller.
  struct Content {
    RequestId id;
    policy::RequestTraits traits;
    std::string customer_name;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string idempotency_key;
  };

  /// \param executor  Strand of the coroutine that writes to the caller.
  CallerRequest(Content content, http::asio::any_io_executor executor);

  [[nodiscard]] const Content& content() const { return content_; }
  [[nodiscard]] std::chrono::steady_clock::time_point arrived_at() const { return arrived_at_; }

  /// Makes `attempt` the only attempt whose response is accepted.
  /// \return False, without effect, if a response has already started or the request has ended.
  bool BeginAttempt(std::uint32_t attempt);
  /// Accepts the head of an attempt's response.
  /// \return False if it was dropped: it is a duplicate, belongs to another attempt or came too
  ///         late.
  bool AcceptHead(std::uint32_t attempt, ResponseHead head);
  /// Accepts body data of an attempt's response.
  /// \param offset  Number of body bytes before `data`.
  /// \return False if it was dropped: it is out of order, belongs to another attempt or came too
  ///         late.
  bool AcceptData(std::uint32_t attempt, std::uint64_t offset, std::string data);
  /// \param length  Size of the complete body, in bytes.
  /// \return True if exactly the complete response of the attempt was accepted.
  [[nodiscard]] bool IsComplete(std::uint32_t attempt, std::uint64_t length) const;
  /// Ends the response; later parts are dropped.
  void Finish(ResponseEnd end);
  /// Waits for the next part. Call only from the coroutine on the executor.
  http::asio::awaitable<ResponsePart> NextPart() { return parts_->Pop(); }

 private:
  Content content_;
  std::chrono::steady_clock::time_point arrived_at_;
  std::shared_ptr<AsyncQueue<ResponsePart>> parts_;

  mutable std::mutex mutex_;
  std::uint32_t attempt_ = 0;
  std::uint64_t received_bytes_ = 0;
  bool head_received_ = false;
  bool finished_ = false;
};

}  // namespace lagoonwind::runtime
