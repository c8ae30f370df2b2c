#pragma once

#include "marjoramloom/core/boot_clock.h"
#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/server_log.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace marjoramloom {

/// What a router that does not watch the store asks one that does.
struct store_question
{
    std::uint64_t number = 0;
    std::uint64_t serversRevision = 0; ///< The asking router has the backend servers up to here.
};

/// What a router knows of the store, told to another one.
struct store_news
{
    std::uint64_t number = 0; ///< Of the question; 0 where nobody asked.
    /// Time since the newest read began that showed configurationRevision to be the newest; nothing without such a
    /// read.
    std::optional<std::chrono::milliseconds> proofAge;
    std::uint64_t configurationRevision = 0; ///< 0 before the first configuration.
    std::uint64_t serversAfter = 0; ///< The changes follow on this revision of the list of backend servers.
    std::uint64_t serversRevision = 0; ///< And lead up to this one.
    std::vector<server_change> changes;
    bool storeLost = false;
    std::chrono::milliseconds renewalLeft{ 0 }; ///< Lapsed entries may still be renewed for so long.
};

} // namespace marjoramloom
