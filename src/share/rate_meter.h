#pragma once

#include "marjoramloom/core/clock.h"

#include <algorithm>
#include <cmath>

namespace marjoramloom {

/// Events or amounts a second over the last seconds, by exponential decay. Not thread safe.
class rate_meter
{
public:
    auto add(time_point now, double amount = 1) -> void
    {
        m_count = decayed(now) + amount;
        m_started = m_started == time_point() ? now : m_started;
        m_last = now;
    }

    /// Sum a second; 0 before the first.
    [[nodiscard]] auto perSecond(time_point now) const -> double
    {
        const auto observed = std::chrono::duration<double>(now - m_started).count();
        const auto window = std::min(memorySeconds, std::max(observed, 1.0));
        return decayed(now) / window;
    }

private:
    static constexpr auto memorySeconds = 5.0;

    [[nodiscard]] auto decayed(time_point now) const -> double
    {
        return m_count * std::exp(-std::chrono::duration<double>(now - m_last).count() / memorySeconds);
    }

    double m_count = 0;
    time_point m_started;
    time_point m_last;
};

} // namespace marjoramloom
