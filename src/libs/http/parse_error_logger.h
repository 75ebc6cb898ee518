#pragma once

#include <string>
#include <utility>

namespace wagtailpick::http {

/// Logger for RESTinio that stores the last error text of each thread. RESTinio closes a connection
/// on the same thread right after it has logged an error, so `AnsweringSocket` can read the error
/// of its connection from here.
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

  /// Returns the last error logged on this thread and clears it; empty if there is none.
  static std::string ConsumeError() { return std::exchange(LastError(), {}); }

 private:
  static std::string& LastError() {
    thread_local std::string text;
    return text;
  }
};

}  // namespace wagtailpick::http
