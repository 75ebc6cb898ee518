#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::tool {

/// Submits a signed bundle to the first control replica that answers. Returns the exit code.
int SubmitBundle(const std::string& path, const std::vector<std::string>& control, bool as_json);

/// Prints where the bundle stands on every entry.
int ShowStatus(const std::vector<std::string>& control, bool as_json);

/// Waits until every entry has the version in force or has lost its lease.
int WaitForVersion(std::uint64_t version, const std::vector<std::string>& control,
                   std::int64_t timeout_s);

}  // namespace wagtailpick::tool
