#include "share/grant_order.h"

#include <algorithm>

namespace marjoramloom {

auto grant_order::accounts(work_length length) -> std::set<account_position> &
{
    return length == work_length::shortWork ? m_short : m_long;
}

auto grant_order::setPosition(const account_position &position, bool hasShort, bool hasLong) -> void
{
    const auto known = m_positions.find(position.account);
    if (known != m_positions.end()) {
        m_short.erase(known->second);
        m_long.erase(known->second);
    }
    m_positions[position.account] = position;
    if (hasShort) {
        m_short.insert(position);
    }
    if (hasLong) {
        m_long.insert(position);
    }
}

auto grant_order::next(double allowance, bool longAllowed) const -> std::optional<queue_id>
{
    if (!m_short.empty()) {
        const auto &firstShort = *m_short.begin();
        const auto lead = m_long.empty() ? 0 : firstShort.virtualService - m_long.begin()->virtualService;
        if (lead <= allowance) {
            return queue_id{ firstShort.account, work_length::shortWork };
        }
        // The reserve is not kept while short work waits: fairness decides.
        return queue_id{ m_long.begin()->account, work_length::longWork };
    }
    if (!m_long.empty() && longAllowed) {
        return queue_id{ m_long.begin()->account, work_length::longWork };
    }
    return std::nullopt;
}

auto grant_order::skip(const queue_id &queue) -> void
{
    accounts(queue.length).erase(m_positions.at(queue.account));
}

auto grant_order::skipAll(work_length length) -> void
{
    accounts(length).clear();
}

auto grant_order::lowest() const -> std::optional<double>
{
    auto lowest = std::optional<double>();
    for (const auto *accounts : { &m_short, &m_long }) {
        if (!accounts->empty()) {
            lowest = std::min(lowest.value_or(accounts->begin()->virtualService), accounts->begin()->virtualService);
        }
    }
    return lowest;
}

} // namespace marjoramloom
