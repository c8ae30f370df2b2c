#include "marjoramloom/gateway/knowledge/store_contact.h"

#include <algorithm>

namespace marjoramloom {

auto store_contact::noteAnswer(boot_time now) -> void
{
    noteInterval({ .since = now, .until = now });
}

auto store_contact::noteInterval(const interval &answered) -> void
{
    if (!m_latest || answered.since > m_latest->until + MAX_GAP) {
        m_latest = answered;
        return;
    }
    if (answered.until + MAX_GAP < m_latest->since) {
        return; // It ended before the latest interval began.
    }
    m_latest->since = std::min(m_latest->since, answered.since);
    m_latest->until = std::max(m_latest->until, answered.until);
}

auto store_contact::latest() const -> const std::optional<interval> &
{
    return m_latest;
}

} // namespace marjoramloom
