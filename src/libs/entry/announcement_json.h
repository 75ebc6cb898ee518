#pragma once

#include <wagtailpick.pb.h>

#include <string>

#include "base/result.h"

namespace wagtailpick::entry {

/// Parses the JSON body of `POST /v1/announce`. Fails with `kInvalidArgument`; the message names
/// the first invalid field.
base::Result<rpc::AnnounceRequest> ParseAnnouncement(const std::string& body);

}  // namespace wagtailpick::entry
