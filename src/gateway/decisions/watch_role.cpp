#include "marjoramloom/gateway/decisions/watch_role.h"

namespace marjoramloom {

watch_role::watch_role(time_point now)
    : m_lastUpToDate(now)
{
}

auto watch_role::noteRoutersKnown(time_point now) -> void
{
    m_routersKnown = true;
    m_lastUpToDate = now;
}

auto watch_role::noteUpToDate(time_point now) -> void
{
    m_lastUpToDate = now;
    m_cutOffReports = 0;
}

auto watch_role::noteWatcherCutOff() -> bool
{
    return ++m_cutOffReports <= WATCHER_COUNT;
}

auto watch_role::isDesignated(router_roster &roster, time_point now) const -> bool
{
    auto routersAhead = std::size_t(0);
    for (const auto id : roster.watchOrder()) {
        if (id == roster.self()) {
            break;
        }
        routersAhead += roster.isResponsive(id, now) ? 1 : 0;
    }
    return m_routersKnown && routersAhead < WATCHER_COUNT;
}

auto watch_role::shouldWatch(router_roster &roster, time_point now) -> bool
{
    const auto isOutOfDate = now - m_lastUpToDate > MAX_UPDATE_AGE || m_cutOffReports >= WATCHER_COUNT;
    if (isDesignated(roster, now) || isOutOfDate) {
        m_watchingSince = m_watchingSince ? m_watchingSince : now;
        return true;
    }
    if (m_watchingSince && now - *m_watchingSince < MIN_WATCH_TIME) {
        return true;
    }
    m_watchingSince.reset();
    return false;
}

} // namespace marjoramloom
