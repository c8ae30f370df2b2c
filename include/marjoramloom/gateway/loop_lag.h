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

    /// A router that was overloaded for this long takes no new connections for RECOVERY_TIME.
    static constexpr duration PATIENCE = std::chrono::milliseconds(400);
    /// The balancer gives a caller to the same router again as soon as that is ready, so one that is too small for its
    /// callers stays away for longer than a wave of their traffic, and they come to a larger one in the end.
    static constexpr duration RECOVERY_TIME = std::chrono::seconds(30);
    /// Measurements beyond the limit that are further apart belong to two pauses, not to one overload.
    static constexpr duration EPISODE_GAP = std::chrono::milliseconds(1'000);

    /// The timer fired, or starts. Returns when it is to fire next.
    auto fire(time_point now) -> time_point
    {
        m_before = m_lateness;
        m_lateness = m_due == time_point() ? duration::zero() : std::max<duration>(now - m_due, duration::zero());
        m_due = now + PERIOD;
        if (m_lateness > LIMIT) {
            noteOverload(now);
        }
        return m_due;
    }

    /// Whether new connections should go to other routers for now.
    [[nodiscard]] auto shouldRest(time_point now) const -> bool
    {
        return now <= m_restsUntil;
    }

    /// Two measurements in a row beyond the limit. One alone is a pause of the machine, and over when it is seen.
    [[nodiscard]] auto isOverloaded(time_point now) const -> bool
    {
        const auto newest = now - m_due > LIMIT ? now - m_due : m_lateness;
        const auto before = now - m_due > LIMIT ? m_lateness : m_before;
        return m_due != time_point() && newest > LIMIT && before > LIMIT;
    }

private:
    auto noteOverload(time_point now) -> void
    {
        if (now - m_lastOverload > EPISODE_GAP) {
            m_overloadedSince = now;
        }
        m_lastOverload = now;
        if (now - m_overloadedSince >= PATIENCE) {
            m_restsUntil = now + RECOVERY_TIME;
        }
    }

    time_point m_due{};
    duration m_lateness{};
    duration m_before{};
    time_point m_lastOverload{};
    time_point m_overloadedSince{};
    time_point m_restsUntil{};
};

} // namespace marjoramloom
