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

bool IsSameState(const UpstreamReport& a, const UpstreamReport& b) {
  return a.started_unix_ms == b.started_unix_ms && a.state == b.state && a.service == b.service &&
         a.address == b.address && a.slots == b.slots && a.data_centre == b.data_centre;
}

}  // namespace wagtailpick::upstreams
