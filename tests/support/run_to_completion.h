#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <utility>

namespace lagoonwind::testing {

/// Runs a coroutine on a new event loop and returns its result.
template <class T>
T RunToCompletion(boost::asio::awaitable<T> operation) {
  boost::asio::io_context io;
  std::optional<T> result;
  boost::asio::co_spawn(io, std::move(operation), [&](const std::exception_ptr&, T value) {
    result.emplace(std::move(value));
  });
  io.run();
  return *std::move(result);
}

}  // namespace lagoonwind::testing
