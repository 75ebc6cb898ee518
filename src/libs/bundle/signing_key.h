#pragma once

#include <string>

#include "base/result.h"

namespace wagtailpick::bundle {

/// An Ed25519 key pair of an operator, as hexadecimal text.
struct SigningKey {
  std::string public_key;
  std::string secret_key;

  /// Makes a new random key pair.
  static SigningKey Generate();

  /// Builds the pair from the text of a secret key file; fails with `kInvalidArgument` on anything
  /// but 128 hexadecimal digits.
  static base::Result<SigningKey> FromSecret(const std::string& secret_hex);
};

}  // namespace wagtailpick::bundle
