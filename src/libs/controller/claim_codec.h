#pragma once

#include <wagtailpick.pb.h>

#include <string>

#include "base/result.h"
#include "claims/claim_messages.h"
#include "claims/record.h"

namespace wagtailpick::controller {

/// Converts claim records and messages to and from their form on the wire and on disk. What comes
/// in is checked: fields of a wrong length fail with `kInvalidArgument`.
rpc::ClaimRecord ToWire(const claims::Record& record);
base::Result<claims::Record> FromWire(const rpc::ClaimRecord& wire);

base::Result<claims::ClaimRequest> FromWire(const rpc::ClaimRequest& wire);
rpc::ClaimReply ToWire(const claims::ClaimReply& reply);

base::Result<claims::CompleteRequest> FromWire(const rpc::CompleteRequest& wire);
base::Result<claims::ReleaseRequest> FromWire(const rpc::ReleaseRequest& wire);

rpc::CopyRequest ToWire(const claims::CopyRequest& request);
claims::CopyRequest FromWire(const rpc::CopyRequest& wire);
rpc::CopyReply ToWire(const claims::CopyPage& page);
base::Result<claims::CopyPage> FromWire(const rpc::CopyReply& wire);

}  // namespace wagtailpick::controller
