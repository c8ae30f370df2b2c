#pragma once

#include "marjoramloom/core/clock.h"

#include <algorithm>
#include <cmath>

namespace marjoramloom {

/// Recent rate of events or amounts per second, with exponential decay. Not thread safe.
class rate_meter
{
public:
    auto add(time_point now, double amount = 1) -> void
    {
        m_decayedSum = decayedSum(now) + amount;
        m_firstEvent = m_firstEvent == time_point() ? now : m_firstEvent;
        m_lastEvent = now;
    }

    /// Amount per second; 0 before the first event.
    [[nodiscard]] auto perSecond(time_point now) const -> double
    {
        const auto observed = std::chrono::duration<double>(now - m_firstEvent).count();
        const auto window = std::min(decaySeconds, std::max(observed, 1.0));
        return decayedSum(now) / window;
    }

private:
    static constexpr auto decaySeconds = 5.0;

    [[nodiscard]] auto decayedSum(time_point now) const -> double
    {
        return m_decayedSum * std::exp(-std::chrono::duration<double>(now - m_lastEvent).count() / decaySeconds);
    }

    double m_decayedSum = 0;
    time_point m_firstEvent;
    time_point m_lastEvent;
};

} // namespace marjoramloom
