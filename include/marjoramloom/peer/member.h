#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/share/ticket.h"

#include <cstdint>
#include <string>

namespace marjoramloom {

/// State of a router as this router knows it.
struct member
{
    incarnation_id incarnation = 0;
    std::string instance;
    std::string dataCentre;
    std::string region;
    std::string peerAddress; ///< IP:port.
    std::uint64_t configurationSequence = 0;
    std::uint64_t heartbeatCount = 0; ///< Number of heartbeats of this incarnation, counted by the member itself.
    bool leaving = false;
    bool ready = false;
    bool heardDirectly = false; ///< Heartbeats arrive over its own link, not through another member.
    duration age{}; ///< Time since the last heartbeat.
};

/// Returns a new identity for this process: milliseconds since 1970, followed by 20 random bits. Later starts have
/// higher numbers, unless the wall clock went back in between. Thread safe.
auto makeIncarnation() -> incarnation_id;

} // namespace marjoramloom
