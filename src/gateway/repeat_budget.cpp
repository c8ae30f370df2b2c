#include "marjoramloom/gateway/repeat_budget.h"

#include <cassert>

namespace marjoramloom {

repeat_budget::repeat_budget(repeat_budget_settings limits)
    : m_limits(limits)
{
    assert(m_limits.window > duration::zero());
}

auto repeat_budget::setLimits(repeat_budget_settings limits) -> void
{
    assert(limits.window > duration::zero());
    m_limits = limits;
}

auto repeat_budget::noteFirst(time_point now) -> void
{
    expire(now);
    m_firsts.push_back(now);
}

auto repeat_budget::take(time_point now) -> bool
{
    expire(now);
    const auto allowed = m_limits.ratio * static_cast<double>(m_firsts.size()) + m_limits.reserve;
    if (static_cast<double>(m_repeats.size()) + 1 > allowed) {
        return false;
    }
    m_repeats.push_back(now);
    return true;
}

auto repeat_budget::expire(time_point now) -> void
{
    const auto oldest = now - m_limits.window;
    while (!m_firsts.empty() && m_firsts.front() < oldest) {
        m_firsts.pop_front();
    }
    while (!m_repeats.empty() && m_repeats.front() < oldest) {
        m_repeats.pop_front();
    }
}

} // namespace marjoramloom
