#include "bundle/signing_key.h"

#include <sodium.h>

#include <array>

#include "bundle/hex.h"

namespace wagtailpick::bundle {

SigningKey SigningKey::Generate() {
  std::string public_key(crypto_sign_PUBLICKEYBYTES, '\0');
  std::string secret_key(crypto_sign_SECRETKEYBYTES, '\0');
  crypto_sign_keypair(reinterpret_cast<unsigned char*>(public_key.data()),
                      reinterpret_cast<unsigned char*>(secret_key.data()));
  return {EncodeHex(public_key), EncodeHex(secret_key)};
}

base::Result<SigningKey> SigningKey::FromSecret(const std::string& secret_hex) {
  const auto secret = DecodeHex(secret_hex, crypto_sign_SECRETKEYBYTES);
  if (!secret) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "a secret key is 128 hexadecimal digits");
  }
  std::string public_key(crypto_sign_PUBLICKEYBYTES, '\0');
  crypto_sign_ed25519_sk_to_pk(reinterpret_cast<unsigned char*>(public_key.data()),
                               reinterpret_cast<const unsigned char*>(secret->data()));
  return SigningKey{EncodeHex(public_key), secret_hex};
}

}  // namespace wagtailpick::bundle
