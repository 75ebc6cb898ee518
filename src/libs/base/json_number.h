#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace wagtailpick::base {

/// Error id of nlohmann::json for a number out of range.
inline constexpr int kJsonOutOfRange = 406;

/// Returns the integer in a field that another process or a disk has sent. Throws
/// `nlohmann::json::out_of_range` if it is no integer of type `T`: `json::get` would wrap it.
template <typename T>
T IntegerFrom(const nlohmann::json& field) {
  static_assert(std::is_integral_v<T> && !std::is_same_v<T, bool>);
  const bool fits =
      field.is_number_unsigned()
          ? std::in_range<T>(field.get_ref<const nlohmann::json::number_unsigned_t&>())
          : field.is_number_integer() &&
                std::in_range<T>(field.get_ref<const nlohmann::json::number_integer_t&>());
  if (!fits) throw nlohmann::json::out_of_range::create(kJsonOutOfRange, "no such integer", &field);
  return field.get<T>();
}

/// Returns the value of an enumeration whose values run from `first` to `last`. Throws as
/// `IntegerFrom` does.
template <typename T>
T EnumFrom(const nlohmann::json& field, T first, T last) {
  const auto value = IntegerFrom<std::underlying_type_t<T>>(field);
  if (value < static_cast<std::underlying_type_t<T>>(first) ||
      value > static_cast<std::underlying_type_t<T>>(last)) {
    throw nlohmann::json::out_of_range::create(kJsonOutOfRange, "unknown value", &field);
  }
  return static_cast<T>(value);
}

}  // namespace wagtailpick::base
