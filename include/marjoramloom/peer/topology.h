#pragma once

#include "marjoramloom/peer/membership.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Inputs that determine which links a router keeps open.
struct topology_input
{
    const membership &routers;
    const std::vector<std::string> &seeds; ///< Addresses from the settings.
    /// Time of the last message to or from each member.
    const std::unordered_map<incarnation_id, time_point> &lastMessageAt;
    /// A link that is needed only for messages is closed after this idle time.
    duration idleTimeout = std::chrono::seconds(30);
};

/// Returns the addresses to which this router itself needs a link.
///
/// These are all members of this data centre; one member of each other data centre to which this router is the gateway;
/// members to or from which a message was sent lately; and addresses whose member is not known yet. Thread safe.
auto requiredLinkAddresses(const topology_input &input, time_point now) -> std::set<std::string>;

} // namespace marjoramloom
