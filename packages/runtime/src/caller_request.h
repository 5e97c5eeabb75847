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

/// The head of an answer.
struct ResponseHead {
  unsigned status = 0;
  std::string content_type;
};

/// The request is over.
struct ResponseEnd {
  policy::Outcome outcome = policy::Outcome::kUnknown;
  policy::Reason reason = policy::Reason::kNone;
};

/// A part of the answer, in order.
using ResponsePart = std::variant<ResponseHead, std::string, ResponseEnd>;

/// A caller's request as the entry holds it, with the answer on its way to the caller.
/// Thread safe; its mutex is a leaf of the lock order.
class CallerRequest {
 public:
  /// What the caller sent.
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

  /// Makes `attempt` the only one whose answer counts.
  /// \return False if an earlier attempt's answer has begun; nothing changes then.
  bool BeginAttempt(std::uint32_t attempt);
  /// \return False if the part is late, doubled or crossed and was dropped.
  bool AcceptHead(std::uint32_t attempt, ResponseHead head);
  /// \param offset  Bytes of the answer before `data`.
  bool AcceptData(std::uint32_t attempt, std::uint64_t offset, std::string data);
  /// \param length  Bytes of the whole answer.
  /// \return True if exactly the whole answer was accepted.
  [[nodiscard]] bool IsComplete(std::uint32_t attempt, std::uint64_t length) const;
  /// Ends the answer; later parts are dropped.
  void Finish(ResponseEnd end);
  /// Next part; only from the coroutine on the executor.
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
