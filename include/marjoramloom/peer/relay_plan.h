#pragma once

#include "marjoramloom/peer/member.h"

#include <vector>

namespace marjoramloom {

/// Returns the routers to which a router forwards an update, so that it reaches the whole fleet over links that are
/// open anyway.
///
/// An update of this router itself or from another data centre is sent to the members of this data centre. An update of
/// this data centre is also sent from each gateway to its counterpart. An update therefore takes at most three hops,
/// and a data centre does not forward what it received from another one to a third. \p receivedFrom is the sender, or 0
/// for an update of this router itself. Thread safe.
auto relayTargets(const std::vector<member> &live, const member &self, incarnation_id receivedFrom)
    -> std::vector<incarnation_id>;

/// Returns the counterparts of this router: in each data centre to which this router is the gateway, the gateway that
/// leads back. Prefers routers that are heard directly. Thread safe.
auto counterparts(const std::vector<member> &live, const member &self) -> std::vector<member>;

} // namespace marjoramloom
