#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/monotonic_time.h"
#include "consensus/message.h"
#include "upstreams/upstream_report.h"

namespace wagtailpick::cluster {

enum class NodeRole : std::uint8_t { kEntry = 1, kReplica = 2 };

/// The first message on a link, from the side that dialled.
struct Hello {
  NodeRole role = NodeRole::kEntry;
  std::string vm;
  std::string data_centre;
  /// A replica's address for links, which is its name in the group; empty for an entry.
  std::string cluster_address;
  /// Where operators and upstreams reach a replica, or callers an entry.
  std::string service_address;
  /// Incarnation of a replica's disk.
  std::uint64_t incarnation = 0;
};

struct ReplicaAddress {
  std::string cluster_address;
  std::string service_address;
  /// Empty where it isn't known.
  std::string data_centre;

  friend auto operator<=>(const ReplicaAddress&, const ReplicaAddress&) = default;
};

/// The replicas that the sender knows, for whoever knows fewer.
struct Replicas {
  std::vector<ReplicaAddress> replicas;
};

struct Consensus {
  std::vector<consensus::Message> messages;
};

struct AgedReport {
  upstreams::UpstreamReport report;
  /// Time since the announcement came to the system.
  base::Duration age{};
};

/// What upstreams have said. A ticket other than 0 asks for `ReportsTaken`.
struct Reports {
  std::uint64_t ticket = 0;
  std::vector<AgedReport> reports;
};

/// The sender has taken the reports and passed them on to its entries.
struct ReportsTaken {
  std::uint64_t ticket = 0;
};

/// An announcement that changed nothing.
struct Beat {
  std::string id;
  std::int64_t started_unix_ms = 0;
  std::uint64_t sequence = 0;
};

struct Beats {
  std::vector<Beat> beats;
};

/// The committed orders of operators, in short.
struct OrderSummary {
  std::uint64_t changed_index = 0;
  std::uint64_t catalog_version = 0;
  std::vector<std::string> evacuated;
};

/// The entries that are connected to the sender.
struct Entries {
  std::vector<std::string> vms;
};

struct CatalogRequest {
  std::uint64_t version = 0;
};

struct CatalogContent {
  std::uint64_t version = 0;
  std::string bytes;
};

/// Keeps a link alive; answered by one.
struct Ping {
  /// Whether an entry takes callers.
  bool ready = false;
  /// Whether an entry wants all reports and beats from this replica; it hears only of upstreams
  /// that leave from the others.
  bool follows = false;
};

using Message = std::variant<Hello, Replicas, Consensus, Reports, ReportsTaken, Beats, OrderSummary,
                             Entries, CatalogRequest, CatalogContent, Ping>;

}  // namespace wagtailpick::cluster
