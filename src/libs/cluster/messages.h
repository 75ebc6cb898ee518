#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/monotonic_time.h"
#include "consensus/message.h"
#include "distribution/catalog_transfer.h"
#include "limits/limit_report.h"
#include "limits/token_issuer.h"
#include "observation/observation.h"
#include "safety/suspect_record.h"
#include "upstreams/upstream_report.h"

namespace wagtailpick::cluster {

enum class NodeRole : std::uint8_t { kEntry = 1, kReplica = 2 };

/// The first message on a link, from the process that opened it.
struct Hello {
  NodeRole role = NodeRole::kEntry;
  std::string vm;
  std::string data_centre;
  /// Where a replica accepts links, which is also its name in the group; empty for an entry.
  std::string cluster_address;
  /// Where a replica accepts orders and announcements, or an entry accepts callers.
  std::string service_address;
  /// Incarnation of a replica's disk; 0 for an entry.
  std::uint64_t incarnation = 0;
};

/// The addresses of a replica, as "ip:port".
struct ReplicaAddress {
  std::string cluster_address;
  /// Empty when it is not known.
  std::string service_address;
  /// Empty when it is not known.
  std::string data_centre;

  friend auto operator<=>(const ReplicaAddress&, const ReplicaAddress&) = default;
};

/// Replicas that the sender knows; the receiver connects to those that it did not know.
struct Replicas {
  std::vector<ReplicaAddress> replicas;
};

/// Messages between the members of the consensus group.
struct Consensus {
  std::vector<consensus::Message> messages;
};

struct AgedReport {
  upstreams::UpstreamReport report;
  /// Time since a process of the system received the announcement.
  base::Duration age{};
};

/// The latest reports of upstreams.
struct Reports {
  /// When it is not 0, the receiver repeats it in a `ReportsAck` once it has stored the reports.
  std::uint64_t ack_id = 0;
  std::vector<AgedReport> reports;
  /// Parts of the sender's table (`upstreams::TableDigests`) of which `reports` holds every
  /// upstream; present in the answer to a `ReportsRequest` only.
  std::optional<std::vector<std::uint8_t>> complete_parts;
};

/// Acknowledges `Reports`: the sender has stored them on disk and sent them to its entries.
struct ReportsAck {
  std::uint64_t ack_id = 0;
};

/// An announcement that changed nothing but the last-seen time.
struct Heartbeat {
  /// Id of the upstream.
  std::string id;
  /// When its run began, in milliseconds of its wall clock.
  std::int64_t started_unix_ms = 0;
  std::uint64_t sequence = 0;
};

struct Heartbeats {
  std::vector<Heartbeat> heartbeats;
};

/// The state that results from the committed orders, without the catalog's content.
struct OrderSummary {
  /// Log index of the newest order that changed the state.
  std::uint64_t changed_index = 0;
  std::uint64_t catalog_version = 0;
  /// The evacuated data centres.
  std::vector<std::string> evacuated;
};

/// The entries that are connected to the sender: all of them, or the changes since its last
/// message.
struct EntryNames {
  /// Whether `added` holds all connected entries.
  bool complete = false;
  std::vector<std::string> added;
  std::vector<std::string> removed;
};

/// Requests the reports of the parts in which the receiver's table differs from the sender's.
struct ReportsRequest {
  /// Digests of the parts of the sender's table (`upstreams::TableDigests`).
  std::vector<std::uint64_t> digests;
};

struct SilentUpstream {
  std::string id;
  /// Time since its last announcement.
  base::Duration silence{};
};

/// Lists the upstreams whose announcements have stopped. All other upstreams in the sender's table
/// have announced themselves within the last seconds.
struct UpstreamLiveness {
  /// Digest of the sender's whole table (`upstreams::TableDigests`).
  std::uint64_t digest = 0;
  std::vector<SilentUpstream> silent;
};

/// Entries' observations of upstreams. An entry sends them to the replica that it follows, which
/// forwards them to the replicas that merge them.
struct Observations {
  std::vector<observation::Observation> observations;
};

/// Conditions that follow from the observations. The replica that merges the observations of an
/// upstream sends its condition to the other replicas, and each replica to the entries that follow
/// it.
struct Conditions {
  std::vector<observation::Condition> conditions;
};

/// Requests during which upstreams crashed. An entry sends what it has observed; a replica sends
/// all changes to the other replicas, and the blocked requests to the entries that follow it.
struct Suspects {
  std::vector<safety::SuspectReport> reports;
};

/// Rate limits that upstreams name, or have stopped naming. An entry sends what it has observed; a
/// replica sends all changes to the other replicas and to the entries that follow it.
struct LimitReports {
  std::vector<limits::LimitReport> reports;
};

/// Tokens that a replica has issued since its last message; sent to the other replicas.
struct TokensIssued {
  std::vector<limits::IssuedTokens> tokens;
};

/// Keeps a link alive. The receiver answers it with an empty ping.
struct Ping {
  /// Whether the entry serves callers.
  bool ready = false;
  /// Whether the entry follows this replica, which then sends it the changes of all upstreams and
  /// entries. Other replicas report only upstreams that are draining or have left.
  bool follows = false;
  /// Log index of the newest order summary that the entry has applied. The replica sends its
  /// summary again while the entry is behind.
  std::uint64_t orders_index = 0;
  /// Version of the entry's catalog; 0 without one.
  std::uint64_t catalog_version = 0;
};

using distribution::CatalogPiece;
using distribution::CatalogRequest;
using limits::TokenAnswer;
using limits::TokenRequest;

/// The position of a type is its kind on the wire, so new types go to the end.
using Message = std::variant<Hello, Replicas, Consensus, Reports, ReportsAck, Heartbeats,
                             OrderSummary, EntryNames, CatalogRequest, CatalogPiece, Ping,
                             ReportsRequest, UpstreamLiveness, Observations, Conditions, Suspects,
                             LimitReports, TokenRequest, TokenAnswer, TokensIssued>;

}  // namespace wagtailpick::cluster
