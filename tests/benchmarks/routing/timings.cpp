#include "timings.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "../../auto/routing/choice_schedule.h"
#include "routing/block_table.h"
#include "routing/lookup_ranker.h"
#include "routing/place_chooser.h"
#include "routing/upstream_chooser.h"

namespace wagtailpick::benchmarks {
namespace {

using routing::AddressFamily;
using routing::ClientAddress;
using routing::ClientBlock;
using routing::PlaceId;

constexpr std::size_t kBlocks = 280'000;
constexpr std::size_t kSites = 1'200;
constexpr routing::RegionId kTargetRegions = 9;
constexpr std::size_t kEntries = 6'400;
constexpr base::MonotonicTime kNow{base::Duration(10'000'000)};

// Returns the processor time of this thread. The elapsed time would include other work of the
// shared machine.
double ThreadSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

// Returns the time of one call in nanoseconds, as the median over 21 batches.
double NanosPer(std::size_t count, const std::function<void(std::size_t)>& work) {
  constexpr std::size_t kBatches = 21;
  const std::size_t batch = std::max<std::size_t>(1, count / kBatches);
  std::vector<double> seconds;
  for (std::size_t begin = 0; begin < kBatches * batch; begin += batch) {
    const double start = ThreadSeconds();
    for (std::size_t i = begin; i < begin + batch; ++i) work(i % count);
    seconds.push_back(ThreadSeconds() - start);
  }
  std::sort(seconds.begin(), seconds.end());
  return seconds[kBatches / 2] * 1e9 / static_cast<double>(batch);
}

// Makes distinct blocks: four out of five are IPv4 (/24), the others IPv6 (/48).
std::vector<ClientBlock> MakeBlocks(std::size_t count, std::size_t sites) {
  constexpr std::uint64_t kSpread = 2'654'435'761;  // odd, so that all products differ
  std::vector<ClientBlock> blocks;
  for (std::size_t i = 0; i < count; ++i) {
    const auto place = static_cast<PlaceId>(i % sites);
    const std::uint64_t number = i * kSpread;
    if (i % 5 != 0) {
      const std::uint64_t first = (number & 0xffffffU) << 8U;
      blocks.push_back({{AddressFamily::kIpv4, 0, first}, 24, place});
    } else {
      const std::uint64_t high = 0x2000000000000000U | (number & 0xffffffffU) << 20U;
      blocks.push_back({{AddressFamily::kIpv6, high & ~0xffffULL, 0}, 48, place});
    }
  }
  return blocks;
}

std::vector<ClientAddress> MakeAddresses(const std::vector<ClientBlock>& blocks) {
  std::mt19937_64 random(1);
  std::vector<ClientAddress> addresses;
  for (int i = 0; i < 1 << 16; ++i) {
    ClientAddress address = blocks[random() % blocks.size()].first;
    address.low |= random() & 0xffU;
    addresses.push_back(address);
  }
  return addresses;
}

// Baseline: finds the longest prefix with one hash table per prefix length, the longest first.
class HashPerLength {
 public:
  explicit HashPerLength(const std::vector<ClientBlock>& blocks) {
    for (const auto& block : blocks) {
      Map(block.first.family)[block.prefix_length][Key(block.first)] = block.place;
    }
  }
  int Find(const ClientAddress& address) {
    auto& lengths = Map(address.family);
    for (std::size_t length = lengths.size(); length-- > 0;) {
      if (lengths[length].empty()) continue;
      ClientBlock block{address, static_cast<std::uint8_t>(length), 0};
      const ClientAddress last =
          routing::LastAddress({{address.family, 0, 0}, block.prefix_length, 0});
      block.first.high &= ~last.high;
      block.first.low &= ~last.low;
      const auto found = lengths[length].find(Key(block.first));
      if (found != lengths[length].end()) return found->second;
    }
    return -1;
  }

 private:
  using Lengths = std::vector<std::unordered_map<std::uint64_t, PlaceId>>;
  static std::uint64_t Key(const ClientAddress& address) { return address.high ^ address.low; }
  Lengths& Map(AddressFamily family) { return family == AddressFamily::kIpv4 ? ipv4_ : ipv6_; }

  Lengths ipv4_ = Lengths(33);
  Lengths ipv6_ = Lengths(129);
};

std::shared_ptr<const routing::Topology> MakeTopology(std::size_t sites) {
  routing::TopologySpec spec;
  for (std::size_t i = 0; i < sites; ++i) {
    spec.region_of_place.push_back(static_cast<routing::RegionId>(i * kTargetRegions / sites));
  }
  for (routing::RegionId from = 0; from < kTargetRegions; ++from) {
    for (routing::RegionId to = 0; to < kTargetRegions; ++to) {
      if (from != to) spec.links.push_back({from, to, base::Duration(20'000)});
    }
  }
  return std::make_shared<const routing::Topology>(routing::Topology::Build(spec).value());
}

void FillSummaries(routing::SummaryTable& table, std::size_t sites, PlaceId full_below) {
  std::mt19937_64 random(2);
  for (std::size_t i = 0; i < sites; ++i) {
    const auto place = static_cast<PlaceId>(i);
    const std::uint32_t free =
        place < full_below ? 0 : static_cast<std::uint32_t>(1 + random() % 20);
    table.Apply({{static_cast<routing::EntryId>(i), place, 0},
                 free,
                 20,
                 base::Duration(10'000 + random() % 500),
                 1},
                base::Duration(2'000), kNow);
  }
}

std::string RenderSizes() {
  std::string text =
      "| blocks | sites | load ms | block table MB | summary table MB | find ns |\n"
      "|---|---|---|---|---|---|\n";
  double first_ms = 0;
  double last_ms = 0;
  for (std::size_t part = 8; part >= 1; part /= 2) {
    const std::size_t sites = kSites / part;
    const auto blocks = MakeBlocks(kBlocks / part, sites);
    const auto addresses = MakeAddresses(blocks);
    routing::BlockTable table;
    const double seconds =
        NanosPer(1, [&](std::size_t) { table = routing::BlockTable::Build(blocks).value(); }) / 1e9;
    routing::SummaryTable summaries(MakeTopology(sites), 2);
    FillSummaries(summaries, sites, 0);
    std::uint64_t sum = 0;
    const double find = NanosPer(addresses.size(), [&](std::size_t i) {
      const auto match = table.Find(addresses[i]);
      sum += match ? match->place : 0;
    });
    if (sum == 0) text += "no block was found\n";
    text += fmt::format("| {} | {} | {:.1f} | {:.2f} | {:.3f} | {:.0f} |\n", blocks.size(), sites,
                        seconds * 1e3, static_cast<double>(table.memory_bytes()) / 1e6,
                        static_cast<double>(summaries.memory_bytes()) / 1e6, find);
    if (part == 8) first_ms = seconds;
    last_ms = seconds;
  }
  // 1 means that the load time grows linearly with the size, which grows by the factor 8.
  text += fmt::format("slope of the load time (exponent of the size): {:.2f}\n",
                      std::log(last_ms / first_ms) / std::log(8.0));
  return text;
}

std::string RenderFind() {
  const auto blocks = MakeBlocks(kBlocks, kSites);
  const auto addresses = MakeAddresses(blocks);
  const auto table = routing::BlockTable::Build(blocks).value();
  HashPerLength naive(blocks);
  std::size_t wrong = 0;
  for (const auto& address : addresses) wrong += table.Find(address)->place != naive.Find(address);
  std::uint64_t sum = 0;
  const double library_ns =
      NanosPer(addresses.size(), [&](std::size_t i) { sum += table.Find(addresses[i])->place; });
  const double naive_ns = NanosPer(addresses.size(), [&](std::size_t i) {
    sum += static_cast<std::uint64_t>(naive.Find(addresses[i]));
  });
  return fmt::format("block among {}: {:.0f} ns, {:.2f} x hash per length, {} differ{}\n", kBlocks,
                     library_ns, library_ns / naive_ns, wrong, sum == 0 ? " (nothing found)" : "");
}

// Baseline: sorts all sites by expected latency, without regard to regions.
PlaceId NaiveChoice(const routing::SummaryTable& table, const routing::Topology& topology) {
  std::vector<std::pair<double, PlaceId>> order;
  for (routing::RegionId region = 0; region < kTargetRegions; ++region) {
    for (const auto& row : table.Rows(0, region)) {
      if (row.Free(kNow) < 1) continue;
      const auto network = topology.RoundTrip(0, row.place).count();
      order.emplace_back(static_cast<double>(network) + row.latency_us, row.place);
    }
  }
  std::sort(order.begin(), order.end());
  return order.empty() ? 0 : order.front().second;
}

std::string RenderChoice(const char* name, routing::Policy policy, PlaceId full_below) {
  const auto topology = MakeTopology(kSites);
  routing::SummaryTable table(topology, 1);
  FillSummaries(table, kSites, full_below);
  routing::ShareHooks hooks;
  hooks.try_admit_shift = [](auto...) { return true; };
  hooks.try_reserve_link = [](auto...) { return true; };
  const routing::PlaceChooser chooser(topology, {policy, 20}, routing::DrainSet(kSites, 1), hooks);
  std::mt19937_64 engine(3);
  const routing::RandomSource random = [&] { return engine(); };
  std::uint64_t sum = 0;
  const double library_ns = NanosPer(20'000, [&](std::size_t) {
    sum += chooser.Choose({0, 0, 0, 1'000, {}}, table, random, kNow).count;
  });
  const double naive = NanosPer(500, [&](std::size_t) { sum += NaiveChoice(table, *topology); });
  return fmt::format("choice at {} sites, {}: {:.0f} ns, {:.3f} x sorting all sites{}\n", kSites,
                     name, library_ns, library_ns / naive, sum == 0 ? " (no candidate)" : "");
}

std::string RenderOthers() {
  const auto topology = MakeTopology(kSites);
  routing::LookupRanker ranker(topology);
  std::vector<routing::EntryStatus> entries;
  for (routing::EntryId id = 0; id < kEntries; ++id) {
    entries.push_back({id, static_cast<PlaceId>(id % kSites), true});
  }
  ranker.SetEntries(entries);
  std::size_t sum = 0;
  const double rank = NanosPer(5'000, [&](std::size_t i) {
    sum += ranker.Rank(static_cast<PlaceId>(i % kSites), i << 8U).size();
  });
  routing::UpstreamChooser chooser;
  std::vector<routing::UpstreamState> states;
  for (routing::UpstreamId id = 0; id < 16; ++id) {
    chooser.Observe(id, {base::Duration(10'000 + id), true}, kNow);
    states.push_back({id, 4, id % 4, 1, true});
  }
  const double pick = NanosPer(50'000, [&](std::size_t) { sum += *chooser.Choose(states, kNow); });
  return fmt::format("lookup ranking, {} entries: {:.0f} ns\nupstream among 16: {:.0f} ns{}\n",
                     kEntries, rank, pick, sum == 0 ? " (nothing)" : "");
}

}  // namespace

std::string RenderTimings() {
  constexpr auto kHomeFull = static_cast<PlaceId>(kSites / kTargetRegions + 1);
  return RenderSizes() + RenderFind() + RenderChoice("latency", routing::Policy::kLatency, 0) +
         RenderChoice("headroom", routing::Policy::kHeadroom, 0) +
         RenderChoice("home region full", routing::Policy::kLatency, kHomeFull) + RenderOthers();
}

std::string RenderSchedules() {
  constexpr std::uint64_t kSchedules = 10'000;
  constexpr std::uint64_t kThreads = 5;
  std::vector<std::future<routing::ScheduleCounts>> running;
  for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
    running.push_back(std::async(std::launch::async, [thread] {
      routing::ScheduleCounts sum;
      for (std::uint64_t seed = thread; seed < kSchedules; seed += kThreads) {
        sum += routing::RunChoiceSchedule(seed);
      }
      return sum;
    }));
  }
  routing::ScheduleCounts sum;
  for (auto& part : running) sum += part.get();
  return fmt::format(
      "{} schedules: {} choices, {} shifted, {} refused; cap exceeded {}, link exceeded {}, region "
      "overloaded by a decision {}, work to a draining place {}, not eligible {}\n",
      kSchedules, sum.choices, sum.shifted, sum.refused, sum.cap_exceeded, sum.link_exceeded,
      sum.region_overloaded, sum.drained_work, sum.not_eligible);
}

}  // namespace wagtailpick::benchmarks
