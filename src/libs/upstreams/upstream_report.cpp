#include "upstreams/upstream_report.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::upstreams {
namespace {

constexpr std::array<base::EnumName<State>, 3> kStateNames{{
    {State::kReady, "ready"},
    {State::kDraining, "draining"},
    {State::kLeft, "left"},
}};

}  // namespace

std::string_view ToString(State state) { return base::NameOf(kStateNames, state); }

}  // namespace wagtailpick::upstreams
