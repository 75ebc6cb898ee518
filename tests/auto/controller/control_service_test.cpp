#include "controller/control_service.h"

#include <criterion/criterion.h>

#include <chrono>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "base/monotonic_time.h"
#include "consensus/membership.h"
#include "consensus/message.h"
#include "control/command_codec.h"
#include "control/control_state.h"
#include "control_service_fixture.h"
#include "controller/message_codec.h"
#include "logging/log.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using controller_test::ControlServiceRunner;
using controller_test::ReplicaFolder;
using controller_test::SignedBundleBytes;

std::string AcceptRecord(std::uint64_t version, const std::string& signed_bytes) {
  return control::EncodeCommand(
      control::AcceptBundle{version, "digest " + std::to_string(version), signed_bytes, {}});
}

/// A valid snapshot whose bundle has these signed bytes.
std::string SnapshotWithBundle(const std::string& signed_bytes) {
  control::ControlState state;
  cr_assert(state.Apply(1, control::AcceptBundle{7, "digest 7", signed_bytes, {}}).has_value());
  return state.EncodeSnapshot();
}

consensus::Message MessageFromOther(consensus::MessageKind kind) {
  consensus::Message message;
  message.kind = kind;
  message.from = {controller_test::kOther, 1};
  message.to = {controller_test::kSelf, 1};
  message.term = 2;
  return message;
}

int CountLines(const std::string& path, const std::string& text) {
  std::ifstream file(path);
  int lines = 0;
  for (std::string line; std::getline(file, line);) {
    if (line.find(text) != std::string::npos) ++lines;
  }
  return lines;
}

}  // namespace

// Guards against a committed bundle that can't be read and yet counts as accepted: its version
// would be in force while the limits are still those of another bundle. The failed result was used.
Test(control_service, refuses_a_committed_bundle_that_it_cannot_read) {
  const ReplicaFolder folder({controller_test::kSelf});
  folder.StoreEntries({AcceptRecord(7, SignedBundleBytes()), AcceptRecord(8, "no signed bundle")});
  ControlServiceRunner service(folder, {controller_test::kSelf});
  const auto status = service.WaitForStatus();
  cr_expect(status.bundle_version() == 7, "bundle version %lu", status.bundle_version());
  cr_expect(status.bundle_digest() == "digest 7");
}

// Guards against a replica that starts without the state that its snapshot holds, or without the
// bundle in it, and serves and votes as if it had them.
Test(control_service, does_not_start_from_a_snapshot_that_it_cannot_read) {
  for (const auto& snapshot : {std::string("no state"), SnapshotWithBundle("no signed bundle")}) {
    const ReplicaFolder folder({controller_test::kSelf});
    folder.StoreSnapshot(snapshot);
    const ControlServiceRunner service(folder, {controller_test::kSelf});
    cr_expect(service.error().starts_with("the snapshot can't be read: "), "\"%s\"",
              service.error().c_str());
  }
  const ReplicaFolder folder({controller_test::kSelf});
  folder.StoreSnapshot(SnapshotWithBundle(SignedBundleBytes()));
  ControlServiceRunner service(folder, {controller_test::kSelf});
  cr_expect(service.error().empty(), "%s", service.error().c_str());
  cr_expect(service.WaitForStatus().bundle_version() == 7);
}

// Guards against a replica that can't read the snapshot which its leader sent, goes on with its old
// state and replaces the snapshot by one of that state, and against one that stores the snapshot,
// so that it never starts again.
Test(control_service, stops_at_a_snapshot_of_the_leader_that_it_cannot_read) {
  const std::vector<std::string> members{controller_test::kSelf, controller_test::kOther};
  const ReplicaFolder folder(members);
  ControlServiceRunner service(folder, members);
  rpc::ConsensusBatch heartbeat;
  *heartbeat.add_messages() = controller::ToWire(MessageFromOther(consensus::MessageKind::kAppend));
  service.Deliver(heartbeat);
  cr_expect(service.Renew().leader_address() == controller_test::kOther);
  auto message = MessageFromOther(consensus::MessageKind::kSnapshot);
  message.chunk = {5, 2,          R"([{"name":"127.0.0.1:1","incarnation":1,"role":"voter"},
                             {"name":"127.0.0.1:2","incarnation":1,"role":"voter"}])",
                   0, "no state", true};
  rpc::ConsensusBatch batch;
  *batch.add_messages() = controller::ToWire(message);
  service.Deliver(batch);
  const auto end = base::MonotonicNow() + std::chrono::seconds(5);
  while (!service.Renew().leader_address().empty() && base::MonotonicNow() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    service.Deliver(heartbeat);
  }
  cr_expect(service.Renew().leader_address().empty(), "the replica still follows its leader");
  // Starts from a copy of the disk: gRPC may abort if a service and its last client end while a
  // call is running, and this process goes on.
  const ReplicaFolder disk_after_stop = folder.Copy();
  const ControlServiceRunner restarted(disk_after_stop, members);
  cr_expect(restarted.error().empty(), "%s", restarted.error().c_str());
}

// Guards against a replica that has stopped for a fault of the consensus, such as two leaders in
// one term, while no log line says so.
Test(control_service, logs_the_fault_that_stopped_its_log) {
  const std::vector<std::string> members{controller_test::kSelf, controller_test::kOther,
                                         "127.0.0.1:3"};
  const ReplicaFolder folder(members);
  const std::string lines_path = folder.path() + "/lines";
  cr_assert(logging::Start({"vm", "dc", lines_path, false}).has_value());
  ControlServiceRunner service(folder, members);
  rpc::ConsensusBatch batch;
  for (const auto& leader : {members[1], members[2]}) {
    auto message = MessageFromOther(consensus::MessageKind::kAppend);
    message.from.name = leader;
    *batch.add_messages() = controller::ToWire(message);
  }
  service.Deliver(batch);
  const auto end = base::MonotonicNow() + std::chrono::seconds(5);
  while (CountLines(lines_path, "two leaders in term 2") == 0 && base::MonotonicNow() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  // Enough time for several more ticks.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const int lines = CountLines(lines_path, "two leaders in term 2");
  cr_expect(lines == 1, "%d lines", lines);
}
