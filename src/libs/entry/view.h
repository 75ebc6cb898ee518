#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "entry/member.h"
#include "entry/place_directory.h"

namespace wagtailpick::entry {

/// What an entry last learned from control. Immutable, so that threads share it without locks.
struct View {
  bundle::Bundle bundle;
  std::string bundle_digest;
  /// Null until the first bundle.
  PlaceDirectoryPtr directory;
  std::vector<Member> members;
  /// Longest deadline of each service over the last bundle versions, in milliseconds.
  std::map<std::string, std::int64_t> longest_deadlines;
  std::uint64_t version = 0;

  /// Returns the member called `vm`, or null.
  const Member* FindMember(const std::string& vm) const;
};

using ViewPtr = std::shared_ptr<const View>;

}  // namespace wagtailpick::entry
