#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/knowledge/router_roster.h"

#include <optional>

namespace marjoramloom {

/// Decides whether a router watches the platform's store itself or queries another router of its data centre.
///
/// The number of calls to the store must stay small; it would grow with the fleet and with each change if every router
/// watched. Therefore the first routers of a common order watch in each data centre, and the others query them. A
/// router that gets no current updates, or hears from as many watchers as there should be that they
/// get no answers, watches the store itself, whatever the order says, so no router depends on one
/// that is suspended, partitioned or cut off from the store. Not thread safe.
class watch_role
{
public:
    /// Designated watchers in each data centre; the second one is a standby.
    static constexpr std::size_t WATCHER_COUNT = 2;
    /// A router without an update for this long is out of date: at least two further queries went unanswered.
    static constexpr duration MAX_UPDATE_AGE = std::chrono::milliseconds(1'300);
    /// A router that began to watch continues for at least this long.
    static constexpr duration MIN_WATCH_TIME = std::chrono::milliseconds(4'000);

    /// The router counts as up to date at \p now.
    explicit watch_role(time_point now);

    /// The other routers were read from the store; before that this router is not designated.
    auto noteRoutersKnown(time_point now) -> void;

    /// This router applied a current update of another router.
    auto noteUpToDate(time_point now) -> void;

    /// A watcher reported that it gets no answers from the store. Returns whether the next watcher should be queried,
    /// or the store be watched, without delay.
    auto noteWatcherCutOff() -> bool;

    /// Whether this router is one of the designated watchers: the first routers of the order that answer.
    [[nodiscard]] auto isDesignated(router_roster &roster, time_point now) const -> bool;

    /// Whether this router has to watch the store now.
    [[nodiscard]] auto shouldWatch(router_roster &roster, time_point now) -> bool;

private:
    time_point m_lastUpToDate;
    std::size_t m_cutOffReports = 0; ///< Since the last current update.
    bool m_routersKnown = false;
    std::optional<time_point> m_watchingSince; ///< Set while this router watches.
};

} // namespace marjoramloom
