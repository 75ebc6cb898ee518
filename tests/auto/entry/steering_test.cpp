#include "entry/steering.h"

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "timeline/event_ring.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using entry::Steering;
using entry::Target;
using entry::View;
using std::chrono::milliseconds;

constexpr std::int64_t kOneWayMs = 50;
constexpr milliseconds kRoundTrip{2 * kOneWayMs};
constexpr std::uint64_t kLinkBytes = 100'000'000;
constexpr std::uint32_t kSlots = 8;
/// More than the number of answers after which an entry trusts its own observations.
constexpr int kAnswers = 30;
/// A caller whose home is the region `mvd`.
constexpr const char* kCaller = "10.1.0.7";

bundle::Bundle MakeBundle(std::uint64_t version, const std::vector<std::string>& services) {
  bundle::Bundle bundle;
  bundle.version = version;
  bundle.regions = {{"gru", {"gru-1"}}, {"mvd", {"mvd-1", "mvd-2"}}};
  bundle.links = {{"gru", "mvd", kOneWayMs, 1'000, 50}, {"mvd", "gru", kOneWayMs, 1'000, 50}};
  bundle.client_blocks = {{"10.1.0.0/16", "mvd"}};
  for (const auto& name : services) {
    bundle::Service service;
    service.name = name;
    bundle.services.push_back(service);
  }
  return bundle;
}

entry::ViewPtr MakeView(const bundle::Bundle& bundle) {
  auto view = std::make_shared<View>();
  view->bundle = bundle;
  view->directory = entry::PlaceDirectory::Build(bundle).value();
  view->members = {{"vm-here", 1, "gru", "gru-1", "", "", false},
                   {"vm-near", 2, "mvd", "mvd-1", "", "", false},
                   {"vm-other", 3, "mvd", "mvd-2", "", "", false}};
  return view;
}

/// The steering of an entry in `gru`, and summaries of two owners in `mvd`.
class SteeringFixture {
 public:
  SteeringFixture() : events_("vm-here", 16), steering_("vm-here", "gru-1", "gru", events_) {}

  void SetServices(std::uint64_t version, const std::vector<std::string>& services) {
    steering_.SetView(MakeView(MakeBundle(version, services)));
    rpc::RenewReply reply;
    for (const bool is_there : {true, false}) {
      auto* grant = reply.add_shares();
      grant->set_is_link(true);
      grant->set_from(is_there ? "gru" : "mvd");
      grant->set_to(is_there ? "mvd" : "gru");
      grant->set_amount(kLinkBytes);
    }
    steering_.shares().ApplyGrants(reply, now_);
  }

  void Summarize(std::uint64_t session, const std::string& data_centre, const std::string& service,
                 milliseconds median) {
    rpc::Summary summary;
    summary.set_session_epoch(session);
    summary.set_sequence(++sequence_);
    auto* place = summary.add_places();
    place->set_data_centre(data_centre);
    place->set_service(service);
    place->set_free_slots(kSlots);
    place->set_total_slots(kSlots);
    place->set_p50_us(static_cast<std::uint32_t>(base::Duration(median).count()));
    steering_.ApplySummary(summary, now_);
  }

  std::optional<Target> Choose(const std::string& service) {
    rpc::ForwardRequest request;
    request.set_service(service);
    std::string reason;
    return steering_.Choose(request, kCaller, {}, now_, reason);
  }

  Steering& steering() { return steering_; }
  base::MonotonicTime now() const { return now_; }

 private:
  base::MonotonicTime now_ = base::MonotonicNow();
  std::uint64_t sequence_ = 0;
  timeline::EventRing events_;
  Steering steering_;
};

}  // namespace

// Guards against an owner that loses its requests to a slower one once it has answered: the time to
// its answer holds the network's round trip, which the choice adds to the service time.
Test(steering, counts_the_network_once) {
  SteeringFixture fixture;
  fixture.SetServices(1, {"listings"});
  fixture.Summarize(2, "mvd-1", "listings", milliseconds(10));
  for (int i = 0; i < kAnswers; ++i) {
    const auto target = fixture.Choose("listings");
    cr_assert(target && target->data_centre == "mvd-1");
    fixture.steering().RecordAnswer(*target, kRoundTrip + milliseconds(10), 0, fixture.now());
  }
  fixture.Summarize(3, "mvd-2", "listings", milliseconds(60));
  const auto target = fixture.Choose("listings");
  cr_expect(target && target->data_centre == "mvd-1");
}

// Guards against an answer that is recorded by the indexes of a bundle that is no longer in force:
// it read outside the list of services, or counted for another service.
Test(steering, records_an_answer_after_a_bundle_with_fewer_services) {
  SteeringFixture fixture;
  fixture.SetServices(1, {"accounts", "listings"});
  fixture.Summarize(2, "mvd-1", "listings", milliseconds(10));
  const auto target = fixture.Choose("listings");
  cr_assert(target.has_value());
  fixture.SetServices(2, {"listings"});
  fixture.steering().RecordAnswer(*target, kRoundTrip, kLinkBytes, fixture.now());
  fixture.Summarize(2, "mvd-1", "listings", milliseconds(10));
  cr_expect(!fixture.Choose("listings"), "the answer used up the link");
}

// Guards against a refusal that counts for another service once a bundle has renumbered them.
Test(steering, records_a_refusal_after_a_bundle_that_renumbers_services) {
  SteeringFixture fixture;
  fixture.SetServices(1, {"accounts", "listings"});
  fixture.Summarize(2, "mvd-1", "accounts", milliseconds(10));
  const auto target = fixture.Choose("accounts");
  cr_assert(target.has_value());
  fixture.SetServices(2, {"listings", "accounts"});
  fixture.Summarize(2, "mvd-1", "listings", milliseconds(10));
  fixture.Summarize(2, "mvd-1", "accounts", milliseconds(10));
  fixture.steering().RecordRefusal(*target, fixture.now());
  cr_expect(fixture.Choose("listings").has_value());
  cr_expect(!fixture.Choose("accounts").has_value());
}
