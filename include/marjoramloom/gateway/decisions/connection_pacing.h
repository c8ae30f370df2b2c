#pragma once

#include "marjoramloom/core/clock.h"

#include <cstddef>
#include <limits>

namespace marjoramloom {

/// Decides how many new connections a router accepts while its event loop falls behind.
///
/// A caller with much traffic may reach a router that has too little processor time for it. A router that accepts all
/// of it serves every request late, and one that then refuses everything serves none for seconds. This limits the rate
/// of new connections to what the event loop serves in time: the limit falls while the loop is late and grows while it
/// is not. Connections beyond it are closed unread, so that their callers may retry at once. Not thread safe.
class connection_pacing
{
public:
    /// Time between two adjustments of the limit.
    static constexpr duration PERIOD = std::chrono::milliseconds(200);
    /// A timer that fires later than this is late.
    static constexpr duration MAX_DELAY = std::chrono::milliseconds(20);
    /// A timer that fires later than this is very late, so that the limit falls faster.
    static constexpr duration LONG_DELAY = std::chrono::milliseconds(60);
    /// Connections a second that are accepted in any case, unless setMinRate() sets another number.
    static constexpr double MIN_RATE = 20;
    /// Longer periods are those of a process that was suspended, which say nothing about its load.
    static constexpr duration MAX_PERIOD = std::chrono::seconds(1);
    /// A limit that no connection has met for this long is lifted.
    static constexpr duration LIFT_TIME = std::chrono::seconds(2);
    /// Refusals further apart than this count as separate ones.
    static constexpr duration MAX_REFUSAL_GAP = std::chrono::milliseconds(500);

    /// Sets the connections a second that are accepted in any case. Precondition: \p perSecond is positive.
    auto setMinRate(double perSecond) -> void;

    /// Call whenever the event loop's timer fires, with its delay.
    auto onTimer(duration delay, time_point now) -> void;

    /// Whether the next new connection is accepted. Call once for each.
    [[nodiscard]] auto mayAccept(time_point now) -> bool;

    /// How long connections have been refused without a longer interruption; 0 if they are not.
    [[nodiscard]] auto refusingFor(time_point now) const -> duration;

    /// Connections a second that are accepted; infinite without a limit.
    [[nodiscard]] auto limit() const -> double;

private:
    auto adjust(time_point now) -> void;

    double m_minRate = MIN_RATE;
    double m_limit = std::numeric_limits<double>::infinity();
    double m_tokens = 0;
    time_point m_lastRefill{};
    time_point m_periodStart{};
    std::size_t m_timers = 0;
    std::size_t m_lateTimers = 0;
    std::size_t m_veryLateTimers = 0;
    std::size_t m_accepted = 0; ///< In this period.
    time_point m_refusingSince{};
    time_point m_lastRefusal{};
};

} // namespace marjoramloom
