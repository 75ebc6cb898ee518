#include "platform/control_api.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "control_group.h"
#include "platform/standin_wire.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using platform_test::ControlGroup;

constexpr std::size_t kMaxErrorBytes = 600;

http::Request Post(const std::string& target, const std::string& body) {
  return {"POST", target, {{"Host", "control"}}, body, ""};
}

}  // namespace

// Guards against text from outside that an answer quotes: a byte that is not UTF-8 made the JSON
// serializer throw, which ended the process, and a long text came back whole.
Test(control_api, refuses_unreadable_bytes_with_a_short_error) {
  const ControlGroup group;
  const std::string heartbeat = "/-/instances/i-1/heartbeat";
  const std::string long_text(100'000, 'x');
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  const std::vector<http::Request> requests{
      Post(heartbeat, "\xff"),
      Post(heartbeat, "{\"addr\":\"\xc3\x28\"}"),
      Post(heartbeat, "{\"addr\":\"" + long_text),
      Post(heartbeat, deep),
      Post(heartbeat,
           R"({"addr":"10.0.0.1:80","info":{"service":"s","zone":"z","slots":)" + deep + "}}"),
      Post("/-/instances/i-\xff/heartbeat", platform::Heartbeat({}).body),
      Post("/-/config/put", "{\"version\":\"\xff\"}"),
      Post("/-/evacuate/dc-\xff/start", ""),
      Post("/-/evacuate/" + std::string(5'000, 'z') + "/start", ""),
  };
  for (const auto& request : requests) {
    const auto answer = group.Call(0, request);
    cr_assert(answer, "%s", request.target.substr(0, 64).c_str());
    cr_expect(answer->status == 400);
    cr_expect(answer->body.size() < kMaxErrorBytes);
    cr_expect(nlohmann::json::accept(answer->body));
  }
}
