#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

#include "base/error.h"

namespace wagtailpick::base {

/// A value of type `T` or an `Error`. Reading the value of a failure or the error of a success is
/// undefined behaviour.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

/// Returns a failure that converts to any `Result<T>`.
inline auto Fail(ErrorCode code, std::string message) {
  return boost::outcome_v2::failure(Error{code, std::move(message)});
}

/// Returns a success that converts to `Result<void>`.
inline auto Ok() { return boost::outcome_v2::success(); }

}  // namespace wagtailpick::base
