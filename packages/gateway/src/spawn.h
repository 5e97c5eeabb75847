#pragma once

#include <boost/asio/co_spawn.hpp>
#include <exception>
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

}  // namespace lagoonwind::gateway
