#include "entry/view.h"

#include <algorithm>

namespace wagtailpick::entry {

const Member* View::FindMember(const std::string& vm) const {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const Member& member) { return member.vm == vm; });
  return found == members.end() ? nullptr : &*found;
}

}  // namespace wagtailpick::entry
