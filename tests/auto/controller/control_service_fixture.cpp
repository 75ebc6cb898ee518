#include "control_service_fixture.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <thread>
#include <utility>

#include "bundle/signed_bundle.h"
#include "bundle/signing_key.h"
#include "consensus/membership.h"
#include "sample_bundle.h"

namespace wagtailpick::controller_test {
namespace {

constexpr auto kTick = std::chrono::milliseconds(10);
constexpr auto kTimeout = std::chrono::seconds(10);

controller::ControllerOptions OptionsFor(const std::vector<std::string>& members) {
  controller::ControllerOptions options;
  options.vm = "vm";
  options.replicas = members;
  return options;
}

std::string MakeRoot() {
  std::string pattern = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
  cr_assert(mkdtemp(pattern.data()) != nullptr);
  return pattern;
}

}  // namespace

std::string SignedBundleBytes() {
  const auto signed_bundle = bundle::Sign(SampleBundle().dump(), bundle::SigningKey::Generate());
  cr_assert(signed_bundle.has_value());
  return bundle::Encode(signed_bundle.value());
}

ReplicaFolder::ReplicaFolder(const std::vector<std::string>& members)
    : root_(MakeRoot()), members_(members) {
  cr_assert(replica::ReplicaDisk::InitGroup(root_ + "/data", kSelf, members_).has_value());
}

ReplicaFolder::ReplicaFolder(std::string root, std::vector<std::string> members)
    : root_(std::move(root)), members_(std::move(members)) {}

ReplicaFolder::~ReplicaFolder() { std::filesystem::remove_all(root_); }

void ReplicaFolder::StoreEntries(const std::vector<std::string>& data) const {
  consensus::SyncBatch batch;
  batch.hard_state = consensus::HardState{1, {}};
  for (const auto& one : data) {
    batch.entries.push_back({batch.entries.size() + 1, 1, consensus::EntryKind::kData, one});
  }
  cr_assert(Open().Write(batch).has_value());
}

void ReplicaFolder::StoreSnapshot(const std::string& data) const {
  consensus::SyncBatch batch;
  batch.hard_state = consensus::HardState{1, {}};
  std::vector<consensus::Member> members;
  members.reserve(members_.size());
  for (const auto& name : members_) members.push_back({{name, 1}, consensus::MemberRole::kVoter});
  batch.snapshot = consensus::Snapshot{1, 1, consensus::Membership(std::move(members)),
                                       std::make_shared<const std::string>(data)};
  batch.drop_log = true;
  cr_assert(Open().Write(batch).has_value());
}

ReplicaFolder ReplicaFolder::Copy() const {
  std::string root = MakeRoot();
  std::filesystem::copy(root_ + "/data", root + "/data", std::filesystem::copy_options::recursive);
  return {std::move(root), members_};
}

replica::ReplicaDisk ReplicaFolder::Open() const {
  auto disk = replica::ReplicaDisk::Open(root_ + "/data", kSelf, 1);
  cr_assert(disk.has_value());
  return std::move(disk.value());
}

ControlServiceRunner::ControlServiceRunner(const ReplicaFolder& folder,
                                           const std::vector<std::string>& members) {
  auto service =
      controller::ControlService::Create(OptionsFor(members), folder.Open(), loop_, events_);
  if (!service) {
    error_ = service.error().message;
    return;
  }
  service_ = std::move(service.value());
  loop_.Start(kTick, [this] { service_->Tick(); });
}

rpc::StatusReply ControlServiceRunner::WaitForStatus() {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < end) {
    std::promise<base::Result<rpc::StatusReply>> reply;
    loop_.Post([&] { service_->Status({}, [&](const auto& result) { reply.set_value(result); }); });
    const auto result = reply.get_future().get();
    if (result) return result.value();
    std::this_thread::sleep_for(kTick);
  }
  cr_assert_fail("no leader");
  return {};
}

rpc::RenewReply ControlServiceRunner::Renew() {
  std::promise<rpc::RenewReply> reply;
  loop_.Post(
      [&] { service_->Renew({}, [&](const auto& result) { reply.set_value(result.value()); }); });
  return reply.get_future().get();
}

void ControlServiceRunner::Deliver(const rpc::ConsensusBatch& batch) {
  std::promise<void> delivered;
  loop_.Post([&] {
    service_->Deliver(batch);
    delivered.set_value();
  });
  delivered.get_future().get();
}

}  // namespace wagtailpick::controller_test
