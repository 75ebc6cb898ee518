#pragma once

#include <string>
#include <vector>

namespace wagtailpick::limits {

/// A replica that can be reached and may issue tokens.
struct Issuer {
  std::string name;
  /// Whether it is in the region of the upstream. A token is then a short way from the entries that
  /// send most of the upstream's requests.
  bool near_upstream = false;
};

/// Returns the name of the replica that issues the tokens of `upstream`: by rendezvous hashing
/// among those near it, or among all if none is near. Empty without replicas. All entries that
/// reach the same replicas choose the same one.
std::string ChooseIssuer(const std::string& upstream, const std::vector<Issuer>& issuers);

}  // namespace wagtailpick::limits
