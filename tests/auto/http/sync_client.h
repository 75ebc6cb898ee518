#pragma once

#include <future>
#include <memory>
#include <string>
#include <utility>

#include "http/client.h"

/// HTTP client that sends one request at a time and waits for the result.
class SyncClient {
 public:
  explicit SyncClient(const wagtailpick::http::ClientOptions& options = {})
      : client_(std::move(wagtailpick::http::Client::Start(options).value())) {}

  wagtailpick::http::Exchange Send(const std::string& url, const std::string& body = "charge",
                                   wagtailpick::base::Duration timeout = std::chrono::seconds(5)) {
    std::promise<wagtailpick::http::Exchange> done;
    wagtailpick::http::ClientRequest request{"POST", url, {}, body, timeout};
    client_->Send(std::move(request), [&](wagtailpick::http::Exchange exchange) {
      done.set_value(std::move(exchange));
    });
    return done.get_future().get();
  }

 private:
  std::unique_ptr<wagtailpick::http::Client> client_;
};
