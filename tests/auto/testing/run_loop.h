#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>

namespace wagtailpick::testing {

/// Runs `loop` for `span`, and then what is ready by that time: `run_for` alone handles nothing of
/// it if the thread is stalled for `span`. Returns the number of handlers that ran.
inline std::size_t RunFor(asio::io_context& loop, std::chrono::steady_clock::duration span) {
  loop.restart();
  std::size_t handlers = loop.run_for(span);
  while (loop.poll_one() > 0) ++handlers;
  return handlers;
}

/// Runs `loop` until nothing has been ready for `span`.
inline void RunUntilIdle(asio::io_context& loop, std::chrono::steady_clock::duration span) {
  loop.restart();
  while (loop.run_one_for(span) > 0 || loop.poll_one() > 0) {
  }
}

}  // namespace wagtailpick::testing
