#include "wagtailpick/control_commands.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "rpc/operator_client.h"
#include "wagtailpick/exit_codes.h"
#include "wagtailpick/text_file.h"

namespace wagtailpick::tool {
namespace {

constexpr base::Duration kCallTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds kPollInterval{200};

/// Asks one replica after the other until `is_final` accepts a reply.
template <typename Reply>
base::Result<Reply> AskReplicas(const std::vector<std::string>& control,
                                const std::function<base::Result<Reply>(rpc::OperatorClient&)>& ask,
                                const std::function<bool(const Reply&)>& is_final) {
  base::Result<Reply> last =
      base::Fail(base::ErrorCode::kUnavailable, "no control replica is given");
  for (const auto& address : control) {
    rpc::OperatorClient client(address);
    last = ask(client);
    if (last && is_final(last.value())) return last;
  }
  return last;
}

base::Result<rpc::StatusReply> AskStatus(const std::vector<std::string>& control) {
  return AskReplicas<rpc::StatusReply>(
      control, [](rpc::OperatorClient& client) { return client.Status({}, kCallTimeout); },
      [](const rpc::StatusReply& reply) { return reply.current(); });
}

int Unreachable(const std::string& message) {
  std::cerr << "wagtailpick: no control leader answers: " << message << "\n";
  return kExitRefused;
}

std::string OutcomeName(rpc::SubmitOutcome outcome) {
  const std::string name = rpc::SubmitOutcome_Name(outcome);
  std::string lower = name.substr(std::string("SUBMIT_OUTCOME_").size());
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return lower;
}

nlohmann::json ToJson(const rpc::StatusReply& reply) {
  nlohmann::json sessions = nlohmann::json::array();
  for (const auto& session : reply.sessions()) {
    sessions.push_back({{"vm", session.vm()},
                        {"place", session.data_centre()},
                        {"bundle_version", session.bundle_version()},
                        {"lease_held", session.lease_held()},
                        {"draining", session.draining()}});
  }
  return {{"leader", reply.leader()},
          {"term", reply.term()},
          {"bundle_version", reply.bundle_version()},
          {"bundle_digest", reply.bundle_digest()},
          {"upstreams", reply.upstreams()},
          {"entries", sessions}};
}

/// Entries that hold a lease under a version from `version` on.
std::int64_t CountHolding(const rpc::StatusReply& reply, std::uint64_t version) {
  return std::count_if(reply.sessions().begin(), reply.sessions().end(),
                       [&](const rpc::SessionStatus& session) {
                         return session.lease_held() && session.bundle_version() >= version;
                       });
}

}  // namespace

int SubmitBundle(const std::string& path, const std::vector<std::string>& control, bool as_json) {
  const auto bytes = ReadWholeFile(path);
  if (!bytes) {
    std::cerr << "wagtailpick: " << bytes.error().message << "\n";
    return kExitWrongInput;
  }
  rpc::SubmitRequest request;
  request.set_signed_bundle(bytes.value());
  const auto reply = AskReplicas<rpc::SubmitReply>(
      control, [&](rpc::OperatorClient& client) { return client.Submit(request, kCallTimeout); },
      [](const rpc::SubmitReply& value) {
        return value.outcome() != rpc::SUBMIT_OUTCOME_UNAVAILABLE;
      });
  if (!reply) return Unreachable(reply.error().message + "; submit it again to learn the outcome");
  const auto& value = reply.value();
  const std::string outcome = OutcomeName(value.outcome());
  const bool is_accepted = value.outcome() == rpc::SUBMIT_OUTCOME_ACCEPTED ||
                           value.outcome() == rpc::SUBMIT_OUTCOME_ALREADY_ACCEPTED;
  if (as_json) {
    std::cout << nlohmann::json{{"outcome", outcome},
                                {"version", value.version()},
                                {"digest", value.digest()},
                                {"current_version", value.current_version()},
                                {"message", value.message()}}
              << "\n";
  } else {
    (is_accepted ? std::cout : std::cerr)
        << outcome << ": version " << value.version() << " has digest " << value.digest()
        << ", current version " << value.current_version()
        << (value.message().empty() ? "" : ": " + value.message()) << "\n";
  }
  return is_accepted ? kExitDone : kExitRefused;
}

int ShowStatus(const std::vector<std::string>& control, bool as_json) {
  const auto reply = AskStatus(control);
  if (!reply) return Unreachable(reply.error().message);
  const auto& value = reply.value();
  if (as_json) {
    std::cout << ToJson(value) << "\n";
    return kExitDone;
  }
  std::cout << "leader " << value.leader() << ", bundle version " << value.bundle_version() << " "
            << value.bundle_digest() << "\n";
  for (const auto& session : value.sessions()) {
    std::cout << session.vm() << " at " << session.data_centre() << ": ";
    if (session.lease_held()) {
      std::cout << "version " << session.bundle_version() << " in force";
    } else {
      std::cout << "lease ended";
    }
    std::cout << (session.draining() ? ", draining" : "") << "\n";
  }
  return kExitDone;
}

int WaitForVersion(std::uint64_t version, const std::vector<std::string>& control,
                   std::int64_t timeout_s) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(timeout_s);
  while (std::chrono::steady_clock::now() < end) {
    const auto reply = AskStatus(control);
    if (reply && reply.value().bundle_version() >= version) {
      const auto holding = CountHolding(reply.value(), 0);
      const auto in_force = CountHolding(reply.value(), version);
      std::cerr << "version " << version << ": " << in_force << " of " << holding << " entries\n";
      // A group without entries has nothing in force.
      if (holding > 0 && in_force == holding) return kExitDone;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "wagtailpick: version " << version << " is not in force everywhere after "
            << timeout_s << " s\n";
  return kExitRefused;
}

}  // namespace wagtailpick::tool
