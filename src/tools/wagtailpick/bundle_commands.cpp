#include "wagtailpick/bundle_commands.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include "bundle/parse_bundle.h"
#include "bundle/signed_bundle.h"
#include "bundle/signing_key.h"
#include "wagtailpick/exit_codes.h"
#include "wagtailpick/text_file.h"

namespace wagtailpick::tool {
namespace {

int ReportError(const base::Error& error) {
  std::cerr << "wagtailpick: " << error.message << "\n";
  return kExitWrongInput;
}

int ReportErrorIn(const std::string& path, const base::Error& error) {
  std::cerr << "wagtailpick: " << path << ": " << error.message << "\n";
  return kExitWrongInput;
}

}  // namespace

int MakeKeys(const std::string& prefix) {
  const auto key = bundle::SigningKey::Generate();
  const auto secret_written = WriteWholeFile(prefix + ".key", key.secret_key + "\n", true);
  if (!secret_written) return ReportError(secret_written.error());
  const auto public_written = WriteWholeFile(prefix + ".pub", key.public_key + "\n", false);
  if (!public_written) return ReportError(public_written.error());
  std::cout << "wrote " << prefix << ".key and " << prefix << ".pub\n";
  return kExitDone;
}

int CheckBundle(const std::string& path, bool as_json) {
  const auto text = ReadWholeFile(path);
  if (!text) return ReportError(text.error());
  const auto bundle = bundle::ParseBundle(text.value());
  if (!bundle) return ReportErrorIn(path, bundle.error());
  const auto& value = bundle.value();
  if (as_json) {
    std::cout << nlohmann::json{{"deployment", value.deployment}, {"version", value.version}}
              << "\n";
    return kExitDone;
  }
  std::cout << path << ": deployment " << value.deployment << ", version " << value.version << ", "
            << value.regions.size() << " regions, " << value.services.size() << " services\n";
  return kExitDone;
}

int SignBundle(const std::string& path, const std::string& key_path, const std::string& out_path) {
  const auto text = ReadWholeFile(path);
  if (!text) return ReportError(text.error());
  const auto bundle = bundle::ParseBundle(text.value());
  if (!bundle) return ReportErrorIn(path, bundle.error());
  const auto secret = ReadWholeFile(key_path);
  if (!secret) return ReportError(secret.error());
  const auto key = bundle::SigningKey::FromSecret(TrimWhitespace(secret.value()));
  if (!key) return ReportErrorIn(key_path, key.error());
  const auto signed_bundle = bundle::Sign(text.value(), key.value());
  if (!signed_bundle) return ReportError(signed_bundle.error());
  const auto written = WriteWholeFile(out_path, Encode(signed_bundle.value()), false);
  if (!written) return ReportError(written.error());
  std::cout << "wrote " << out_path << ": version " << bundle.value().version << ", digest "
            << signed_bundle.value().Digest() << "\n";
  return kExitDone;
}

}  // namespace wagtailpick::tool
