#include "marjoramloom/gateway/knowledge/server_evidence.h"

#include "marjoramloom/store/store_revision.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

auto server_evidence::addEntry(const listed_server &entry, time_point now) -> bool
{
    assert(!m_newest || m_newest->id == entry.id);
    if (!m_newest || entry.startUnixMs > m_newest->startUnixMs) {
        replaceNewest(entry, entry.draining);
        return true;
    }
    if (entry.startUnixMs < m_newest->startUnixMs) {
        return addEarlier(entry, now);
    }
    const auto isDraining = entry.draining || m_newest->draining;
    if (entry.revision >= m_newest->revision) {
        replaceNewest(entry, isDraining);
        return true;
    }
    const auto startsDraining = isDraining && !m_newest->draining;
    if (startsDraining) {
        replaceNewest(*m_newest, isDraining);
    }
    return startsDraining;
}

auto server_evidence::addRemoval(std::uint64_t revision) -> void
{
    m_removedRevision = std::max(m_removedRevision.value_or(0), revision);
}

auto server_evidence::newest() const -> const server_ptr &
{
    return m_newest;
}

auto server_evidence::isListed() const -> bool
{
    return m_newest && (!m_removedRevision || m_newest->revision > *m_removedRevision);
}

auto server_evidence::wasRemovedBefore(const listed_server &entry) const -> bool
{
    return m_newest && !isListed() && m_newest->isSameIncarnation(entry)
        && eraOf(*m_removedRevision) < eraOf(entry.revision);
}

auto server_evidence::addEarlier(const listed_server &entry, time_point now) -> bool
{
    if (entry.revision <= m_newest->revision) {
        return false; // The newest incarnation has written its entry since.
    }
    if (!m_earlier || m_earlier->startUnixMs != entry.startUnixMs) {
        m_earlier = { .startUnixMs = entry.startUnixMs,
                      .firstRevision = entry.revision,
                      .firstArrival = now,
                      .draining = entry.draining };
        return false;
    }
    m_earlier->draining = m_earlier->draining || entry.draining;
    if (entry.revision <= m_earlier->firstRevision || now - m_earlier->firstArrival < EARLIER_START_TIME) {
        return false;
    }
    replaceNewest(entry, m_earlier->draining);
    return true;
}

auto server_evidence::replaceNewest(listed_server entry, bool draining) -> void
{
    entry.draining = draining;
    m_newest = std::make_shared<const listed_server>(std::move(entry));
    m_earlier.reset();
}

} // namespace marjoramloom
