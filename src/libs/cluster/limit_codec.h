#pragma once

#include <nlohmann/json_fwd.hpp>

#include "limits/token_issuer.h"

namespace wagtailpick::cluster {

/// Encode a value as an array of fields, in a fixed order.
nlohmann::json ToFields(const limits::LimitReport& report);
nlohmann::json ToFields(const limits::TokenRequest& request);
nlohmann::json ToFields(const limits::TokenAnswer& answer);
nlohmann::json ToFields(const limits::IssuedTokens& issued);

/// Decode such an array. Throw `nlohmann::json::exception` when fields are missing, have another
/// type or are out of range.
limits::LimitReport LimitReportFromFields(const nlohmann::json& fields);
limits::TokenRequest TokenRequestFromFields(const nlohmann::json& fields);
limits::TokenAnswer TokenAnswerFromFields(const nlohmann::json& fields);
limits::IssuedTokens IssuedTokensFromFields(const nlohmann::json& fields);

}  // namespace wagtailpick::cluster
