// A request whose body holds the bytes of another request. With TROUBLE=0 the outer request is a
// POST, else a CONNECT; both declare the length of their body.

#include <iostream>
#include <string>

#include "parts.h"

namespace review {
namespace {

constexpr int kConnections = 5;
constexpr int kReadMillis = 2'000;

struct Outcome {
  int answers = 0;
  /// Successes beyond the first answer: no request of the client waits for them.
  int unexpected = 0;
};

Outcome SendOuter(Deployment& deployment, Record& record, const std::string& outer_id,
                  const std::string& inner_id) {
  const std::string inner =
      RequestHead("POST", "/pay/charge", inner_id, 2'000) + "Content-Length: 9\r\n\r\namount=25";
  const std::string outer =
      (WithTrouble() ? RequestHead("CONNECT", "shop.example:443", outer_id, 2'000)
                     : RequestHead("POST", "/pay/note", outer_id, 2'000)) +
      "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
  Outcome outcome;
  auto connection = Connection::Open(deployment.EntryIp(0), deployment.callers_port());
  if (!connection || !connection->Send(outer)) return outcome;
  record.Write("a client sends one request, " + outer.substr(0, outer.find('\r')) + ", id " +
               outer_id + ", with a body of " + std::to_string(inner.size()) + " bytes");
  while (const auto answer = connection->Read(kReadMillis)) {
    ++outcome.answers;
    if (outcome.answers > 1 && answer->status() / 100 == 2) ++outcome.unexpected;
    record.Write("the client gets " + answer->first_line + ", Request-Id '" +
                 answer->Header("request-id") + "', body '" + answer->body + "'");
  }
  return outcome;
}

CaseEnd RunCase(const std::string& program, Record& record) {
  Deployment deployment(program, record, 3, 1);
  const auto config = ConfigOf(1, {{"menu", "/menu/", "safe", {{"kitchen", 1}}},
                                   {"pay", "/pay/", "unsafe", {{"kitchen", 1}}}});
  if (!StartAll(deployment, record, 3, 1, config)) return CaseEnd::kNotRun;
  ServerPart server(deployment, record, "i-1", "kitchen", 0, {0, 1, 2});
  if (!server.listens() || !AwaitService(deployment, record, 0, "/menu/today")) {
    return CaseEnd::kNotRun;
  }
  int smuggled = 0;
  int unexpected = 0;
  for (int i = 0; i < kConnections; ++i) {
    const auto inner_id = "inner-" + std::to_string(i);
    const auto outcome = SendOuter(deployment, record, "outer-" + std::to_string(i), inner_id);
    if (outcome.answers == 0) return CaseEnd::kNotRun;
    smuggled += server.RunsOf(inner_id);
    unexpected += outcome.unexpected;
  }
  record.Write("requests that ran and that stood inside another request: " +
               std::to_string(smuggled) + " (UNASKED allows none)");
  record.Write("successes on a connection with no request waiting: " + std::to_string(unexpected) +
               " (MIXED allows none)");
  return smuggled > 0 || unexpected > 0 ? CaseEnd::kBroken : CaseEnd::kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " DAEMON RECORD\n";
    return static_cast<int>(review::CaseEnd::kNotRun);
  }
  review::Record record(argv[2]);
  return static_cast<int>(review::RunCase(argv[1], record));
}
