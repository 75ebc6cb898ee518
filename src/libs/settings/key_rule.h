#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::settings {

/// Syntax that the value of a key must have.
enum class KeyKind { kText, kNumber, kDecimal, kEndpoint, kEndpointList, kChoice, kChoiceList };

/// A key that an INI file may have and the values that it accepts.
struct KeyRule {
  std::string section;
  std::string key;
  KeyKind kind = KeyKind::kText;
  bool required = false;
  /// Value of an optional key that is not set.
  std::string default_value = {};
  /// Inclusive range of a `kNumber` or `kDecimal`.
  std::int64_t min = 0;
  std::int64_t max = 0;
  /// Accepted values of a `kChoice` and of the elements of a `kChoiceList`.
  std::vector<std::string> choices = {};
};

}  // namespace wagtailpick::settings
