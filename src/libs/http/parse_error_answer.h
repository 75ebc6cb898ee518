#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailpick::http {

/// Returns the bytes of the 4xx answer to a request that RESTinio's parser rejected with the log
/// text `error`, or nothing if the text does not describe a parser error.
std::optional<std::string> ParseErrorAnswer(const std::string& error);

/// Returns the JSON body of an answer to a bad request. `message` must not need JSON escaping.
std::string BadInputBody(std::string_view message);

}  // namespace wagtailpick::http
