#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <limits>

namespace marjoramloom {

/// Size and time limits of the connections of one listener.
struct http_limits
{
    std::uint32_t bodyBytes = 4U << 20U;
    std::uint32_t headerBytes = 32U << 10U;
    duration headerTimeout = std::chrono::seconds(10); ///< From the first byte of a request to its last.
    duration idleTimeout = std::chrono::seconds(60); ///< Between two requests, and for one write.
    /// If more connections than this are open, each one is closed after its next answer.
    std::size_t maxKeepAliveConnections = std::numeric_limits<std::size_t>::max();
    /// If this many connections are open, a new one takes the place of an idle one, or is closed.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
};

} // namespace marjoramloom
