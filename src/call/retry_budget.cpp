#include "marjoramloom/call/retry_budget.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cassert>

namespace marjoramloom {

retry_budget::retry_budget(double fraction, std::uint64_t seed)
    : m_fraction(fraction)
    , m_random(seed)
{
    assert(fraction >= 0 && fraction <= 1);
}

auto retry_budget::onCall() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_available = std::min(MAX_SAVED_RETRIES, m_available + m_fraction);
}

auto retry_budget::take() -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

auto retry_budget::backoff(std::uint32_t retry) -> duration
{
    constexpr auto doublings = 16U;
    const auto ceiling = std::min(MAX_BACKOFF, BACKOFF_BASE * (1U << std::min(retry, doublings)));
    const auto lock = std::lock_guard(m_mutex);
    return duration(boost::random::uniform_int_distribution<duration::rep>(0, ceiling.count())(m_random));
}

} // namespace marjoramloom
