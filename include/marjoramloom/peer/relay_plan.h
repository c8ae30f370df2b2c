#pragma once

#include "marjoramloom/peer/member.h"

#include <vector>

namespace marjoramloom {

/// Whom a router tells of news, so that all routers of the fleet hear it over the links that are held anyway.
///
/// News of this router itself or from another data centre goes to the members of the own data centre; news of the own
/// data centre goes from each gateway on to its counterpart. So it takes three hops at most, and no data centre sends
/// on what it heard from another one to a third. \p heardFrom is 0 for this router's own news. Thread safe.
auto relayTargets(const std::vector<member> &live, const member &self, incarnation_id heardFrom)
    -> std::vector<incarnation_id>;

/// The counterparts of this router in the data centres to which it is the gateway. Thread safe.
auto counterparts(const std::vector<member> &live, const member &self) -> std::vector<member>;

} // namespace marjoramloom
