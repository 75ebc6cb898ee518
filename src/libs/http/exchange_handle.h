#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>

#include "http/client.h"

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
  bool HasConflictingLengths() const;

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
  /// Whether the blank line that ends the headers was received.
  bool headers_complete_ = false;
  /// Number of times that libcurl started to send the request.
  int send_count_ = 0;
  bool limit_exceeded_ = false;
};

}  // namespace wagtailpick::http
