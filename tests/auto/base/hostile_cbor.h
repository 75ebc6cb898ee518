#pragma once

#include <string>
#include <vector>

/// Bytes of a megabyte that nest so deeply, each in another way, that a decoder which calls itself
/// for each level overflows the stack.
inline std::vector<std::string> DeeplyNestedCbor() {
  constexpr std::size_t kLevels = 1'000'000;
  constexpr char kArrayOfOne = '\x81';
  constexpr char kOpenArray = '\x9f';
  constexpr char kOpenText = '\x7f';
  constexpr char kOpenBytes = '\x5f';
  std::string maps;
  for (std::size_t i = 0; i < kLevels / 2; ++i) maps += "\xa1\x60";
  return {std::string(kLevels, kArrayOfOne) + '\xf6', std::string(kLevels, kOpenArray),
          std::string(kLevels, kOpenText), std::string(kLevels, kOpenBytes), maps + '\xf6'};
}
