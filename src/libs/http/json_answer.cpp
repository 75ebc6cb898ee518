#include "http/json_answer.h"

#include <nlohmann/json.hpp>

#include "base/printable_text.h"

namespace wagtailpick::http {
Response JsonAnswer(int status, const nlohmann::json& body) {
  constexpr int kNoIndent = -1;
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(kNoIndent, ' ', false, nlohmann::json::error_handler_t::replace)};
}

Response JsonErrorAnswer(int status, const std::string& message) {
  return JsonAnswer(status, {{"error", base::ToPrintable(message, kMaxErrorBytes)}});
}

}  // namespace wagtailpick::http
