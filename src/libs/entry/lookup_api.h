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

  /// Returns the entries to use in order of preference, the seeds and the answer's lifetime in
  /// milliseconds; an error answer if the query is invalid, the service is unknown or there is no
  /// session yet.
  http::Response Answer(const http::Request& request) const;

 private:
  std::string vm_;
  const Session& session_;
};

}  // namespace wagtailpick::entry
