#include "marjoramloom/gateway/key_freshness.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

key_freshness::key_freshness(std::chrono::milliseconds lifetime)
    : m_lifetime(lifetime)
{
    assert(lifetime.count() > 0);
}

auto key_freshness::setLifetime(std::chrono::milliseconds lifetime) -> void
{
    assert(lifetime.count() > 0);
    m_lifetime = lifetime;
}

auto key_freshness::noteProof(boot_time askedAt) -> void
{
    m_provedAt = std::max(m_provedAt, askedAt);
}

auto key_freshness::holds(boot_time now) const -> bool
{
    return m_provedAt != boot_time::min() && now - m_provedAt < m_lifetime;
}

auto key_freshness::age(boot_time now) const -> boot_clock::duration
{
    return m_provedAt == boot_time::min() ? boot_clock::duration::max() : now - m_provedAt;
}

} // namespace marjoramloom
