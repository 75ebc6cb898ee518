#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::controller {

/// Settings of the control role.
struct ControllerOptions {
  /// Name of this VM.
  std::string vm;
  /// Position of this replica in `replicas`, counted from 1.
  std::uint64_t replica_id = 1;
  /// Addresses of all control replicas, this one included.
  std::vector<std::string> replicas;
  std::string data_folder;
  /// The claim log is not rewritten below this size in bytes: a rewrite would save too little to
  /// justify its syncs.
  std::uint64_t claim_log_rewrite_bytes = std::uint64_t{64} << 20;
  /// Hexadecimal public keys whose bundles are accepted.
  std::vector<std::string> operator_keys;
};

}  // namespace wagtailpick::controller
