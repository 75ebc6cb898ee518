#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string_view>

#include "http/client.h"
#include "http/framing.h"

namespace wagtailpick::http {

/// Owns the libcurl easy handle of one exchange. Private to the client.
class ExchangeHandle {
 public:
  /// Creates a handle that is ready to run `request`. Returns null when libcurl cannot allocate
  /// one.
  static std::unique_ptr<ExchangeHandle> Create(const ClientOptions& options, ClientRequest request,
                                                std::function<void(Exchange)> done);

  ~ExchangeHandle();
  ExchangeHandle(const ExchangeHandle&) = delete;
  ExchangeHandle& operator=(const ExchangeHandle&) = delete;

  CURL* curl() const { return curl_; }

  /// Calls `done` with the result of the exchange, given libcurl's result code.
  void Finish(CURLcode code);

  /// Calls `done` for an exchange that was cancelled: `kCancelled`, or `kNotSent` if no byte was
  /// sent.
  void Cancel();

 private:
  ExchangeHandle(const ClientOptions& options, ClientRequest request,
                 std::function<void(Exchange)> done);

  void Prepare();
  void PrepareMethod();
  ExchangeStatus Classify(CURLcode code) const;
  /// Whether the answer was complete, by its head or its length, whatever became of the request.
  bool HasWholeAnswer() const;
  /// Handles a line of a head or trailer. Returns false if it makes the answer unreadable.
  bool HandleHeaderLine(std::string_view line);

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* self);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* self);
  static int OnBeforeSend(void* self, char* remote_ip, char* local_ip, int remote_port,
                          int local_port);

  ClientOptions options_;
  ClientRequest request_;
  std::function<void(Exchange)> done_;
  CURL* curl_ = nullptr;
  curl_slist* header_list_ = nullptr;
  base::MonotonicTime started_;
  Exchange exchange_;
  std::size_t header_bytes_ = 0;
  /// Reads the heads, to find answers that libcurl reads in another way than RFC 9112.
  MessageFraming framing_{MessageFraming::Kind::kResponse};
  /// Number of times that libcurl started to send the request.
  int send_count_ = 0;
  /// The answer exceeds a limit or is unreadable.
  bool is_refused_ = false;
};

}  // namespace wagtailpick::http
