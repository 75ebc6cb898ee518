#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace wagtailpick::testing {

/// Changes text and binary messages at random: flipped bits, bytes that are not UTF-8, control
/// characters, lost, repeated, random and long parts, deep nesting, and numbers out of range. One
/// seed gives one sequence of changes.
class MessageMutator {
 public:
  explicit MessageMutator(std::uint64_t seed) : random_(seed) {}

  /// Returns `message` with one to three changes.
  std::string Mutate(std::string message);
  /// Returns a number from 0 to `count` - 1.
  std::size_t Pick(std::size_t count);
  /// Returns up to `max_size` random bytes.
  std::string RandomBytes(std::size_t max_size);

 private:
  void ChangeOnce(std::string& message);
  void ReplaceBinaryNumber(std::string& message, std::size_t at);
  void ReplaceValue(std::string& message, const std::string& value);

  std::mt19937_64 random_;
};

}  // namespace wagtailpick::testing
