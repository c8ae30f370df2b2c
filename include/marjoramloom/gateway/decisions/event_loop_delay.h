#pragma once

#include "marjoramloom/core/clock.h"

#include <algorithm>

namespace marjoramloom {

/// Measures the event loop delay of a router's only thread, from how late a periodic timer fires.
///
/// It protects against a caller with very high traffic that reaches a single small router, which then reads requests
/// and answers seconds after they arrive. Such a router refuses requests, so that the caller switches to another one.
/// Not thread safe.
class event_loop_delay
{
public:
    /// Period of the timer.
    static constexpr duration PERIOD = std::chrono::milliseconds(50);
    /// Delay beyond which new requests are refused. A CPU quota may suspend the process for up to 100 ms without an
    /// overload.
    static constexpr duration MAX_DELAY = std::chrono::milliseconds(120);

    /// A router that was overloaded for this long refuses new connections for RECOVERY_TIME.
    static constexpr duration OVERLOAD_DURATION = std::chrono::milliseconds(400);
    /// The load balancer returns a caller to the same router as soon as that is ready. This is longer than a burst of
    /// traffic, so that callers too large for the router end up at a larger one.
    static constexpr duration RECOVERY_TIME = std::chrono::seconds(30);
    /// Delays beyond MAX_DELAY that are further apart than this count as separate pauses, not as one overload.
    static constexpr duration MAX_OVERLOAD_GAP = std::chrono::milliseconds(1'000);

    /// Call when the timer starts and whenever it fires. Returns the time at which it has to fire next.
    auto onTimer(time_point now) -> time_point
    {
        m_previousDelay = m_lastDelay;
        m_lastDelay =
            m_nextFiring == time_point() ? duration::zero() : std::max<duration>(now - m_nextFiring, duration::zero());
        m_nextFiring = now + PERIOD;
        if (m_lastDelay > MAX_DELAY) {
            noteOverload(now);
        }
        return m_nextFiring;
    }

    /// Delay of the timer when it last fired.
    [[nodiscard]] auto lastDelay() const -> duration
    {
        return m_lastDelay;
    }

    /// Records that the router refuses some connections because all of them would delay its event loop.
    auto noteCapacityExceeded(time_point now) -> void
    {
        m_refuseConnectionsUntil = now + RECOVERY_TIME;
    }

    /// Whether new connections should be refused, so that they go to other routers.
    [[nodiscard]] auto shouldRefuseConnections(time_point now) const -> bool
    {
        return now <= m_refuseConnectionsUntil;
    }

    /// Whether the last two delays were both beyond MAX_DELAY. A single one comes from a pause of the machine, which is
    /// over by the time it is measured.
    [[nodiscard]] auto isOverloaded(time_point now) const -> bool
    {
        const auto newest = now - m_nextFiring > MAX_DELAY ? now - m_nextFiring : m_lastDelay;
        const auto previous = now - m_nextFiring > MAX_DELAY ? m_lastDelay : m_previousDelay;
        return m_nextFiring != time_point() && newest > MAX_DELAY && previous > MAX_DELAY;
    }

private:
    auto noteOverload(time_point now) -> void
    {
        if (now - m_lastOverload > MAX_OVERLOAD_GAP) {
            m_overloadedSince = now;
        }
        m_lastOverload = now;
        if (now - m_overloadedSince >= OVERLOAD_DURATION) {
            m_refuseConnectionsUntil = now + RECOVERY_TIME;
        }
    }

    time_point m_nextFiring{};
    duration m_lastDelay{};
    duration m_previousDelay{};
    time_point m_lastOverload{};
    time_point m_overloadedSince{};
    time_point m_refuseConnectionsUntil{};
};

} // namespace marjoramloom
