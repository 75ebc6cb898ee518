#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "entry/member.h"

namespace wagtailpick::entry {

/// What an entry last learned from control. Immutable, so that threads share it without locks.
struct View {
  bundle::Bundle bundle;
  std::string bundle_digest;
  std::vector<Member> members;
  std::uint64_t members_version = 0;

  /// Returns the member called `vm`, or null.
  const Member* FindMember(const std::string& vm) const;
};

using ViewPtr = std::shared_ptr<const View>;

}  // namespace wagtailpick::entry
