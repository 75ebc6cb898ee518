#include "base/hash_fraction.h"

#include <cstdint>
#include <functional>

namespace wagtailpick::base {
namespace {

/// A double holds this many bits of a hash exactly.
constexpr unsigned kFractionBits = 53;

}  // namespace

double HashFraction(std::string_view key) {
  const std::uint64_t hash = std::hash<std::string_view>()(key);
  return static_cast<double>(hash >> (64U - kFractionBits)) /
         static_cast<double>(std::uint64_t{1} << kFractionBits);
}

}  // namespace wagtailpick::base
