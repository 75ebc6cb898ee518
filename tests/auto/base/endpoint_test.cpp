#include "base/endpoint.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using wagtailpick::base::Endpoint;
using wagtailpick::base::ErrorCode;
using wagtailpick::base::ParseEndpoint;
using wagtailpick::base::ToString;

namespace {

struct ValidCase {
  std::string text;
  Endpoint endpoint;
};

}  // namespace

// Guards against an address that is formatted differently from the text it was parsed from.
Test(endpoint, valid_texts_round_trip) {
  const std::vector<ValidCase> cases = {{"127.0.0.1:1", {"127.0.0.1", 1}},
                                        {"10.1.2.3:65535", {"10.1.2.3", 65'535}},
                                        {"[::1]:8080", {"::1", 8'080}},
                                        {"[2001:db8::7]:443", {"2001:db8::7", 443}}};
  for (const auto& valid_case : cases) {
    const auto parsed = ParseEndpoint(valid_case.text);
    cr_assert(parsed.has_value(), "%s", valid_case.text.c_str());
    cr_expect(parsed.value() == valid_case.endpoint, "%s", valid_case.text.c_str());
    cr_expect(ToString(parsed.value()) == valid_case.text, "%s", valid_case.text.c_str());
  }
}

// Guards against accepting host names, which would need a resolver, and port numbers that overflow.
Test(endpoint, invalid_texts_are_rejected_and_quoted_in_the_error) {
  const std::vector<std::string> cases = {"",
                                          ":",
                                          "127.0.0.1",
                                          "127.0.0.1:",
                                          "127.0.0.1:0",
                                          "127.0.0.1:65536",
                                          "127.0.0.1:4294967377",
                                          "127.0.0.1:-1",
                                          "127.0.0.1:+80",
                                          "127.0.0.1:80 ",
                                          " 127.0.0.1:80",
                                          "127.0.0.1:0x50",
                                          "127.0.0.256:80",
                                          "127.1:80",
                                          "localhost:80",
                                          "::1:80",
                                          "[::1]",
                                          "[::1]80",
                                          "[]:80",
                                          "[127.0.0.1]:80",
                                          "[::1:80"};
  for (const auto& text : cases) {
    const auto parsed = ParseEndpoint(text);
    cr_assert(!parsed, "'%s' was accepted", text.c_str());
    cr_expect(parsed.error().code == ErrorCode::kInvalidArgument);
    cr_expect(parsed.error().message.starts_with("'" + text + "' is not"), "%s",
              parsed.error().message.c_str());
  }
}
