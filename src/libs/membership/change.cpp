#include "membership/change.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::membership {
namespace {

constexpr std::array<base::EnumName<ChangeKind>, 9> kKindNames{{
    {ChangeKind::kAppeared, "appeared"},
    {ChangeKind::kRestarted, "restarted"},
    {ChangeKind::kUp, "up"},
    {ChangeKind::kDraining, "draining"},
    {ChangeKind::kLeaving, "leaving"},
    {ChangeKind::kSilent, "silent"},
    {ChangeKind::kWithdrawn, "withdrawn"},
    {ChangeKind::kForgotten, "forgotten"},
    {ChangeKind::kSlotsChanged, "slots_changed"},
}};

}  // namespace

std::string_view ToString(ChangeKind kind) { return base::NameOf(kKindNames, kind); }

}  // namespace wagtailpick::membership
