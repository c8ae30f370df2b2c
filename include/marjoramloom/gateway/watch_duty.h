#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/router_roster.h"

#include <optional>

namespace marjoramloom {

/// Decides whether a router watches the platform's store itself or asks a neighbour.
///
/// The load it answers: calls to the store are counted, and a watch by every router grows with the fleet and with each
/// change. In each data centre the first routers of an order watch; the others ask them. A router that gets no current
/// news watches itself, whatever the order says, so none depends on a router that is frozen, cut off or turned away.
/// Not thread safe.
class watch_duty
{
public:
    /// Routers of a data centre that watch: one in reserve.
    static constexpr std::size_t WATCHERS = 2;
    /// News older than this are not current: the next question, and one more, went unanswered.
    static constexpr duration NEWS_LIMIT = std::chrono::milliseconds(1'300);
    /// A router that began to watch goes on for this long at least.
    static constexpr duration LEAST_WATCH = std::chrono::milliseconds(4'000);

    explicit watch_duty(time_point now);

    /// The other routers are known.
    auto noteJoined(time_point now) -> void;

    /// Another router told everything that is current, and this router has taken it over.
    auto noteCurrent(time_point now) -> void;

    /// Whether the order of the routers that answer has this one watch.
    [[nodiscard]] auto isOnDuty(router_roster &roster, time_point now) const -> bool;

    /// Whether this router is to watch.
    [[nodiscard]] auto watches(router_roster &roster, time_point now) -> bool;

private:
    time_point m_lastCurrent;
    bool m_joined = false;
    std::optional<time_point> m_since; ///< Set while this router watches.
};

} // namespace marjoramloom
