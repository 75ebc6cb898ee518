#include "control/outcomes.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::control {
namespace {

using base::EnumName;

constexpr std::array<EnumName<BundleVerdict>, 4> kBundleNames{{
    {BundleVerdict::kAccepted, "accepted"},
    {BundleVerdict::kRepeated, "repeated"},
    {BundleVerdict::kConflict, "conflict"},
    {BundleVerdict::kSuperseded, "superseded"},
}};

constexpr std::array<EnumName<SessionVerdict>, 3> kSessionNames{{
    {SessionVerdict::kOpened, "opened"},
    {SessionVerdict::kUpdated, "updated"},
    {SessionVerdict::kStale, "stale"},
}};

constexpr std::array<EnumName<OwnershipVerdict>, 6> kOwnershipNames{{
    {OwnershipVerdict::kGranted, "granted"},
    {OwnershipVerdict::kAlreadyOwned, "already_owned"},
    {OwnershipVerdict::kHeldByOther, "held_by_other"},
    {OwnershipVerdict::kNoSession, "no_session"},
    {OwnershipVerdict::kDraining, "draining"},
    {OwnershipVerdict::kStale, "stale"},
}};

}  // namespace

std::string_view ToString(BundleVerdict verdict) { return base::NameOf(kBundleNames, verdict); }
std::string_view ToString(SessionVerdict verdict) { return base::NameOf(kSessionNames, verdict); }
std::string_view ToString(OwnershipVerdict verdict) {
  return base::NameOf(kOwnershipNames, verdict);
}

}  // namespace wagtailpick::control
