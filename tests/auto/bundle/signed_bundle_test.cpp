#include "bundle/signed_bundle.h"

#include <criterion/criterion.h>

#include <string>

#include "hostile_cbor.h"
#include "sample_bundle.h"

using wagtailpick::base::ErrorCode;
using wagtailpick::bundle::DecodeSignedBundle;
using wagtailpick::bundle::Encode;
using wagtailpick::bundle::Sign;
using wagtailpick::bundle::SignedBundle;
using wagtailpick::bundle::SigningKey;
using wagtailpick::bundle::Verify;

namespace {

void ExpectMismatch(const SignedBundle& bundle, const std::string& trusted, const char* what) {
  const auto verified = Verify(bundle, {trusted});
  cr_expect(!verified, "%s was accepted", what);
  if (verified) return;
  cr_expect(verified.error().message == "signature: doesn't match the bundle's bytes", "%s: %s",
            what, verified.error().message.c_str());
}

}  // namespace

// Guards against a bundle that cannot be verified after encoding and decoding.
Test(signed_bundle, survives_encoding_with_its_exact_bytes) {
  const auto key = SigningKey::Generate();
  const auto restored_key = SigningKey::FromSecret(key.secret_key);
  cr_assert(restored_key.has_value());
  cr_expect(restored_key.value().public_key == key.public_key);
  // Bytes that a JSON round trip would change.
  const std::string payload = " {\"b\": 1.0,\n\t\"a\": \"\\u00e9\"}\n" + std::string(1, '\0');
  const auto signed_bundle = Sign(payload, restored_key.value());
  cr_assert(signed_bundle.has_value());
  const auto decoded = DecodeSignedBundle(Encode(signed_bundle.value()));
  cr_assert(decoded.has_value());
  cr_expect(decoded.value().payload == payload);
  cr_expect(decoded.value().Digest() == signed_bundle.value().Digest());
  cr_expect(Verify(decoded.value(), {std::string(64, '0'), key.public_key}).has_value());
}

// Guards against a modified bundle that is accepted as the operator's.
Test(signed_bundle, any_changed_byte_breaks_the_signature) {
  const auto key = SigningKey::Generate();
  const auto good = Sign(SampleBundle().dump(), key).value();
  for (std::size_t i = 0; i < good.payload.size(); i += 7) {
    SignedBundle bad = good;
    bad.payload[i] = static_cast<char>(bad.payload[i] ^ 1);
    ExpectMismatch(bad, key.public_key, "a changed payload");
    cr_expect(bad.Digest() != good.Digest());
  }
  for (std::size_t i = 0; i < good.signature.size(); ++i) {
    SignedBundle bad = good;
    bad.signature[i] = static_cast<char>(bad.signature[i] ^ 1);
    ExpectMismatch(bad, key.public_key, "a changed signature");
  }
  SignedBundle longer = good;
  longer.payload += ' ';
  ExpectMismatch(longer, key.public_key, "a longer payload");
  SignedBundle shorter = good;
  shorter.signature.pop_back();
  ExpectMismatch(shorter, key.public_key, "a shorter signature");
}

// Guards against a bundle that is signed with an untrusted key.
Test(signed_bundle, an_unknown_key_is_refused) {
  const auto operator_key = SigningKey::Generate();
  const auto other_key = SigningKey::Generate();
  auto bundle = Sign(SampleBundle().dump(), other_key).value();
  const auto verified = Verify(bundle, {operator_key.public_key});
  cr_assert(!verified);
  cr_expect(verified.error().message == "signature: the signer's key is not trusted here");
  cr_expect(!Verify(bundle, {}));
  // The other key's signature together with the operator's public key.
  bundle.public_key = operator_key.public_key;
  ExpectMismatch(bundle, operator_key.public_key, "a foreign signature");
}

// Guards against a file that was truncated while it was written or copied.
Test(signed_bundle, a_truncated_or_longer_file_is_refused) {
  const std::string bytes = Encode(Sign(SampleBundle().dump(), SigningKey::Generate()).value());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const auto decoded = DecodeSignedBundle(bytes.substr(0, size));
    cr_assert(!decoded, "%zu of %zu bytes were accepted", size, bytes.size());
    cr_assert(decoded.error().code == ErrorCode::kInvalidArgument);
    cr_assert(decoded.error().message == "not a signed bundle");
  }
  cr_expect(!DecodeSignedBundle(bytes + '\0'));
  cr_expect(!DecodeSignedBundle(SampleBundle().dump()));
}

// Guards against a damaged key file that signs with another key.
Test(signed_bundle, a_damaged_secret_key_is_refused) {
  const auto key = SigningKey::Generate();
  cr_expect(!SigningKey::FromSecret(key.secret_key.substr(1)));
  cr_expect(!SigningKey::FromSecret(key.secret_key + "0"));
  cr_expect(!SigningKey::FromSecret("g" + key.secret_key.substr(1)));
  cr_expect(!SigningKey::FromSecret(""));
}

// Guards against bytes of another process that overflow the stack of their decoder.
Test(signed_bundle, refuses_deep_nesting) {
  for (const auto& bytes : DeeplyNestedCbor()) {
    cr_expect(!wagtailpick::bundle::DecodeSignedBundle(bytes));
  }
}
