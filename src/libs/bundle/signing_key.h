#pragma once

#include <string>

#include "base/result.h"

namespace wagtailpick::bundle {

/// An Ed25519 key pair of an operator, as hexadecimal text.
struct SigningKey {
  std::string public_key;
  std::string secret_key;

  /// Generates a random key pair.
  static SigningKey Generate();

  /// Returns the key pair for the content of a secret key file. Fails with `kInvalidArgument`
  /// unless that is exactly 128 hexadecimal digits.
  static base::Result<SigningKey> FromSecret(const std::string& secret_hex);
};

}  // namespace wagtailpick::bundle
