#pragma once

#include "marjoramloom/core/clock.h"

#include <algorithm>

namespace marjoramloom {

/// How far a router's only thread is behind with its work, from how late a timer fires.
///
/// The load it answers: one caller with the traffic of many reaches a single small router, which then reads requests
/// and answers seconds after they came. What such a router cannot look at in time it refuses, so that the caller turns
/// to another router. Not thread safe.
class loop_lag
{
public:
    /// Time between two firings of the timer.
    static constexpr duration PERIOD = std::chrono::milliseconds(50);
    /// Beyond this, new requests are refused. A processor with a quota may rest for up to a tenth of a second without
    /// being overloaded.
    static constexpr duration LIMIT = std::chrono::milliseconds(120);

    /// A router that was overloaded for this long takes no new connections until it was not for RECOVERY_TIME.
    static constexpr duration PATIENCE = std::chrono::milliseconds(400);
    static constexpr duration RECOVERY_TIME = std::chrono::milliseconds(1'000);

    /// The timer fired, or starts. Returns when it is to fire next.
    auto fire(time_point now) -> time_point
    {
        m_before = m_lateness;
        m_lateness = m_due == time_point() ? duration::zero() : std::max<duration>(now - m_due, duration::zero());
        m_due = now + PERIOD;
        if (m_lateness > LIMIT) {
            m_lastOverload = now;
            m_overloadedSince = std::min(m_overloadedSince, now - m_lateness);
        } else if (now - m_lastOverload > RECOVERY_TIME) {
            m_overloadedSince = time_point::max();
        }
        return m_due;
    }

    /// Whether new connections should go to other routers for now.
    [[nodiscard]] auto shouldRest(time_point now) const -> bool
    {
        return m_overloadedSince != time_point::max() && now - m_overloadedSince > PATIENCE;
    }

    /// Two measurements in a row beyond the limit. One alone is a pause of the machine, and over when it is seen.
    [[nodiscard]] auto isOverloaded(time_point now) const -> bool
    {
        const auto newest = now - m_due > LIMIT ? now - m_due : m_lateness;
        const auto before = now - m_due > LIMIT ? m_lateness : m_before;
        return m_due != time_point() && newest > LIMIT && before > LIMIT;
    }

private:
    time_point m_due{};
    duration m_lateness{};
    duration m_before{};
    time_point m_lastOverload{};
    time_point m_overloadedSince = time_point::max();
};

} // namespace marjoramloom
