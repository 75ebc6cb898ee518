#pragma once

#include <string_view>

namespace wagtailpick::base {

/// Returns a number from 0 (included) to 1 (excluded) that depends on `key` only and is spread
/// evenly over different keys. Used to spread actions of many VMs or callers over a time.
double HashFraction(std::string_view key);

}  // namespace wagtailpick::base
