#pragma once

#include <wagtailpick.pb.h>

#include <string>

#include "base/result.h"

namespace wagtailpick::entry {

/// Reads the JSON body of `POST /v1/announce`. Fails with `kInvalidArgument` and the name of the
/// first wrong field.
base::Result<rpc::AnnounceRequest> ParseAnnouncement(const std::string& body);

}  // namespace wagtailpick::entry
