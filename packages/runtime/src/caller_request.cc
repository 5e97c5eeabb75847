#include "caller_request.h"

#include <utility>

namespace lagoonwind::runtime {

CallerRequest::CallerRequest(Content content, http::asio::any_io_executor executor)
    : content_(std::move(content)),
      arrived_at_(std::chrono::steady_clock::now()),
      parts_(std::make_shared<AsyncQueue<ResponsePart>>(std::move(executor))) {}

bool CallerRequest::BeginAttempt(std::uint32_t attempt) {
  const std::scoped_lock lock(mutex_);
  if (head_received_ || finished_) {
    return false;
  }
  attempt_ = attempt;
  return true;
}

bool CallerRequest::AcceptHead(std::uint32_t attempt, ResponseHead head) {
  const std::scoped_lock lock(mutex_);
  if (attempt != attempt_ || head_received_ || finished_) {
    return false;
  }
  head_received_ = true;
  parts_->Push(std::move(head));
  return true;
}

bool CallerRequest::AcceptData(std::uint32_t attempt, std::uint64_t offset, std::string data) {
  const std::scoped_lock lock(mutex_);
  if (attempt != attempt_ || !head_received_ || finished_ || offset != received_bytes_) {
    return false;
  }
  received_bytes_ += data.size();
  parts_->Push(std::move(data));
  return true;
}

bool CallerRequest::IsComplete(std::uint32_t attempt, std::uint64_t length) const {
  const std::scoped_lock lock(mutex_);
  return attempt == attempt_ && head_received_ && received_bytes_ == length;
}

void CallerRequest::Finish(ResponseEnd end) {
  const std::scoped_lock lock(mutex_);
  if (!std::exchange(finished_, true)) {
    parts_->Push(end);
  }
}

}  // namespace lagoonwind::runtime
