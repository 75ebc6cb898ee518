#include "entry/caller_request.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "base/random_id.h"

namespace wagtailpick::entry {
namespace {

using base::ErrorCode;
using base::Fail;

constexpr std::string_view kPrefix = "/s/";
constexpr std::size_t kMaxKeyLength = 128;

bool IsValidKey(const std::string& key) {
  const auto is_visible = [](char letter) { return letter > 0x20 && letter < 0x7f; };
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(), is_visible);
}

/// Returns false for header fields that apply to this hop only or that this entry sets itself.
bool IsForwarded(const std::string& name) {
  return !http::IsHopByHop(name) && !http::SameName(name, "Host") &&
         !http::SameName(name, "Content-Length") && !http::SameName(name, "Expect") &&
         !http::SameName(name, "X-Request-Id") && !http::SameName(name, "X-Request-Deadline-Ms") &&
         !http::SameName(name, "X-Request-Deadline-Unix-Ms") &&
         !http::SameName(name, "X-Request-Start-By-Unix-Ms");
}

base::Result<std::int64_t> DeadlineMillis(const http::Request& request,
                                          const bundle::Service& service) {
  const std::string* text = http::FindHeader(request.headers, "X-Request-Deadline-Ms");
  if (text == nullptr) return service.request_deadline_ms;
  std::int64_t millis = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, millis);
  if (parsed.ec != std::errc() || parsed.ptr != end || millis < 1) {
    return Fail(ErrorCode::kInvalidArgument,
                "X-Request-Deadline-Ms: expected a whole number of milliseconds above 0");
  }
  return std::min(millis, service.request_deadline_ms);
}

base::Result<void> ReadIdempotencyKey(const http::Request& request, CallerRequest& checked) {
  const std::string* key = http::FindHeader(request.headers, "Idempotency-Key");
  if (key == nullptr) {
    return Fail(ErrorCode::kInvalidArgument,
                "this method may not run twice, so it needs an Idempotency-Key header");
  }
  if (!IsValidKey(*key)) {
    return Fail(ErrorCode::kInvalidArgument,
                "Idempotency-Key: expected 1 to 128 visible ASCII characters");
  }
  checked.idempotency_key = *key;
  return base::Ok();
}

}  // namespace

base::Result<CallerRequest> CheckCallerRequest(const http::Request& request, const View& view,
                                               std::int64_t wall_millis) {
  const std::string rest = request.target.substr(std::min(kPrefix.size(), request.target.size()));
  const auto end = std::min(rest.find_first_of("/?"), rest.size());
  const std::string name = rest.substr(0, end);
  const bundle::Service* service = view.bundle.FindService(name);
  if (service == nullptr) {
    return Fail(ErrorCode::kNotFound, "no service is called '" + name + "'");
  }
  CallerRequest checked;
  checked.is_idempotent = service->IsIdempotent(request.method);
  if (!checked.is_idempotent) {
    BOOST_OUTCOME_TRY(ReadIdempotencyKey(request, checked));
  }
  BOOST_OUTCOME_TRY(deadline, DeadlineMillis(request, *service));
  checked.caller_address = request.peer;
  const std::string* authorization = http::FindHeader(request.headers, "Authorization");
  if (authorization != nullptr) checked.authorization = *authorization;
  auto& forward = checked.forward;
  forward.set_request_id(base::RandomId());
  forward.set_service(name);
  forward.set_method(request.method);
  const std::string path = rest.substr(end);
  forward.set_target(path.starts_with('/') ? path : "/" + path);
  forward.set_body(request.body);
  forward.set_deadline_unix_ms(wall_millis + deadline);
  for (const auto& header : request.headers) {
    if (!IsForwarded(header.name)) continue;
    auto* out = forward.add_headers();
    out->set_name(header.name);
    out->set_value(header.value);
  }
  return checked;
}

}  // namespace wagtailpick::entry
