#pragma once

#include <asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <utility>

namespace wagtailpick::wagtailpick_edge {

constexpr int kExitCannotStart = 1;
constexpr int kExitWrongInput = 2;

/// Calls its hooks on the loop for SIGTERM or SIGINT, and for SIGHUP.
class SignalWatch {
 public:
  explicit SignalWatch(asio::io_context& loop) : signals_(loop, SIGTERM, SIGINT, SIGHUP) {}

  void Start(std::function<void()> stop, std::function<void()> reload) {
    stop_ = std::move(stop);
    reload_ = std::move(reload);
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait([this](asio::error_code error, int signal) {
      if (error) return;
      signal == SIGHUP ? reload_() : stop_();
      Wait();
    });
  }

  asio::signal_set signals_;
  std::function<void()> stop_;
  std::function<void()> reload_;
};

}  // namespace wagtailpick::wagtailpick_edge
