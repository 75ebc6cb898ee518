#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace wagtailpick::base {

/// A row of a table that maps enumerators to their names in logs, files and answers.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// Returns the name of `value`, or "unknown" if the table has no row for it.
template <typename Enum, std::size_t Size>
constexpr std::string_view NameOf(const std::array<EnumName<Enum>, Size>& table, Enum value) {
  for (const auto& row : table) {
    if (row.value == value) return row.name;
  }
  return "unknown";
}

/// Returns the enumerator named `name`, or nothing if the table has no such row.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> ValueOf(const std::array<EnumName<Enum>, Size>& table,
                                      std::string_view name) {
  for (const auto& row : table) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace wagtailpick::base
