#include "bundle/signed_bundle.h"

#include <sodium.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/cbor_check.h"
#include "base/random_id.h"
#include "bundle/hex.h"

namespace wagtailpick::bundle {
namespace {

using base::ErrorCode;
using base::Fail;
using nlohmann::json;

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

json ToBinary(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string FromBinary(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace

std::string SignedBundle::Digest() const { return base::DigestHex(payload); }

base::Result<SignedBundle> Sign(const std::string& payload, const SigningKey& key) {
  const auto secret = DecodeHex(key.secret_key, crypto_sign_SECRETKEYBYTES);
  if (!secret) return Fail(ErrorCode::kInvalidArgument, "the secret key is damaged");
  SignedBundle bundle{payload, key.public_key, std::string(crypto_sign_BYTES, '\0')};
  crypto_sign_detached(reinterpret_cast<unsigned char*>(bundle.signature.data()), nullptr,
                       Bytes(payload), payload.size(), Bytes(*secret));
  return bundle;
}

base::Result<void> Verify(const SignedBundle& bundle,
                          const std::vector<std::string>& trusted_keys) {
  const bool is_trusted =
      std::find(trusted_keys.begin(), trusted_keys.end(), bundle.public_key) != trusted_keys.end();
  if (!is_trusted) {
    return Fail(ErrorCode::kInvalidArgument, "signature: the signer's key is not trusted here");
  }
  const auto public_key = DecodeHex(bundle.public_key, crypto_sign_PUBLICKEYBYTES);
  const bool is_valid = public_key && bundle.signature.size() == crypto_sign_BYTES &&
                        crypto_sign_verify_detached(Bytes(bundle.signature), Bytes(bundle.payload),
                                                    bundle.payload.size(), Bytes(*public_key)) == 0;
  if (!is_valid) {
    return Fail(ErrorCode::kInvalidArgument, "signature: doesn't match the bundle's bytes");
  }
  return base::Ok();
}

std::string Encode(const SignedBundle& bundle) {
  const json value{{"payload", ToBinary(bundle.payload)},
                   {"public_key", bundle.public_key},
                   {"signature", ToBinary(bundle.signature)}};
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

base::Result<SignedBundle> DecodeSignedBundle(const std::string& bytes) {
  const json value =
      base::CheckCbor(bytes) ? json::from_cbor(bytes, true, false) : json(json::value_t::discarded);
  const bool is_whole = value.is_object() && value.size() == 3 && value.contains("payload") &&
                        value.contains("public_key") && value.contains("signature") &&
                        value["payload"].is_binary() && value["public_key"].is_string() &&
                        value["signature"].is_binary();
  if (!is_whole) return Fail(ErrorCode::kInvalidArgument, "not a signed bundle");
  return SignedBundle{FromBinary(value["payload"]), value["public_key"].get<std::string>(),
                      FromBinary(value["signature"])};
}

}  // namespace wagtailpick::bundle
