#pragma once

#include <string>

namespace wagtailpick::tool {

// Each command prints its errors on standard error and returns an `ExitCode`: `kExitDone`, or
// `kExitWrongInput` if a file cannot be read or written or its content is invalid.

/// Generates a key pair and writes it to `prefix`.key (secret) and `prefix`.pub. An existing secret
/// key is not overwritten.
int MakeKeys(const std::string& prefix);

/// Validates the bundle, a JSON file at `path`, and prints a summary of it.
int CheckBundle(const std::string& path, bool as_json);

/// Validates the bundle, a JSON file at `path`, signs it with the secret key in `key_path` and
/// writes the signed bundle to `out_path`.
int SignBundle(const std::string& path, const std::string& key_path, const std::string& out_path);

}  // namespace wagtailpick::tool
