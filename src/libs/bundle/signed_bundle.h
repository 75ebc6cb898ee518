#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "bundle/signing_key.h"

namespace wagtailpick::bundle {

/// A bundle's exact text with an operator's signature. The signed bytes are stored and sent as they
/// are, never rebuilt from the parsed form.
struct SignedBundle {
  std::string payload;
  /// Hexadecimal public key of the signer.
  std::string public_key;
  /// 64 raw bytes.
  std::string signature;

  /// Digest that tells two bundles of the same version apart (BLAKE2b-256, hexadecimal).
  std::string Digest() const;
};

/// Signs `payload` as it is.
base::Result<SignedBundle> Sign(const std::string& payload, const SigningKey& key);

/// Checks the signature and that the signer is one of `trusted_keys` (hexadecimal public keys).
/// Fails with `kInvalidArgument`.
base::Result<void> Verify(const SignedBundle& bundle, const std::vector<std::string>& trusted_keys);

/// Encodes for files and messages (CBOR).
std::string Encode(const SignedBundle& bundle);

/// Decodes what `Encode` made; fails with `kInvalidArgument` on anything else.
base::Result<SignedBundle> DecodeSignedBundle(const std::string& bytes);

}  // namespace wagtailpick::bundle
