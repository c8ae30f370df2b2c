#include "marjoramloom/gateway/decisions/gateway_retry_budget.h"

#include <cassert>

namespace marjoramloom {

gateway_retry_budget::gateway_retry_budget(gateway_retry_budget_settings limits)
    : m_limits(limits)
{
    assert(m_limits.window > duration::zero());
}

auto gateway_retry_budget::setLimits(gateway_retry_budget_settings limits) -> void
{
    assert(limits.window > duration::zero());
    m_limits = limits;
}

auto gateway_retry_budget::noteFirstAttempt(time_point now) -> void
{
    expire(now);
    m_firstAttempts.push_back(now);
}

auto gateway_retry_budget::tryConsume(time_point now) -> bool
{
    expire(now);
    const auto allowed = m_limits.ratio * static_cast<double>(m_firstAttempts.size()) + m_limits.reserve;
    if (static_cast<double>(m_retries.size()) + 1 > allowed) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

auto gateway_retry_budget::expire(time_point now) -> void
{
    const auto oldest = now - m_limits.window;
    while (!m_firstAttempts.empty() && m_firstAttempts.front() < oldest) {
        m_firstAttempts.pop_front();
    }
    while (!m_retries.empty() && m_retries.front() < oldest) {
        m_retries.pop_front();
    }
}

} // namespace marjoramloom
