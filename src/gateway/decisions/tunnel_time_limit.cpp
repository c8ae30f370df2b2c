#include "marjoramloom/gateway/decisions/tunnel_time_limit.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

auto tunnel_time_limit::noteRequestBytes(boot_time now) -> void
{
    if (!m_firstBytesAt) {
        m_firstBytesAt = now;
    }
    m_newestBytesAt = now;
    m_end.reset();
}

auto tunnel_time_limit::needsLimits(boot_time now) const -> bool
{
    return m_firstBytesAt && !m_end && waited(now) >= SLACK;
}

auto tunnel_time_limit::setLimits(const tunnelled_request_limits &limits) -> void
{
    assert(m_firstBytesAt);
    const auto readUntil = *m_firstBytesAt + limits.readTimeout;
    const auto answeredUntil = limits.answerTimeout ? m_newestBytesAt + *limits.answerTimeout : readUntil;
    m_end = SLACK + (limits.isComplete ? answeredUntil : std::max(readUntil, answeredUntil));
}

auto tunnel_time_limit::isOver(boot_time now) const -> bool
{
    return m_end && now >= *m_end;
}

auto tunnel_time_limit::waited(boot_time now) const -> duration
{
    return m_firstBytesAt ? duration(now - m_newestBytesAt) : duration::zero();
}

} // namespace marjoramloom
