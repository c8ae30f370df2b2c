#include "marjoramloom/peer/growth_sum.h"

#include <algorithm>

namespace marjoramloom {

auto growth_tracker::growthOf(const service_total &total, bool rebase) -> double
{
    auto &seen = m_seen[{ total.router, total.account }];
    const auto growth = rebase ? 0 : std::max(0.0, total.cost - seen);
    seen = std::max(seen, total.cost);
    return growth;
}

auto growth_tracker::forget(incarnation_id source) -> void
{
    std::erase_if(m_seen, [&](const auto &item) { return item.first.first == source; });
}

growth_sum::growth_sum(incarnation_id stream)
    : m_stream(stream)
{
}

auto growth_sum::add(object_id account, double growth) -> void
{
    if (growth > 0) {
        auto &sum = m_sums[account];
        sum.cost += growth;
        sum.serial = ++m_serial;
    }
}

auto growth_sum::since(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>
{
    auto grown = std::vector<service_total>();
    for (const auto &[account, sum] : m_sums) {
        if (sum.serial > since) {
            grown.push_back({ m_stream, account, sum.cost });
        }
    }
    next = m_serial;
    return grown;
}

} // namespace marjoramloom
