#include "marjoramloom/gateway/decisions/crash_moments.h"

#include <algorithm>

namespace marjoramloom {

auto crash_moments::note(std::uint64_t engine, bool repeated, time_point now) -> std::uint64_t
{
    while (!m_moments.empty() && now - m_moments.front().start > LIFETIME) {
        m_moments.pop_front();
    }
    const auto known = std::find_if(m_moments.rbegin(), m_moments.rend(), [&](const auto &entry) {
        return std::find(entry.engines.begin(), entry.engines.end(), engine) != entry.engines.end();
    });
    if (known != m_moments.rend()) {
        if (!repeated || known->engines.size() == 1) {
            return known->number;
        }
        std::erase(known->engines, engine);
    }
    if (!repeated) {
        const auto current =
            std::find_if(m_moments.rbegin(), m_moments.rend(), [](const auto &entry) { return !entry.repeated; });
        if (current != m_moments.rend() && now - current->start <= LENGTH) {
            if (current->engines.size() < MAX_ENGINES) {
                current->engines.push_back(engine);
                findCommonFailures(current->start);
            }
            return current->number;
        }
    }
    if (m_moments.size() == MAX_MOMENTS) {
        m_moments.pop_front();
    }
    m_moments.push_back({ .number = ++m_lastNumber, .start = now, .engines = { engine }, .repeated = repeated });
    findCommonFailures(now);
    return m_lastNumber;
}

/// Decides again which of the moments around \p time are common failures.
auto crash_moments::findCommonFailures(time_point time) -> void
{
    const auto isOlder = [&](const auto &entry, duration age) {
        return entry.start < time - age;
    };
    for (auto entry = m_moments.rbegin(); entry != m_moments.rend() && !isOlder(*entry, LENGTH); ++entry) {
        auto engines = std::size_t(0);
        for (auto other = m_moments.rbegin(); other != m_moments.rend() && !isOlder(*other, 2 * LENGTH); ++other) {
            engines += std::chrono::abs(other->start - entry->start) <= LENGTH ? other->engines.size() : 0;
        }
        entry->isCommonFailure = engines >= COMMON_FAILURE_ENGINES;
    }
}

auto crash_moments::startOf(std::uint64_t moment) const -> time_point
{
    const auto *entry = find(moment);
    return entry == nullptr ? time_point::min() : entry->start;
}

auto crash_moments::isKnown(std::uint64_t moment) const -> bool
{
    return find(moment) != nullptr;
}

auto crash_moments::isCommonFailure(std::uint64_t moment) const -> bool
{
    const auto *entry = find(moment);
    return entry != nullptr && entry->isCommonFailure;
}

auto crash_moments::find(std::uint64_t moment) const -> const moment_entry *
{
    if (m_moments.empty() || moment < m_moments.front().number || moment > m_lastNumber) {
        return nullptr;
    }
    return &m_moments[moment - m_moments.front().number];
}

} // namespace marjoramloom
