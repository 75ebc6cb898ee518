#include "consensus/membership.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/enum_names.h"
#include "base/json_nesting.h"

namespace wagtailpick::consensus {
namespace {

constexpr std::array<base::EnumName<MemberRole>, 2> kRoleNames{{
    {MemberRole::kVoter, "voter"},
    {MemberRole::kLearner, "learner"},
}};

auto Corrupt(const std::string& what) {
  return base::Fail(base::ErrorCode::kCorrupt, "membership: " + what);
}

base::Result<Member> ParseMember(const nlohmann::json& item) {
  if (!item.is_object() || !item.contains("name") || !item["name"].is_string() ||
      !item.contains("incarnation") || !item["incarnation"].is_number_unsigned() ||
      !item.contains("role") || !item["role"].is_string()) {
    return Corrupt("a member needs name, incarnation and role");
  }
  const auto role = base::ValueOf(kRoleNames, item["role"].get_ref<const std::string&>());
  if (!role) return Corrupt("unknown role " + item["role"].get<std::string>());
  return Member{{item["name"].get<std::string>(), item["incarnation"].get<std::uint64_t>()}, *role};
}

}  // namespace

std::string_view ToString(MemberRole role) { return base::NameOf(kRoleNames, role); }

Membership::Membership(std::vector<Member> members) {
  for (Member& member : members) Put(std::move(member));
}

std::size_t Membership::voter_count() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const Member& member) { return member.role == MemberRole::kVoter; }));
}

const Member* Membership::Find(const ReplicaKey& key) const {
  const Member* member = FindName(key.name);
  return member != nullptr && member->key == key ? member : nullptr;
}

const Member* Membership::FindName(std::string_view name) const {
  const auto found = std::find_if(members_.begin(), members_.end(),
                                  [name](const Member& member) { return member.key.name == name; });
  return found == members_.end() ? nullptr : &*found;
}

bool Membership::IsVoter(const ReplicaKey& key) const {
  const Member* member = Find(key);
  return member != nullptr && member->role == MemberRole::kVoter;
}

void Membership::Put(Member member) {
  Remove(member.key.name);
  const auto place = std::upper_bound(
      members_.begin(), members_.end(), member,
      [](const Member& left, const Member& right) { return left.key.name < right.key.name; });
  members_.insert(place, std::move(member));
}

void Membership::Remove(std::string_view name) {
  std::erase_if(members_, [name](const Member& member) { return member.key.name == name; });
}

std::string Membership::Encode() const {
  nlohmann::json items = nlohmann::json::array();
  for (const Member& member : members_) {
    items.push_back({{"name", member.key.name},
                     {"incarnation", member.key.incarnation},
                     {"role", std::string(ToString(member.role))}});
  }
  return items.dump();
}

base::Result<Membership> Membership::Parse(std::string_view text) {
  if (base::IsJsonNestedTooDeep(text)) return Corrupt("nested too deep");
  const nlohmann::json items = nlohmann::json::parse(text, nullptr, false);
  if (!items.is_array()) return Corrupt("not a JSON array");
  Membership membership;
  for (const nlohmann::json& item : items) {
    BOOST_OUTCOME_TRY(member, ParseMember(item));
    if (membership.FindName(member.key.name) != nullptr) {
      return Corrupt("duplicate name " + member.key.name);
    }
    membership.Put(std::move(member));
  }
  return membership;
}

}  // namespace wagtailpick::consensus
