#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "bundle/signing_key.h"

namespace wagtailpick::bundle {

/// The exact text of a bundle with an operator's signature. The signed bytes are stored and sent
/// unchanged; encoding the parsed bundle again could give other bytes and invalidate the signature.
struct SignedBundle {
  std::string payload;
  /// Hexadecimal public key of the signer.
  std::string public_key;
  /// Ed25519 signature, 64 raw bytes.
  std::string signature;

  /// Returns the hexadecimal BLAKE2b-256 digest of the payload, by which two bundles of the same
  /// version are distinguished.
  std::string Digest() const;
};

/// Signs the exact bytes of `payload`. Fails with `kInvalidArgument` when the secret key is
/// damaged.
base::Result<SignedBundle> Sign(const std::string& payload, const SigningKey& key);

/// Checks the signature and that the signer is one of `trusted_keys` (hexadecimal public keys).
/// Fails with `kInvalidArgument` otherwise.
base::Result<void> Verify(const SignedBundle& bundle, const std::vector<std::string>& trusted_keys);

/// Encodes a signed bundle as CBOR, for files and messages.
std::string Encode(const SignedBundle& bundle);

/// Decodes the result of `Encode`; fails with `kInvalidArgument` on anything else. Does not verify
/// the signature.
base::Result<SignedBundle> DecodeSignedBundle(const std::string& bytes);

}  // namespace wagtailpick::bundle
