#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/monotonic_time.h"
#include "consensus/message.h"
#include "distribution/catalog_transfer.h"
#include "observation/observation.h"
#include "safety/suspect_record.h"
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

/// What upstreams have said. An `ack_id` other than 0 asks for `ReportsAck`.
struct Reports {
  std::uint64_t ack_id = 0;
  std::vector<AgedReport> reports;
  /// Parts of the sender's table (`upstreams::TableDigests`) of which `reports` holds every
  /// upstream; present in the answer to a `ReportsRequest` only.
  std::optional<std::vector<std::uint8_t>> complete_parts;
};

/// The sender has taken the reports and passed them on to its entries.
struct ReportsAck {
  std::uint64_t ack_id = 0;
};

/// An announcement that changed nothing.
struct Heartbeat {
  std::string id;
  std::int64_t started_unix_ms = 0;
  std::uint64_t sequence = 0;
};

struct Heartbeats {
  std::vector<Heartbeat> heartbeats;
};

/// The committed orders of operators, in short.
struct OrderSummary {
  std::uint64_t changed_index = 0;
  std::uint64_t catalog_version = 0;
  std::vector<std::string> evacuated;
};

/// What has changed of the entries that are connected to the sender.
struct EntryNames {
  /// `added` holds all of them.
  bool complete = false;
  std::vector<std::string> added;
  std::vector<std::string> removed;
};

/// Asks for the reports in which the receiver differs from the sender, by digests of the sender's
/// upstreams (`upstreams::TableDigests`).
struct ReportsRequest {
  std::vector<std::uint64_t> digests;
};

struct SilentUpstream {
  std::string id;
  /// Time since it was heard.
  base::Duration silence{};
};

/// Which upstreams haven't announced themselves lately; all others that the sender knows have.
struct UpstreamLiveness {
  /// Of all upstreams that the sender knows.
  std::uint64_t digest = 0;
  std::vector<SilentUpstream> silent;
};

/// What entries saw of upstreams: from an entry to the replica that it follows, and from that one
/// to the replicas that merge them.
struct Observations {
  std::vector<observation::Observation> observations;
};

/// The upstreams that entries should know of: from the replica that merges what was seen of them to
/// the others, and from each replica to the entries that follow it.
struct Conditions {
  std::vector<observation::Condition> conditions;
};

/// Requests under which upstreams were lost: from an entry what it saw, from a replica to the
/// others all that has changed, and to the entries that follow it the requests that are blocked.
struct Suspects {
  std::vector<safety::SuspectReport> reports;
};

/// Keeps a link alive; answered by one.
struct Ping {
  /// Whether an entry takes callers.
  bool ready = false;
  /// Whether an entry wants to hear of all upstreams and entries from this replica; it hears only
  /// of upstreams that leave from the others.
  bool follows = false;
  /// The orders that an entry has taken; it is told again while they are behind the replica's.
  std::uint64_t orders_index = 0;
  std::uint64_t catalog_version = 0;
};

using distribution::CatalogPiece;
using distribution::CatalogRequest;

using Message = std::variant<Hello, Replicas, Consensus, Reports, ReportsAck, Heartbeats,
                             OrderSummary, EntryNames, CatalogRequest, CatalogPiece, Ping,
                             ReportsRequest, UpstreamLiveness, Observations, Conditions, Suspects>;

}  // namespace wagtailpick::cluster
