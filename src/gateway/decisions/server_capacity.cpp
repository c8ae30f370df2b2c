#include "marjoramloom/gateway/decisions/server_capacity.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace marjoramloom {

auto server_capacity::noteServed(std::uint32_t running, std::uint32_t slots, duration latency) -> void
{
    assert(slots > 0);
    // A request that finds all slots taken waits for others before its own service begins.
    const auto rounds = std::max(1.0, static_cast<double>(running + 1) / slots);
    const auto sample = std::chrono::duration_cast<duration>(latency / rounds);
    m_serviceTime = m_serviceTime == duration::zero()
        ? sample
        : std::chrono::duration_cast<duration>(m_serviceTime * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT);
}

auto server_capacity::noteFull(std::uint32_t running, duration pause, time_point now) -> void
{
    m_limit = std::max(1U, std::min(acceptedRequests(now), running));
    m_limitedAt = now;
    m_fullUntil = now + pause;
}

auto server_capacity::serviceTime() const -> duration
{
    return m_serviceTime;
}

auto server_capacity::acceptedRequests(time_point now) const -> std::uint32_t
{
    if (m_limit == 0 || now - m_limitedAt > LIMIT_LIFETIME) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    return m_limit + static_cast<std::uint32_t>((now - m_limitedAt) / LIMIT_RECOVERY_PERIOD);
}

auto server_capacity::isFull(time_point now) const -> bool
{
    return now < m_fullUntil;
}

} // namespace marjoramloom
