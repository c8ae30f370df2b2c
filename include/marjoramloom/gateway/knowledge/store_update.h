#pragma once

#include "marjoramloom/core/boot_clock.h"
#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/knowledge/evacuated_data_centres.h"
#include "marjoramloom/gateway/knowledge/server_change_log.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// Query of a router that does not watch the store to one that does.
struct store_query
{
    std::uint64_t number = 0; ///< Repeated in the update that answers the query.
    std::uint64_t serversRevision = 0; ///< Revision of the querying router's list of backend servers.
    std::uint64_t configurationRevision = 0; ///< Of its configuration; 0 if it has none, and is to get none.
    bool statesEras = true; ///< The revisions have eras; routers of an earlier version know of none.
};

/// What a router knows of the store's contents, as sent to another router.
struct store_update
{
    std::uint64_t number = 0; ///< Of the query that this answers; 0 for an unsolicited update.
    /// Time since the start of the latest read that showed configurationRevision to be the newest; nothing if there was
    /// none within the keys' lifetime.
    std::optional<std::chrono::milliseconds> validationAge;
    std::uint64_t configurationRevision = 0; ///< 0 before a configuration was read.
    /// The configuration as stored, if the receiver has an older one and it fits into a datagram.
    std::optional<std::string> configuration;
    std::uint64_t serversBaseRevision = 0; ///< The changes start after this revision of the list of backend servers.
    std::uint64_t serversRevision = 0; ///< Revision of the list after the changes.
    std::vector<server_change> changes;
    /// Time since the start of the latest read that showed serversRevision to be the newest; nothing if that is longer
    /// ago than the list is relied on, or if more changes follow.
    std::optional<std::chrono::milliseconds> listAge = std::nullopt;
    bool storeLost = false; ///< The sender gets no answers from the store.
    std::chrono::milliseconds answerAge{ 0 }; ///< Time since the store last answered the sender itself.
    std::chrono::milliseconds renewalLeft{ 0 }; ///< How much longer expired entries may be renewed.
    std::optional<evacuation_set> evacuations = std::nullopt; ///< Nothing if the sender does not know them.
    bool statesEras = true; ///< The revisions have eras; routers of an earlier version know of none.
};

} // namespace marjoramloom
