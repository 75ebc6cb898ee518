#include "entry/upstream_request.h"

#include <criterion/criterion.h>

#include <string>

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

// Guards against requests and answers that are lost between two entries: targets and the values of
// header fields may have bytes that are no UTF-8 (RFC 9110, 5.5), and protobuf parses no message
// that has them in a text.

Test(upstream_request, request_with_latin_1_texts_reaches_another_entry) {
  rpc::ForwardRequest request;
  request.set_target("/caf\xe9");
  auto* header = request.add_headers();
  header->set_name("X-Name");
  header->set_value("caf\xe9");
  rpc::ForwardRequest received;
  cr_assert(received.ParseFromString(request.SerializeAsString()));
  const auto sent = entry::ToUpstreamRequest(received, "127.0.0.1:1", {});
  cr_expect(sent.url == "http://127.0.0.1:1/caf\xe9");
  cr_expect(sent.headers.front().value == "caf\xe9");
}

Test(upstream_request, answer_with_a_latin_1_value_reaches_another_entry) {
  http::Exchange exchange;
  exchange.answer_status = 200;
  exchange.headers = {{"X-Name", "caf\xe9"}};
  rpc::ForwardReply reply;
  entry::FillAnswer(exchange, reply);
  rpc::ForwardReply received;
  cr_assert(received.ParseFromString(reply.SerializeAsString()));
  cr_assert(received.headers_size() == 1);
  cr_expect(received.headers(0).value() == "caf\xe9");
}
