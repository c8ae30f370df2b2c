#include "marjoramloom/peer/aggregated_totals.h"

#include <algorithm>

namespace marjoramloom {

auto delta_tracker::takeDelta(const service_total &total, bool rebase) -> double
{
    auto &lastTotal = m_lastTotals[{ total.router, total.account }];
    const auto delta = rebase ? 0 : std::max(0.0, total.cost - lastTotal);
    lastTotal = std::max(lastTotal, total.cost);
    return delta;
}

auto delta_tracker::removeSource(incarnation_id source) -> void
{
    std::erase_if(m_lastTotals, [&](const auto &item) { return item.first.first == source; });
}

aggregated_totals::aggregated_totals(incarnation_id stream)
    : m_stream(stream)
{
}

auto aggregated_totals::add(object_id account, double delta) -> void
{
    if (delta > 0) {
        auto &sum = m_sums[account];
        sum.cost += delta;
        sum.serial = ++m_serial;
    }
}

auto aggregated_totals::changedSince(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>
{
    auto changed = std::vector<service_total>();
    for (const auto &[account, sum] : m_sums) {
        if (sum.serial > since) {
            changed.push_back({ m_stream, account, sum.cost });
        }
    }
    next = m_serial;
    return changed;
}

} // namespace marjoramloom
