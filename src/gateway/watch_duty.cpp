#include "marjoramloom/gateway/watch_duty.h"

namespace marjoramloom {

watch_duty::watch_duty(time_point now)
    : m_lastCurrent(now)
{
}

auto watch_duty::noteJoined(time_point now) -> void
{
    m_joined = true;
    m_lastCurrent = now;
}

auto watch_duty::noteCurrent(time_point now) -> void
{
    m_lastCurrent = now;
}

auto watch_duty::isOnDuty(router_roster &roster, time_point now) const -> bool
{
    auto ahead = std::size_t(0);
    for (const auto id : roster.watchOrder()) {
        if (id == roster.self()) {
            break;
        }
        ahead += roster.isResponsive(id, now) ? 1 : 0;
    }
    return m_joined && ahead < WATCHERS;
}

auto watch_duty::watches(router_roster &roster, time_point now) -> bool
{
    const auto isUninformed = now - m_lastCurrent > NEWS_LIMIT;
    if (isOnDuty(roster, now) || isUninformed) {
        m_since = m_since ? m_since : now;
        return true;
    }
    if (m_since && now - *m_since < LEAST_WATCH) {
        return true;
    }
    m_since.reset();
    return false;
}

} // namespace marjoramloom
