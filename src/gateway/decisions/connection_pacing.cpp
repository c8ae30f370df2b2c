#include "marjoramloom/gateway/decisions/connection_pacing.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marjoramloom {

namespace {

/// Factors of the limit after a period in which the event loop was late, very late and in time.
constexpr double reductionIfLate = 0.85;
constexpr double reductionIfVeryLate = 0.6;
constexpr double growthIfInTime = 1.15;
/// Connections that may be accepted at once: those of this time, and at least minBurst.
constexpr auto burstTime = std::chrono::milliseconds(50);
constexpr double minBurst = 4;

} // namespace

auto connection_pacing::setMinRate(double perSecond) -> void
{
    assert(perSecond > 0);
    m_minRate = perSecond;
}

auto connection_pacing::onTimer(duration delay, time_point now) -> void
{
    ++m_timers;
    m_lateTimers += delay > MAX_DELAY ? 1 : 0;
    m_veryLateTimers += delay > LONG_DELAY ? 1 : 0;
    if (now - m_periodStart < PERIOD) {
        return;
    }
    if (now - m_periodStart <= MAX_PERIOD) {
        adjust(now);
    }
    m_periodStart = now;
    m_timers = 0;
    m_lateTimers = 0;
    m_veryLateTimers = 0;
    m_accepted = 0;
}

auto connection_pacing::adjust(time_point now) -> void
{
    const auto isMost = [&](std::size_t timers) {
        return timers >= 2 && 2 * timers > m_timers;
    };
    if (isMost(m_lateTimers)) {
        const auto rate = static_cast<double>(m_accepted) / toSeconds(now - m_periodStart);
        const auto reduction = isMost(m_veryLateTimers) ? reductionIfVeryLate : reductionIfLate;
        m_limit = std::max(m_minRate, reduction * std::min(m_limit, rate));
    } else if (m_lateTimers == 0) {
        m_limit = now - m_lastRefusal > LIFT_TIME ? std::numeric_limits<double>::infinity() : m_limit * growthIfInTime;
    }
}

auto connection_pacing::mayAccept(time_point now) -> bool
{
    if (std::isinf(m_limit)) {
        ++m_accepted;
        return true;
    }
    const auto burst = std::max(minBurst, m_limit * toSeconds(burstTime));
    m_tokens = std::min(burst, m_tokens + m_limit * toSeconds(now - m_lastRefill));
    m_lastRefill = now;
    if (m_tokens >= 1) {
        m_tokens -= 1;
        ++m_accepted;
        return true;
    }
    if (now - m_lastRefusal > MAX_REFUSAL_GAP) {
        m_refusingSince = now;
    }
    m_lastRefusal = now;
    return false;
}

auto connection_pacing::refusingFor(time_point now) const -> duration
{
    const auto isRefusing = m_lastRefusal != time_point() && now - m_lastRefusal <= MAX_REFUSAL_GAP;
    return isRefusing ? now - m_refusingSince : duration::zero();
}

auto connection_pacing::limit() const -> double
{
    return m_limit;
}

} // namespace marjoramloom
