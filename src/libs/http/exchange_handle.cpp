#include "http/exchange_handle.h"

#include <algorithm>
#include <string>
#include <utility>

#include "http/framing.h"

namespace wagtailpick::http {
namespace {

long ToMillis(base::Duration duration) {
  return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

std::unique_ptr<ExchangeHandle> ExchangeHandle::Create(const ClientOptions& options,
                                                       ClientRequest request,
                                                       std::function<void(Exchange)> done) {
  std::unique_ptr<ExchangeHandle> handle(
      new ExchangeHandle(options, std::move(request), std::move(done)));
  if (handle->curl_ == nullptr) return nullptr;
  handle->Prepare();
  return handle;
}

ExchangeHandle::ExchangeHandle(const ClientOptions& options, ClientRequest request,
                               std::function<void(Exchange)> done)
    : options_(options),
      request_(std::move(request)),
      done_(std::move(done)),
      curl_(curl_easy_init()),
      started_(base::MonotonicNow()) {}

ExchangeHandle::~ExchangeHandle() {
  curl_slist_free_all(header_list_);
  curl_easy_cleanup(curl_);
}

void ExchangeHandle::Prepare() {
  curl_easy_setopt(curl_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(curl_, CURLOPT_URL, request_.url.c_str());
  curl_easy_setopt(curl_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl_, CURLOPT_PROXY, "");
  curl_easy_setopt(curl_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(curl_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(curl_, CURLOPT_CONNECTTIMEOUT_MS, ToMillis(options_.connect_timeout));
  curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS, std::max(1L, ToMillis(request_.timeout)));
  curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(curl_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(curl_, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(curl_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(curl_, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(curl_, CURLOPT_PREREQDATA, this);
  for (const auto& header : request_.headers) {
    // libcurl sends a field without a value if its name is followed by a semicolon.
    const std::string line =
        header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }
  header_list_ = curl_slist_append(header_list_, "Expect:");
  curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, header_list_);
  PrepareMethod();
}

void ExchangeHandle::PrepareMethod() {
  if (request_.method == "HEAD") {
    curl_easy_setopt(curl_, CURLOPT_NOBODY, 1L);
    return;
  }
  if (!request_.body.empty() || request_.method == "POST") {
    curl_easy_setopt(curl_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(curl_, CURLOPT_POSTFIELDS, request_.body.data());
  }
  curl_easy_setopt(curl_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void ExchangeHandle::Finish(CURLcode code) {
  long status = 0;
  curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &status);
  exchange_.answer_status = static_cast<int>(status);
  exchange_.status = Classify(code);
  const bool is_complete = exchange_.status == ExchangeStatus::kComplete;
  exchange_.error = is_complete || code == CURLE_OK ? "" : curl_easy_strerror(code);
  exchange_.duration = base::MonotonicNow() - started_;
  done_(std::move(exchange_));
}

void ExchangeHandle::Cancel() {
  exchange_.status = send_count_ == 0 ? ExchangeStatus::kNotSent : ExchangeStatus::kCancelled;
  exchange_.error = "cancelled";
  exchange_.duration = base::MonotonicNow() - started_;
  done_(std::move(exchange_));
}

ExchangeStatus ExchangeHandle::Classify(CURLcode code) const {
  if (code == CURLE_OK) {
    // libcurl reports success also when the connection is closed within the headers.
    if (!framing_.head_complete()) return ExchangeStatus::kConnectionLost;
    // libcurl takes an answer that switches to another protocol for the final one.
    const bool is_final = exchange_.answer_status >= kFirstFinalStatus;
    return is_final ? ExchangeStatus::kComplete : ExchangeStatus::kBadAnswer;
  }
  if (send_count_ == 0) return ExchangeStatus::kNotSent;
  if (is_refused_) return ExchangeStatus::kBadAnswer;
  // libcurl goes on to write the request after the whole answer has come.
  if (code == CURLE_SEND_ERROR && HasWholeAnswer()) return ExchangeStatus::kComplete;
  switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
      return ExchangeStatus::kTimedOut;
    case CURLE_ABORTED_BY_CALLBACK:  // Resending the request was prevented.
    case CURLE_COULDNT_CONNECT:      // The connection for resending was refused.
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return ExchangeStatus::kConnectionLost;
    default:
      return ExchangeStatus::kBadAnswer;
  }
}

// The end of chunks isn't known here, as libcurl passes on only what they contain.
bool ExchangeHandle::HasWholeAnswer() const {
  return framing_.complete() && exchange_.answer_status >= kFirstFinalStatus;
}

std::size_t ExchangeHandle::OnBody(char* data, std::size_t size, std::size_t count, void* self) {
  auto* handle = static_cast<ExchangeHandle*>(self);
  const std::size_t bytes = size * count;
  if (handle->exchange_.body.size() + bytes > handle->options_.max_body_bytes) {
    handle->is_refused_ = true;
    return 0;
  }
  handle->exchange_.body.append(data, bytes);
  if (handle->framing_.message_end() == MessageEnd::kLength) handle->framing_.Read({data, bytes});
  return bytes;
}

std::size_t ExchangeHandle::OnHeader(char* data, std::size_t size, std::size_t count, void* self) {
  auto* handle = static_cast<ExchangeHandle*>(self);
  const std::size_t bytes = size * count;
  handle->header_bytes_ += bytes;
  if (handle->header_bytes_ > handle->options_.max_header_bytes) {
    handle->is_refused_ = true;
    return 0;
  }
  if (handle->HandleHeaderLine({data, bytes})) return bytes;
  handle->is_refused_ = true;
  return 0;
}

// libcurl passes on the lines of each head and of the trailers, and reads some of them in another
// way than RFC 9112.
bool ExchangeHandle::HandleHeaderLine(std::string_view line) {
  // Discards the fields of interim (1xx) answers, which precede the final answer.
  if (line.starts_with("HTTP/")) {
    exchange_.headers.clear();
    framing_.Reset(request_.method == "HEAD");
  }
  const bool is_trailer = framing_.head_complete();
  const auto text = line.substr(0, line.find_last_not_of("\r\n") + 1);
  const auto field = ParseFieldLine(text);
  if (is_trailer) return text.empty() || field.has_value();
  if (field && !line.starts_with("HTTP/")) exchange_.headers.push_back(*field);
  framing_.Read(line);
  return framing_.error() == FramingError::kNone;
}

int ExchangeHandle::OnBeforeSend(void* self, char* /*remote_ip*/, char* /*local_ip*/,
                                 int /*remote_port*/, int /*local_port*/) {
  auto* handle = static_cast<ExchangeHandle*>(self);
  ++handle->send_count_;
  return handle->send_count_ == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

}  // namespace wagtailpick::http
