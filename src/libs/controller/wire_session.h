#pragma once

#include <wagtailpick.pb.h>

#include <vector>

#include "base/result.h"
#include "control/session.h"
#include "control/shares.h"

namespace wagtailpick::controller {

/// Converts the session in a renewal; `id` is 0. Fails with `kInvalidArgument` on malformed
/// addresses.
base::Result<control::Session> ToSession(const rpc::RenewRequest& request);

/// Returns whether an open session has the incarnation, draining flag and data centre of the
/// renewal. The caller has already matched the VM.
bool MatchesSession(const control::Session& session, const rpc::RenewRequest& request);

/// Fills the view of a session that is sent to all entries, except for its region.
void FillMember(const control::Session& session, rpc::Member& member);

/// Converts the shares that a renewal requests, in the order of the request.
std::vector<control::ServiceShare> ToDemands(const rpc::RenewRequest& request);

/// Fills `grant` with a granted share.
void FillGrant(const control::ServiceShare& share, rpc::ShareGrant& grant);

}  // namespace wagtailpick::controller
