#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <functional>
#include <utility>

#include "event_log.h"

namespace lagoonwind::gateway {

/// Runs a coroutine. An exception that escapes it is logged with `name` and ends only this
/// coroutine. `log` must outlive the coroutine.
template <class Executor, class Awaitable>
void Spawn(Executor&& executor, EventLog& log, const char* name, Awaitable coroutine) {
  boost::asio::co_spawn(std::forward<Executor>(executor), std::move(coroutine),
                        [&log, name](const std::exception_ptr& failure) {
                          if (failure == nullptr) {
                            return;
                          }
                          try {
                            std::rethrow_exception(failure);
                          } catch (const std::exception& error) {
                            log.Write(Severity::kState, "internal_error",
                                      {{"where", name}, {"reason", error.what()}});
                          }
                        });
}

/// Time after which a service that ended with an exception is started again.
inline constexpr std::chrono::milliseconds kServiceRestartPause{100};

/// Runs a coroutine that serves for the lifetime of the process, and starts it again if an
/// exception escapes it. `log` must outlive the coroutine.
inline boost::asio::awaitable<void> KeepRunning(
    EventLog& log, const char* name, std::function<boost::asio::awaitable<void>()> service) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  for (bool ended = false; !ended;) {
    try {
      co_await service();
      ended = true;
    } catch (const std::exception& error) {
      log.Write(Severity::kState, "internal_error", {{"where", name}, {"reason", error.what()}});
    }
    if (!ended) {
      timer.expires_after(kServiceRestartPause);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }
}

}  // namespace lagoonwind::gateway
