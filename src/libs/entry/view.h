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

/// The bundle and the members that control last sent to this entry. Immutable, so that threads
/// share it without locks.
struct View {
  bundle::Bundle bundle;
  std::string bundle_digest;
  /// Null until the first bundle.
  PlaceDirectoryPtr directory;
  std::vector<Member> members;
  /// Longest request deadline of each service in the last bundle versions, in milliseconds.
  std::map<std::string, std::int64_t> longest_deadlines;
  /// Version of control's cluster view that `members` and `longest_deadlines` are from.
  std::uint64_t version = 0;

  /// Returns the member on `vm`, or null if there is none.
  const Member* FindMember(const std::string& vm) const;
};

using ViewPtr = std::shared_ptr<const View>;

}  // namespace wagtailpick::entry
