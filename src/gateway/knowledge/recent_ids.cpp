#include "marjoramloom/gateway/knowledge/recent_ids.h"

#include <utility>

namespace marjoramloom {

auto recent_ids::note(std::uint64_t id, time_point now) -> void
{
    if (m_latest.size() >= CAPACITY || now - m_latestSince > LIFETIME) {
        m_earlier = std::exchange(m_latest, {});
        m_latestSince = now;
    }
    m_latest.insert(id);
}

auto recent_ids::contains(std::uint64_t id) const -> bool
{
    return m_latest.contains(id) || m_earlier.contains(id);
}

} // namespace marjoramloom
