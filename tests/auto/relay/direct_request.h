#pragma once

#include <future>
#include <string>

#include "base/monotonic_time.h"
#include "net/inbound_request.h"

namespace wagtailpick::relay_test {

/// A request without a connection of a client.
class DirectRequest : public net::InboundRequest {
 public:
  explicit DirectRequest(const std::string& id) {
    request = {"GET", "/x", {{"Host", "h"}, {"Id", id}}, {}, "127.0.0.1"};
    received_at = base::MonotonicNow();
  }
  std::future<int> status() { return status_.get_future(); }
  void Answer(http::Response response) override { status_.set_value(response.status); }
  void Abort() override { status_.set_value(0); }

 private:
  std::promise<int> status_;
};

}  // namespace wagtailpick::relay_test
