#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

#include "base/error.h"

namespace wagtailpick::base {

/// A value of type `T` or an `Error`. Reading the side that is not there is undefined: check first.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

/// Builds the failed side of a `Result`.
inline auto Fail(ErrorCode code, std::string message) {
  return boost::outcome_v2::failure(Error{code, std::move(message)});
}

/// Builds the succeeded side of a `Result<void>`.
inline auto Ok() { return boost::outcome_v2::success(); }

}  // namespace wagtailpick::base
