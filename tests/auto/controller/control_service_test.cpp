#include "controller/control_service.h"

#include <criterion/criterion.h>

#include <string>

#include "control/command_codec.h"
#include "control_service_fixture.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using controller_test::ControlServiceRunner;
using controller_test::ReplicaFolder;
using controller_test::SignedBundleBytes;

std::string AcceptRecord(std::uint64_t version, const std::string& signed_bytes) {
  return control::EncodeCommand(
      control::AcceptBundle{version, "digest " + std::to_string(version), signed_bytes, {}});
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
