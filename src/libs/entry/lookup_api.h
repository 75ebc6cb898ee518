#pragma once

#include <string>

#include "entry/session.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// Answers `GET /v1/lookup` from the newest view. Runs on the HTTP server's threads.
class LookupApi {
 public:
  /// `vm` is the entry's own name.
  LookupApi(std::string vm, const Session& session);

  /// Returns the answer to a lookup: entries to use, seeds and the answer's lifetime.
  http::Response Answer(const http::Request& request) const;

 private:
  std::string vm_;
  const Session& session_;
};

}  // namespace wagtailpick::entry
