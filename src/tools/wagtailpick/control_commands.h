#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::tool {

// Each command tries the control replicas at the addresses `control` in turn and returns an
// `ExitCode`; errors are printed on standard error.

/// Submits the signed bundle in the file `path` and prints the outcome. Returns `kExitWrongInput`
/// if the file cannot be read and `kExitRefused` if the bundle is refused or no leader answers.
int SubmitBundle(const std::string& path, const std::vector<std::string>& control, bool as_json);

/// Prints the leader, the current bundle and, for each entry, its bundle version, lease and drain
/// state. Returns `kExitRefused` if no leader answers.
int ShowStatus(const std::vector<std::string>& control, bool as_json);

/// Waits until `version` or a later one is in force on all entries that hold a lease, and at least
/// one does. Returns `kExitRefused` if that does not happen within `timeout_s` seconds.
int WaitForVersion(std::uint64_t version, const std::vector<std::string>& control,
                   std::int64_t timeout_s);

}  // namespace wagtailpick::tool
