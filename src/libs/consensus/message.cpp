#include "consensus/message.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::consensus {
namespace {

constexpr std::array<base::EnumName<MessageKind>, 9> kKindNames{{
    {MessageKind::kPreVote, "pre_vote"},
    {MessageKind::kPreVoteReply, "pre_vote_reply"},
    {MessageKind::kVote, "vote"},
    {MessageKind::kVoteReply, "vote_reply"},
    {MessageKind::kAppend, "append"},
    {MessageKind::kAppendReply, "append_reply"},
    {MessageKind::kSnapshot, "snapshot"},
    {MessageKind::kSnapshotReply, "snapshot_reply"},
    {MessageKind::kJoin, "join"},
}};

}  // namespace

std::string_view ToString(MessageKind kind) { return base::NameOf(kKindNames, kind); }

}  // namespace wagtailpick::consensus
