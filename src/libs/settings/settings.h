#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "settings/key_rule.h"

namespace wagtailpick::settings {

/// The checked content of one INI file. Every key of the schema has a value: its own or the
/// default.
class Settings {
 public:
  /// Reads `path` and checks it against `schema`. Fails with one line that names file, section, key
  /// and accepted range on the first unknown, duplicate, missing or out-of-range value.
  static base::Result<Settings> Load(const std::string& path, const std::vector<KeyRule>& schema);

  /// Path of the file, for messages.
  const std::string& path() const { return path_; }

  /// Value of a key of kind `kDecimal`, which needs a default or to be required.
  double Decimal(const std::string& section, const std::string& key) const;

  /// Value of a key of the schema; the empty string for an optional one that is not set.
  const std::string& Text(const std::string& section, const std::string& key) const;

  /// Value of a key of kind `kNumber`.
  std::int64_t Number(const std::string& section, const std::string& key) const;

  /// Value of a key of kind `kEndpoint`; fails when an optional one is not set.
  base::Result<base::Endpoint> EndpointAt(const std::string& section, const std::string& key) const;

  /// Comma-separated parts of a value, without surrounding blanks and empty parts.
  std::vector<std::string> List(const std::string& section, const std::string& key) const;

  /// Builds the error for a value that only the reader of the settings can judge.
  base::Error ErrorAt(const std::string& section, const std::string& key,
                      const std::string& problem) const;

 private:
  std::string path_;
  std::map<std::string, std::string> values_;
};

}  // namespace wagtailpick::settings
