#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::settings {

/// What a value has to look like.
enum class KeyKind { kText, kNumber, kDecimal, kEndpoint, kEndpointList, kChoice, kChoiceList };

/// One allowed key of an INI file.
struct KeyRule {
  std::string section;
  std::string key;
  KeyKind kind = KeyKind::kText;
  bool required = false;
  std::string default_value = {};
  /// Accepted range of a `kNumber` or `kDecimal`, both ends included.
  std::int64_t min = 0;
  std::int64_t max = 0;
  /// Accepted values of a `kChoice` or `kChoiceList`.
  std::vector<std::string> choices = {};
};

}  // namespace wagtailpick::settings
