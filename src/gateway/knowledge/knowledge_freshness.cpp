#include "marjoramloom/gateway/knowledge/knowledge_freshness.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

knowledge_freshness::knowledge_freshness(std::chrono::milliseconds lifetime)
    : m_lifetime(lifetime)
{
    assert(lifetime.count() > 0);
}

auto knowledge_freshness::setLifetime(std::chrono::milliseconds lifetime) -> void
{
    assert(lifetime.count() > 0);
    m_lifetime = lifetime;
}

auto knowledge_freshness::noteValidation(boot_time readStartedAt) -> void
{
    m_validatedAt = std::max(m_validatedAt, readStartedAt);
}

auto knowledge_freshness::isFresh(boot_time now) const -> bool
{
    return m_validatedAt != boot_time::min() && now - m_validatedAt < m_lifetime;
}

auto knowledge_freshness::age(boot_time now) const -> boot_clock::duration
{
    return m_validatedAt == boot_time::min() ? boot_clock::duration::max() : now - m_validatedAt;
}

} // namespace marjoramloom
