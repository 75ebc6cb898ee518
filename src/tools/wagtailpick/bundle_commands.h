#pragma once

#include <string>

namespace wagtailpick::tool {

/// Writes a new key pair to PREFIX.key and PREFIX.pub. Returns the exit code.
int MakeKeys(const std::string& prefix);

/// Checks a bundle's JSON file and prints what it holds.
int CheckBundle(const std::string& path, bool as_json);

/// Checks and signs a bundle's JSON file.
int SignBundle(const std::string& path, const std::string& key_path, const std::string& out_path);

}  // namespace wagtailpick::tool
