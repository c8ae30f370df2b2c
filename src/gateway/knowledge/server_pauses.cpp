#include "marjoramloom/gateway/knowledge/server_pauses.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

auto server_pauses::note(std::uint64_t incarnation, duration pause, boot_time now) -> void
{
    assert(pause >= duration::zero());
    auto &end = m_ends[incarnation];
    end = std::max(end, now + std::min(pause, MAX_PAUSE));
    if (m_ends.size() > MAX_PAUSED_SERVERS) {
        m_ends.erase(std::min_element(m_ends.begin(), m_ends.end(),
                                      [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
}

auto server_pauses::remaining(std::uint64_t incarnation, boot_time now) const -> duration
{
    const auto found = m_ends.find(incarnation);
    return found == m_ends.end() ? duration::zero() : std::max<duration>(found->second - now, duration::zero());
}

auto server_pauses::remainingForAll(std::span<const std::uint64_t> servers, boot_time now) const -> duration
{
    auto shortest = servers.empty() ? duration::zero() : duration::max();
    for (const auto incarnation : servers) {
        shortest = std::min(shortest, remaining(incarnation, now));
    }
    return shortest;
}

auto server_pauses::tick(boot_time now) -> void
{
    std::erase_if(m_ends, [&](const auto &pause) { return pause.second <= now; });
}

auto server_pauses::size() const -> std::size_t
{
    return m_ends.size();
}

} // namespace marjoramloom
