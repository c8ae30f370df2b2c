#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/share/ticket.h"

#include <cstdint>
#include <string>

namespace marjoramloom {

/// A router as this one knows it.
struct member
{
    incarnation_id incarnation = 0;
    std::string instance;
    std::string dataCentre;
    std::string region;
    std::string peerAddress; ///< IP:port.
    std::uint64_t configurationSequence = 0;
    std::uint64_t beat = 0; ///< Heartbeats of this incarnation so far, as it counts them itself.
    bool leaving = false;
    bool ready = false;
    bool direct = false; ///< Heard on its own link, not through another member.
    duration age{}; ///< Since it was last heard.
};

/// A new identity for this run of the process: milliseconds since 1970, then 20 random bits. Later runs have higher
/// ones, unless the machine's wall clock went back in between. Thread safe.
auto makeIncarnation() -> incarnation_id;

} // namespace marjoramloom
