#pragma once

#include "marjoramloom/peer/membership.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// What decides which links a router holds.
struct topology_input
{
    const membership &routers;
    const std::vector<std::string> &seeds; ///< Addresses from the settings.
    const std::unordered_map<incarnation_id, time_point> &used; ///< When messages last went to or came from a member.
    duration idleTimeout = std::chrono::seconds(30); ///< A link that nothing else needs is closed after it.
};

/// Addresses of the peers to hold a link to, for reasons of this router's own.
///
/// Every member of the own data centre; of each other data centre one, and only where this router is the gateway to it;
/// whoever a message went to lately; and addresses behind which no live member is known yet. Thread safe.
auto wantedAddresses(const topology_input &input, time_point now) -> std::set<std::string>;

} // namespace marjoramloom
