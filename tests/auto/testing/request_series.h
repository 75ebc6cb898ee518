#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace wagtailpick::testing {

/// A request as it is written to a connection.
struct WrittenRequest {
  std::string bytes;
  std::string method;
  std::string target;
  /// The body that the one request has, whatever it looks like.
  std::string body;
  /// Whether the grammar of HTTP/1.1 gives it one meaning. The others must be refused, and the
  /// connection must end with them.
  bool is_sound = true;
  /// Whether it asks for another protocol, which a server may ignore.
  bool asks_for_upgrade = false;
  /// What is special about it, for messages.
  std::string variant;
};

/// Writes series of requests with all ways to frame a body, sound and unsound ones. Most bodies
/// hold the bytes of a whole request, with a target that begins with `kHiddenTarget`. One seed
/// gives one sequence.
class RequestSeries {
 public:
  static constexpr const char* kHiddenTarget = "/hidden/";

  explicit RequestSeries(std::uint64_t seed) : random_(seed) {}

  /// Returns one to three requests for the same connection. At most the last one is unsound, so
  /// that it can be told what is to be read before it.
  std::vector<WrittenRequest> Next();
  /// Returns a number from 0 to `count` - 1.
  std::size_t Pick(std::size_t count);

 private:
  std::string Body();
  WrittenRequest Sound();
  WrittenRequest Unsound();

  std::mt19937_64 random_;
  int number_ = 0;
};

}  // namespace wagtailpick::testing
