#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace wagtailpick::testing {

/// Returns values for a number field of a message: limits of types, and no integers.
inline std::vector<nlohmann::json> LimitValues() {
  return {-1,        257,        3,   70'000, 4'294'967'296, INT64_MIN,
          INT64_MAX, UINT64_MAX, 4.5, 1e308,  -1e308,        true};
}

/// Adds the numbers in `field` and in its items, in their order.
inline void CollectNumbers(nlohmann::json& field, std::vector<nlohmann::json*>& numbers) {
  if (field.is_number()) numbers.push_back(&field);
  if (!field.is_array()) return;
  for (auto& part : field) CollectNumbers(part, numbers);
}

}  // namespace wagtailpick::testing
