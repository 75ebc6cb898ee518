#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace wagtailpick::platform_test {

/// Changes messages at random: bytes that are not UTF-8, control characters, lost, repeated and
/// long parts, deep nesting, and numbers out of range. One seed gives one sequence of changes.
class MessageMutator {
 public:
  explicit MessageMutator(std::uint64_t seed) : random_(seed) {}

  /// Returns `message` with one to three changes.
  std::string Mutate(std::string message);
  /// Returns a number from 0 to `count` - 1.
  std::size_t Pick(std::size_t count);

 private:
  void ChangeOnce(std::string& message);
  void ReplaceValue(std::string& message, const std::string& value);

  std::mt19937_64 random_;
};

}  // namespace wagtailpick::platform_test
