#pragma once

#include "marjoramloom/core/clock.h"

#include <cstddef>

namespace marjoramloom {

/// Decides how long a router waits for further events of a stream before it reads and forwards them together.
///
/// It answers the load of a caller whose traffic reaches a single small router: reading, checking and writing an event
/// takes most of that router's processor time, and several at once take hardly more than one. A router with few
/// requests forwards each event as it arrives. Thread safe: stateless.
class event_batching
{
public:
    /// Wait of a router with \p running requests that may use \p cores CPU cores, for a stream whose events should
    /// follow each other within \p gapObjective. Precondition: \p cores is positive.
    [[nodiscard]] auto wait(std::size_t running, double cores, duration gapObjective) const -> duration;

    static constexpr duration MAX_WAIT = std::chrono::milliseconds(40);
    /// Up to this number of requests per CPU core, nothing waits.
    static constexpr double FREE_REQUESTS_PER_CORE = 250;
    /// From this number on, the wait is MAX_WAIT.
    static constexpr double FULL_REQUESTS_PER_CORE = 750;
    /// The wait is at most this fraction of the gap objective.
    static constexpr double MAX_GAP_FRACTION = 0.2;
};

} // namespace marjoramloom
