#include "harness/cluster.h"

#include <algorithm>
#include <array>
#include <map>

#include "harness/expect.h"
#include "harness/free_ports.h"

namespace wagtailpick::processes {
namespace {

constexpr std::array<const char*, 3> kRegions{"mvd", "pde", "col"};
constexpr unsigned kSlots = 3;

}  // namespace

Cluster::Cluster() : tool_(folder_) {
  for (std::size_t i = 0; i < kRegions.size(); ++i) control_.push_back(MakeNode("control", i));
  for (std::size_t i = 0; i < kRegions.size(); ++i) entries_.push_back(MakeNode("entry", i));
  for (auto* nodes : {&control_, &entries_}) {
    for (auto& node : *nodes) {
      std::string text = folder_.Read(node.vm + ".ini");
      folder_.Write(node.vm + ".ini", text + "\n[peers]\ncontrol = " + control_list() + "\n");
    }
  }
  for (auto& node : control_) {
    folder_.MakeEmpty(node.data_folder);
    Child prepare({WAGTAILPICK_DAEMON, "--config=" + node.config, "--init-group"},
                  folder_.Path("init.out"), folder_.Path("init.err"));
    Expect(prepare.Wait() == 0, "--init-group: " + folder_.Read("init.err"));
  }
  for (auto& node : control_) Start(node);
  for (auto& node : entries_) Start(node);
  const auto outcome = SubmitUntilKnown(tool_.Sign(1), control_list());
  Expect(outcome == "accepted" || outcome == "already_accepted", "bundle 1: " + outcome);
  WaitInForce(1);
}

Node Cluster::MakeNode(const std::string& role, std::size_t index) {
  const std::string region = kRegions.at(index);
  Node node;
  node.vm = role + "-" + region;
  node.rpc_address = FreeAddress();
  node.admin_address = FreeAddress();
  std::string text = "[node]\nname = " + node.vm + "\nregion = " + region +
                     "\ndata_centre = " + region + "-1\nroles = " + role +
                     "\nrpc_address = " + node.rpc_address +
                     "\nadmin_address = " + node.admin_address +
                     "\nlog_file = " + folder_.Path(node.vm + ".log") + "\n";
  if (role == "entry") {
    node.http_address = FreeAddress();
    text += "[entry]\nhttp_address = " + node.http_address + "\n";
  } else {
    node.data_folder = node.vm + ".data";
    text += "[control]\ndata_folder = " + folder_.Path(node.data_folder) +
            "\noperator_keys = " + tool_.public_key_file() + "\n";
  }
  node.config = folder_.Write(node.vm + ".ini", text);
  return node;
}

std::string Cluster::control_list() const {
  std::string list;
  for (const auto& node : control_) list += (list.empty() ? "" : ",") + node.rpc_address;
  return list;
}

std::string Cluster::ControlWithout(std::size_t index) const {
  std::string list;
  for (std::size_t i = 0; i < control_.size(); ++i) {
    if (i != index) list += (list.empty() ? "" : ",") + control_[i].rpc_address;
  }
  return list;
}

void Cluster::CheckNoRevert() const {
  std::map<std::uint64_t, std::string> digests;
  for (const auto& node : entries_) {
    std::uint64_t last = 0;
    for (const auto& event : Events(node)) {
      if (event.at("event") != "bundle_in_force") continue;
      const std::uint64_t version = std::stoull(event.at("subject").get<std::string>());
      const std::string digest = event.at("detail");
      Expect(version > last, node.vm + " went from version " + std::to_string(last) + " to " +
                                 std::to_string(version));
      last = version;
      const auto& known = digests.try_emplace(version, digest).first->second;
      Expect(known == digest, "two bundles of version " + std::to_string(version));
    }
  }
}

void Cluster::Start(Node& node) {
  node.process = std::make_unique<Child>(
      std::vector<std::string>{WAGTAILPICK_DAEMON, "--config=" + node.config},
      folder_.Path(node.vm + ".out"), folder_.Path(node.vm + ".err"));
  WaitUntil(node.vm + " serves", [&] {
    Expect(!node.process->TryReap(), node.vm + ": " + folder_.Read(node.vm + ".err"));
    return http_.Get(node.admin_address, "/metrics").status == 200;
  });
}

Upstream& Cluster::AddUpstream(const std::string& service, const std::string& place,
                               unsigned work_ms) {
  Upstream upstream;
  upstream.address = FreeAddress();
  upstream.service = service;
  upstream.place = place;
  upstream.work_ms = work_ms;
  upstreams_.push_back(std::move(upstream));
  Start(upstreams_.back());
  return upstreams_.back();
}

void Cluster::Start(Upstream& upstream) {
  std::string entries;
  for (const auto& node : entries_) entries += (entries.empty() ? "" : ",") + node.http_address;
  upstream.process = std::make_unique<Child>(
      std::vector<std::string>{WAGTAILPICK_UPSTREAM, "--address=" + upstream.address,
                               "--service=" + upstream.service, "--place=" + upstream.place,
                               "--slots=" + std::to_string(kSlots), "--entries=" + entries,
                               "--work-ms=" + std::to_string(upstream.work_ms)},
      folder_.Path("upstream.out"), folder_.Path("upstream.err"));
  WaitUntil("an upstream serves",
            [&] { return http_.Get(upstream.address, "/stats").status == 200; });
}

void Cluster::WaitUntilServed(const std::string& service) {
  for (const auto& node : entries_) {
    Answer last;
    WaitUntil(node.vm + " serves " + service, [&] {
      last = http_.Get(node.http_address, "/s/" + service + "/ready");
      return last.status == 200;
    });
  }
}

std::size_t Cluster::WaitForLeader(const std::string& control) {
  std::size_t found = 0;
  WaitUntil("a control replica leads", [&] {
    const auto status = nlohmann::json::parse(tool_.StatusJson(control), nullptr, false);
    if (!status.is_object()) return false;
    const auto leader = std::find_if(control_.begin(), control_.end(), [&](const Node& node) {
      return node.rpc_address == status.value("leader", "");
    });
    found = static_cast<std::size_t>(leader - control_.begin());
    return leader != control_.end();
  });
  return found;
}

std::string Cluster::SubmitUntilKnown(const std::string& signed_file, const std::string& control) {
  std::string outcome;
  WaitUntil("the outcome of " + signed_file + " is known", [&] {
    outcome = tool_.Submit(signed_file, control).Outcome();
    return !outcome.empty() && outcome != "unavailable";
  });
  return outcome;
}

void Cluster::WaitInForce(std::uint64_t version) {
  for (const auto& node : entries_) {
    WaitUntil("version " + std::to_string(version) + " is in force at " + node.vm, [&] {
      for (const auto& event : Events(node)) {
        if (event.at("event") == "bundle_in_force" &&
            event.at("subject") == std::to_string(version)) {
          return true;
        }
      }
      return false;
    });
  }
}

nlohmann::json Cluster::Events(const Node& node) const {
  const auto answer = http_.Get(node.admin_address, "/v1/events?after=0");
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  return json.is_object() ? json.at("events") : nlohmann::json::array();
}

std::size_t Cluster::CountEvents(const Node& node, const std::string& kind,
                                 const std::string& detail) const {
  const auto events = Events(node);
  return static_cast<std::size_t>(
      std::count_if(events.begin(), events.end(), [&](const nlohmann::json& event) {
        return event.at("event") == kind &&
               event.at("detail").get<std::string>().find(detail) != std::string::npos;
      }));
}

std::string Cluster::Metrics(const Node& node) const {
  return http_.Get(node.admin_address, "/metrics").body;
}

nlohmann::json Cluster::Stats(const Upstream& upstream) const {
  const auto answer = http_.Get(upstream.address, "/stats");
  Expect(answer.status == 200, "no counts of upstream " + upstream.address);
  return nlohmann::json::parse(answer.body);
}

unsigned Cluster::RunsOf(const std::string& key) const {
  unsigned runs = 0;
  for (const auto& upstream : upstreams_) {
    runs += Stats(upstream).at("runs_per_key").value(key, 0U);
  }
  return runs;
}

}  // namespace wagtailpick::processes
