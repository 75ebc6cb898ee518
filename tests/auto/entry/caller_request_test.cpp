#include "entry/caller_request.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

using wagtailpick::base::ErrorCode;
using wagtailpick::entry::CheckCallerRequest;
using wagtailpick::entry::View;
using wagtailpick::http::Headers;

constexpr std::int64_t kNow = 1'000'000;

View SampleView() {
  View view;
  wagtailpick::bundle::Service service;
  service.name = "payment";
  service.request_deadline_ms = 2'000;
  service.idempotent_methods = {"GET"};
  view.bundle.services = {service};
  return view;
}

struct Row {
  const char* method;
  const char* target;
  Headers headers;
  /// Empty if the request is accepted.
  std::vector<ErrorCode> error;
  /// Expected values if the request is accepted.
  const char* upstream_target;
  std::int64_t deadline;
};

const std::vector<Row> rows = {
    {"GET", "/s/payment/a?b=c", {}, {}, "/a?b=c", kNow + 2'000},
    {"GET", "/s/payment", {}, {}, "/", kNow + 2'000},
    {"GET", "/s/payment?x", {}, {}, "/?x", kNow + 2'000},
    {"GET", "/s/payment/", {{"X-Request-Deadline-Ms", "300"}}, {}, "/", kNow + 300},
    {"GET", "/s/payment/", {{"X-Request-Deadline-Ms", "9000"}}, {}, "/", kNow + 2'000},
    {"POST", "/s/payment/", {{"Idempotency-Key", "k"}}, {}, "/", kNow + 2'000},
    {"GET", "/s/other/", {}, {ErrorCode::kNotFound}, "", 0},
    {"GET", "/s/", {}, {ErrorCode::kNotFound}, "", 0},
    {"POST", "/s/payment/", {}, {ErrorCode::kInvalidArgument}, "", 0},
    {"PUT", "/s/payment/", {}, {ErrorCode::kInvalidArgument}, "", 0},
    {"POST", "/s/payment/", {{"Idempotency-Key", ""}}, {ErrorCode::kInvalidArgument}, "", 0},
    {"POST", "/s/payment/", {{"Idempotency-Key", "a b"}}, {ErrorCode::kInvalidArgument}, "", 0},
    {"POST",
     "/s/payment/",
     {{"Idempotency-Key", std::string(129, 'k')}},
     {ErrorCode::kInvalidArgument},
     "",
     0},
    {"GET", "/s/payment/", {{"X-Request-Deadline-Ms", "0"}}, {ErrorCode::kInvalidArgument}, "", 0},
    {"GET", "/s/payment/", {{"X-Request-Deadline-Ms", "5s"}}, {ErrorCode::kInvalidArgument}, "", 0},
};

}  // namespace

// Guards against a request that is not idempotent and has no key, which could run twice, and
// against a deadline later than the service's own.
Test(caller_request, is_validated) {
  const View view = SampleView();
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto& row = rows[i];
    const auto checked =
        CheckCallerRequest({row.method, row.target, row.headers, "", "127.0.0.1"}, view, kNow);
    cr_assert_eq(checked.has_value(), row.error.empty(), "row %zu", i);
    if (!checked) {
      cr_expect(checked.error().code == row.error.front(), "row %zu", i);
      continue;
    }
    cr_expect_eq(checked.value().forward.target(), std::string(row.upstream_target), "row %zu", i);
    cr_expect_eq(checked.value().forward.deadline_unix_ms(), row.deadline, "row %zu", i);
  }
}

// Guards against a caller that sets the header fields that upstreams trust, such as the request ID.
Test(caller_request, hop_by_hop_and_reserved_fields_are_not_forwarded) {
  const Headers headers = {{"X-Request-Id", "forged"},
                           {"x-request-deadline-unix-ms", "1"},
                           {"X-Request-Start-By-Unix-Ms", "1"},
                           {"Connection", "close"},
                           {"Accept", "text/plain"}};
  const auto checked =
      CheckCallerRequest({"GET", "/s/payment/", headers, "", "127.0.0.1"}, SampleView(), kNow);
  cr_assert(checked.has_value());
  cr_assert_eq(checked.value().forward.headers_size(), 1);
  cr_expect_eq(checked.value().forward.headers(0).name(), std::string("Accept"));
}
