#pragma once

#include <string>
#include <utility>

namespace wagtailpick::http {

/// Logger for the server library that keeps the text of a connection's last error. The library
/// closes a connection on the same thread right after it has logged an error, so the socket can
/// take the text from here.
class ParseErrorLogger {
 public:
  template <typename Builder>
  void trace(Builder&&) const noexcept {}
  template <typename Builder>
  void info(Builder&&) const noexcept {}
  template <typename Builder>
  void warn(Builder&&) const noexcept {}
  template <typename Builder>
  void error(Builder&& build) const {
    LastError() = build();
  }

  /// Returns the last error logged on this thread and forgets it.
  static std::string TakeError() { return std::exchange(LastError(), {}); }

 private:
  static std::string& LastError() {
    thread_local std::string text;
    return text;
  }
};

}  // namespace wagtailpick::http
