#include "marjoramloom/gateway/decisions/event_batching.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

auto event_batching::wait(std::size_t running, double cores, duration gapObjective) const -> duration
{
    assert(cores > 0);
    const auto perCore = static_cast<double>(running) / cores;
    const auto pressure = (perCore - FREE_REQUESTS_PER_CORE) / (FULL_REQUESTS_PER_CORE - FREE_REQUESTS_PER_CORE);
    if (pressure <= 0) {
        return duration::zero();
    }
    const auto wait = toSeconds(MAX_WAIT) * std::min(pressure, 1.0);
    return fromSeconds(std::min(wait, toSeconds(gapObjective) * MAX_GAP_FRACTION));
}

} // namespace marjoramloom
