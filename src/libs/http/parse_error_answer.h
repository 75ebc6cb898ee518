#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailpick::http {

/// Returns the bytes of the 4xx answer to a request that the server library's parser refused with
/// the log text `error`; nothing when the text is about something else.
std::optional<std::string> ParseErrorAnswer(const std::string& error);

/// Returns the JSON body of an answer to bad input; `message` needs no escapes.
std::string BadInputBody(std::string_view message);

}  // namespace wagtailpick::http
