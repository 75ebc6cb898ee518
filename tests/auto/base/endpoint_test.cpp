#include "base/endpoint.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using wagtailpick::base::Endpoint;
using wagtailpick::base::ErrorCode;
using wagtailpick::base::ParseEndpoint;
using wagtailpick::base::ToString;

namespace {

struct GoodCase {
  std::string text;
  Endpoint endpoint;
};

}  // namespace

// Guards against an address that changes between settings, messages and logs.
Test(endpoint, good_texts_parse_and_render_back) {
  const std::vector<GoodCase> cases = {{"127.0.0.1:1", {"127.0.0.1", 1}},
                                       {"10.1.2.3:65535", {"10.1.2.3", 65'535}},
                                       {"[::1]:8080", {"::1", 8'080}},
                                       {"[2001:db8::7]:443", {"2001:db8::7", 443}}};
  for (const auto& one : cases) {
    const auto parsed = ParseEndpoint(one.text);
    cr_assert(parsed.has_value(), "%s", one.text.c_str());
    cr_expect(parsed.value() == one.endpoint, "%s", one.text.c_str());
    cr_expect(ToString(parsed.value()) == one.text, "%s", one.text.c_str());
  }
}

// Guards against host names (which would need a resolver) and port numbers that wrap around.
Test(endpoint, wrong_texts_are_refused_and_named) {
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
