#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "http/message.h"

namespace wagtailpick::http {

/// Longest error text of an answer, in bytes.
inline constexpr std::size_t kMaxErrorBytes = 512;

/// Returns an answer with `body` as JSON. Text in `body` may come from outside: bytes that are not
/// valid UTF-8 are replaced by U+FFFD, as the serializer throws on them otherwise.
Response JsonAnswer(int status, const nlohmann::json& body);

/// Returns a JSON answer whose field `error` holds `message`, cut to `kMaxErrorBytes` and escaped
/// where it is not printable.
Response JsonErrorAnswer(int status, const std::string& message);

}  // namespace wagtailpick::http
