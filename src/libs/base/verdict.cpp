#include "base/verdict.h"

#include <algorithm>
#include <array>

#include "base/enum_names.h"

namespace wagtailpick::base {
namespace {

constexpr std::array<EnumName<Verdict>, 3> kVerdictNames{{
    {Verdict::kNotRun, "not_run"},
    {Verdict::kMayHaveRun, "may_have_run"},
    {Verdict::kRan, "ran"},
}};

}  // namespace

std::string_view ToString(Verdict verdict) { return NameOf(kVerdictNames, verdict); }

std::optional<Verdict> ParseVerdict(std::string_view name) { return ValueOf(kVerdictNames, name); }

Verdict Combine(Verdict first, Verdict second) { return std::max(first, second); }

}  // namespace wagtailpick::base
