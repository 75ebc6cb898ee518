#include "base/error.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::base {
namespace {

constexpr std::array<EnumName<ErrorCode>, 8> kErrorNames{{
    {ErrorCode::kInvalidArgument, "invalid_argument"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kDeadlineExceeded, "deadline_exceeded"},
    {ErrorCode::kCorrupt, "corrupt"},
    {ErrorCode::kIo, "io"},
    {ErrorCode::kLimitExceeded, "limit_exceeded"},
}};

}  // namespace

std::string_view ToString(ErrorCode code) { return NameOf(kErrorNames, code); }

}  // namespace wagtailpick::base
