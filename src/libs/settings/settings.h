#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "settings/key_rule.h"

namespace wagtailpick::settings {

/// The validated content of an INI file. Every key of the schema has a value: the one in the file
/// or the default. The accessors throw `std::out_of_range` for a key that is not in the schema.
class Settings {
 public:
  /// Reads the file at `path` and checks it against `schema`. Fails with `kIo` if the file cannot
  /// be read, and with `kInvalidArgument` for a malformed or too long line, an unknown section, or
  /// an unknown, duplicate, missing or invalid key. The one-line message names the file and the
  /// first error: a line number, or the section and key, for an invalid value with the accepted
  /// ones.
  static base::Result<Settings> Load(const std::string& path, const std::vector<KeyRule>& schema);

  /// Path that was passed to `Load`, for messages.
  const std::string& path() const { return path_; }

  /// Value of a key of kind `kDecimal`; 0 for an optional key that is not set and has no default.
  double Decimal(const std::string& section, const std::string& key) const;

  /// Value of a key of any kind; empty for an optional key that is not set and has no default.
  const std::string& Text(const std::string& section, const std::string& key) const;

  /// Value of a key of kind `kNumber`; 0 for an optional key that is not set and has no default.
  std::int64_t Number(const std::string& section, const std::string& key) const;

  /// Value of a key of kind `kEndpoint`. Fails with `kInvalidArgument` for an optional key that is
  /// not set and has no default.
  base::Result<base::Endpoint> EndpointAt(const std::string& section, const std::string& key) const;

  /// Elements of a comma-separated value without surrounding blanks; empty elements are left out.
  std::vector<std::string> List(const std::string& section, const std::string& key) const;

  /// Returns a `kInvalidArgument` error with the file, `section`, `key` and `problem` in its
  /// message, for a value that the schema accepts and the caller rejects.
  base::Error ErrorAt(const std::string& section, const std::string& key,
                      const std::string& problem) const;

 private:
  std::string path_;
  std::map<std::string, std::string> values_;
};

}  // namespace wagtailpick::settings
