#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <utility>

#include "lagoonwind/http.h"

namespace lagoonwind::runtime {

/// Queue from any number of threads to one coroutine. Must be owned by a shared_ptr.
template <class T>
class AsyncQueue : public std::enable_shared_from_this<AsyncQueue<T>> {
 public:
  /// \param executor  Strand of the coroutine that calls Pop().
  explicit AsyncQueue(http::asio::any_io_executor executor)
      : executor_(std::move(executor)), wakeup_timer_(executor_) {}

  /// Appends an item and wakes the coroutine that waits in Pop(). Thread safe.
  void Push(T item) {
    {
      const std::scoped_lock lock(mutex_);
      items_.push_back(std::move(item));
    }
    http::asio::post(executor_,
                     [self = this->shared_from_this()] { self->wakeup_timer_.cancel(); });
  }

  /// Removes the oldest item, waiting until there is one. Call only from the one coroutine on the
  /// queue's strand.
  http::asio::awaitable<T> Pop() {
    for (;;) {
      {
        const std::scoped_lock lock(mutex_);
        if (!items_.empty()) {
          T item = std::move(items_.front());
          items_.pop_front();
          co_return item;
        }
      }
      boost::system::error_code ignored;
      wakeup_timer_.expires_at(http::asio::steady_timer::time_point::max());
      co_await wakeup_timer_.async_wait(
          http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }
  }

 private:
  http::asio::any_io_executor executor_;
  /// Never expires; Push() cancels it to wake Pop().
  http::asio::steady_timer wakeup_timer_;
  std::mutex mutex_;
  std::deque<T> items_;
};

}  // namespace lagoonwind::runtime
